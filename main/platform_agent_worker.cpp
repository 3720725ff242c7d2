// The agent's interface to its worker: reports of the worker, and calls for starts, stops and lease renewals.

#include "main/platform_agent.h"

#include "core/logging.h"
#include "platform/call_paths.h"
#include "platform/message_decoding.h"

#include <utility>

namespace hawthornpin {

namespace {

// Delay after a renewal that was refused, not answered, or did not wait for an end.
constexpr unsigned renewal_retry_ms = 20;

// Whether the next renewal is sent without delay. After a broken connection it tells whether the worker has
// ended; a worker that breaks the next one, too, is not asked in a tight loop.
bool renews_at_once(const renewal& asked, renewal_status status, renewal_status previous)
{
    if (status == renewal_status::disconnected)
        return previous != renewal_status::disconnected;
    return status == renewal_status::listed && asked.m_wait.count() > 0;
}

} // namespace

kj::Promise<api_response> platform_agent::on_worker_call(const api_request& request)
{
    const auto target = decode_worker_call(request.m_method, request.m_path);
    if (!target)
        return api_response{404, "", "application/json", "", "", false};
    if (target->m_call == worker_call::deregister) {
        log_event(log_level::info, "worker_left", {{"worker", target->m_worker}});
        on_worker_left(m_guard, target->m_worker, boot_now());
        schedule_step();
        return api_response{200, "{}", "application/json", "", "", false};
    }
    last_reason why;
    const auto report = decode_worker_report(target->m_worker, request.m_body, why);
    if (!report) {
        log_event(log_level::warning, "worker_report_unreadable", {{"reason", why.text()}});
        return api_response{400, "{}", "application/json", "", "", false};
    }
    if (!m_settings.m_service.empty() && report->m_service != m_settings.m_service) {
        log_event(log_level::warning, "worker_report_unreadable", {{"reason", "another service"}});
        return api_response{400, "{}", "application/json", "", "", false};
    }
    const bool was_draining = m_guard.m_report && m_guard.m_report->m_is_draining;
    on_worker_report(m_guard, *report, boot_now());
    if (report->m_is_draining && !was_draining)
        log_event(log_level::info, "worker_draining", {{"worker", target->m_worker}});
    schedule_step();
    return api_response{200, "{}", "application/json", "", "", false};
}

void platform_agent::call_start(const run_order& order, const guard_actions& actions)
{
    m_metrics.count(counter::tasks_started);
    const run_id run = order.m_run;
    const worker_incarnation worker{worker_id(), actions.m_worker_started.value_or(0)};
    m_tasks.add(m_worker.start(order, m_guard.m_fence, actions.m_start_deadline_ms, worker)
                    .then([this, run](start_answer answer) {
                        const instant now = boot_now();
                        if (answer == start_answer::fenced)
                            on_fenced(m_guard);
                        if (answer == start_answer::other_life)
                            on_other_incarnation(m_guard, now);
                        m_metrics.count_labelled("start_answers", to_text(answer));
                        if (answer != start_answer::started) {
                            const auto known = m_guard.m_runs.find(run);
                            const bool is_earlier_unanswered =
                                known != m_guard.m_runs.end() && known->second.m_has_unanswered_start;
                            log_event(log_level::warning, "start_refused",
                                      {{"run", to_text(run)},
                                       {"answer", to_text(answer)},
                                       {"earlier_unanswered", is_earlier_unanswered ? "true" : "false"},
                                       {"fence", std::to_string(m_guard.m_fence)}});
                        }
                        on_start_answer(m_guard, run, answer, now);
                        schedule_step();
                    }));
}

void platform_agent::call_stop(const run_id& run)
{
    m_tasks.add(m_worker.stop(run, m_guard.m_fence, worker_id()).then([this, run](bool is_answered) {
        on_stop_answer(m_guard, run, is_answered, boot_now());
        schedule_step();
    }));
}

kj::Promise<void> platform_agent::renew_forever()
{
    const renewal asked = begin_renewal(m_guard, boot_now());
    return m_worker.renew(asked, worker_id()).then([this, asked](renewal_answer answer) -> kj::Promise<void> {
        const renewal_status previous = std::exchange(m_last_renewal, answer.m_status);
        on_renewal_answer(asked, answer);
        schedule_step();
        if (renews_at_once(asked, answer.m_status, previous))
            return renew_forever();
        return after_delay(renewal_retry_ms).then([this] { return renew_forever(); });
    });
}

void platform_agent::on_renewal_answer(const renewal& asked, const renewal_answer& answer)
{
    const instant now = boot_now();
    if (answer.m_status != renewal_status::listed)
        m_metrics.count_labelled("renewals", to_text(answer.m_status));
    switch (answer.m_status) {
    case renewal_status::listed:
        m_metrics.count(counter::leases_renewed);
        log_other_incarnation(answer.m_listing);
        on_run_listing(m_guard, answer.m_listing, asked, now);
        break;
    case renewal_status::fenced:
        on_fenced(m_guard);
        log_event(log_level::warning, "fence_raised", {{"fence", std::to_string(m_guard.m_fence)}});
        break;
    case renewal_status::other_life:
        log_event(log_level::warning, "worker_replaced", {{"worker", worker_id()}});
        on_other_incarnation(m_guard, now);
        break;
    case renewal_status::unreachable:
        on_worker_unreachable(m_guard, now);
        break;
    case renewal_status::disconnected:
    case renewal_status::unanswered:
        break;
    }
}

void platform_agent::log_other_incarnation(const run_listing& listing) const
{
    const std::optional<std::int64_t>& known = m_guard.m_worker_started;
    if (!known || !listing.m_started_unix_ms || *known == *listing.m_started_unix_ms)
        return;
    log_event(log_level::info, "worker_restarted",
              {{"worker", worker_id()},
               {"from", std::to_string(*known)},
               {"to", std::to_string(*listing.m_started_unix_ms)},
               {"runs", std::to_string(m_guard.m_runs.size())}});
}

std::string platform_agent::worker_id() const
{
    return m_guard.m_report ? m_guard.m_report->m_identity.m_id : "";
}

} // namespace hawthornpin
