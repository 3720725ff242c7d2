// Text names of verdicts and reasons, kept in enumeration order.

#include "core/verdict.h"

namespace hawthornpin {

namespace {

constexpr std::array<std::string_view, 3> verdict_names = {"not_run", "may_have_run", "ran"};

constexpr std::array<std::string_view, reason_count> reason_names = {
    "none",
    "bad_request",
    "body_too_large",
    "header_too_large",
    "bad_json",
    "duplicate_key",
    "too_many_tasks",
    "no_tasks",
    "payload_too_large",
    "bad_name",
    "unauthorized",
    "unknown_service",
    "unknown_ticket",
    "ticket_malformed",
    "ticket_forged",
    "ticket_expired",
    "ticket_too_far_ahead",
    "ticket_other_service",
    "body_differs",
    "not_repeatable",
    "never_fits",
    "team_rate",
    "queue_full",
    "deadline_unreachable",
    "ledger_full",
    "worker_full",
    "too_many_waiters",
    "no_worker",
    "not_ready",
    "leaving",
    "home_unreachable",
    "home_gone",
    "connection_lost",
    "target_unreachable",
    "target_refused",
    "target_connection_lost",
    "wrong_incarnation",
    "task_failed",
    "deadline_passed",
    "lease_lapsed",
    "cancelled",
    "revoked",
    "answer_too_large",
    "worker_lost",
    "body_budget",
    "body_stalled",
    "body_too_slow",
    "too_many_connections",
};

static_assert(!reason_names.back().empty(), "every reason has a name");

} // namespace

std::string_view to_text(verdict value)
{
    return verdict_names.at(static_cast<std::size_t>(value));
}

std::string_view to_text(reason value)
{
    return reason_names.at(static_cast<std::size_t>(value));
}

std::string_view to_text(ticket_state value)
{
    return value == ticket_state::open ? "open" : "closed";
}

std::optional<verdict> verdict_from_text(std::string_view text)
{
    for (std::size_t index = 0; index < verdict_names.size(); ++index) {
        if (verdict_names.at(index) == text)
            return static_cast<verdict>(index);
    }
    return std::nullopt;
}

std::optional<reason> reason_from_text(std::string_view text)
{
    for (std::size_t index = 0; index < reason_names.size(); ++index) {
        if (reason_names.at(index) == text)
            return static_cast<reason>(index);
    }
    return std::nullopt;
}

} // namespace hawthornpin
