// Verdicts: what a caller may conclude about a request, and the closed list of reasons for it.
//
// `not_run` is a guarantee. It may only be produced where no start request can have left the process.

#pragma once

#include <array>
#include <compare>
#include <optional>
#include <string_view>

namespace hawthornpin {

// Whether a request may have had an effect on a target.
enum class verdict { not_run, may_have_run, ran };

// Why a request ended as it did. The names in text form are part of the caller interface.
enum class reason {
    none,
    // Refusals of malformed or unauthorized input.
    bad_request,
    body_too_large,
    header_too_large,
    bad_json,
    duplicate_key,
    too_many_tasks,
    no_tasks,
    payload_too_large,
    bad_name,
    unauthorized,
    unknown_service,
    unknown_ticket,
    ticket_malformed,
    ticket_forged,
    ticket_expired,
    ticket_too_far_ahead,
    ticket_other_service,
    body_differs,
    not_repeatable,
    never_fits,
    // Refusals under load.
    team_rate,
    queue_full,
    deadline_unreachable,
    ledger_full,
    worker_full,
    too_many_waiters,
    no_worker,
    // Unavailable processes and lost connections.
    not_ready,
    leaving,
    home_unreachable,
    home_gone,
    connection_lost,
    target_unreachable,
    target_refused,
    target_connection_lost,
    wrong_incarnation,
    // Ends of accepted jobs and tasks.
    task_failed,
    deadline_passed,
    lease_lapsed,
    cancelled,
    revoked,
    answer_too_large,
    worker_lost,
    // Refusals that protect the memory and the descriptors of an HTTP server.
    body_budget,
    body_stalled,
    body_too_slow,
    too_many_connections,
};

inline constexpr std::size_t reason_count = static_cast<std::size_t>(reason::too_many_connections) + 1;

// Whether the ticket can still start work: `open` tickets may be submitted again as they are,
// `closed` ones never start anything more.
enum class ticket_state { open, closed };

// The verdict on one request with its reason. Compares by value.
struct outcome {
    verdict m_verdict = verdict::not_run;
    reason m_reason = reason::none;
    ticket_state m_ticket = ticket_state::closed;

    friend auto operator<=>(const outcome&, const outcome&) = default;
};

// Text forms as they appear in JSON, headers and counters.
std::string_view to_text(verdict value);
std::string_view to_text(reason value);
std::string_view to_text(ticket_state value);

// The inverse of to_text; empty for an unknown name.
std::optional<verdict> verdict_from_text(std::string_view text);
std::optional<reason> reason_from_text(std::string_view text);

} // namespace hawthornpin
