// The callers of the model and their connections: submissions that wait unread, callers that stop waiting or
// go silent, and the probes that notice it.

#include "tests/model/model_processes.h"

#include <utility>

namespace hawthornpin::model {

void platform_model::receive_submission(process& entry, const std::string& job, int attempt,
                                        std::function<void(const request_age&)> on_read,
                                        std::function<void()> on_close)
{
    if (!entry.m_is_up) {
        resubmit(job, attempt);
        return;
    }
    inject_caller_fault(job, attempt);
    const request_age age{now(), now()};
    if (entry.m_suspended_until <= m_now) {
        watch_caller(
            entry, job, attempt, age, [on_read, age] { on_read(age); }, on_close);
        return;
    }
    entry.m_unread.emplace(job, attempt);
    deliver(entry, 0, [this, &entry, job, attempt, age, on_read = std::move(on_read), on_close] {
        if (entry.m_unread.erase({job, attempt}) == 0)
            return;
        const bool is_age_known = m_settings.m_defect != model_defect::ignores_request_age;
        const request_age known = is_age_known ? age : request_age{now(), now()};
        watch_caller(
            entry, job, attempt, known, [on_read, known] { on_read(known); }, on_close);
    });
    const bool is_left_open = draw_fault(m_settings.m_faults.m_leave_connection);
    at(m_now + caller_timeout_ms, [this, &entry, job, attempt, is_left_open, on_close = std::move(on_close)] {
        if (!is_waiting(job, attempt))
            return;
        resubmit(job, attempt);
        // A request is dropped if the end of the stream is read with it.
        if (!is_left_open && entry.m_unread.erase({job, attempt}) == 0)
            deliver(entry, 1, on_close);
    });
}

void platform_model::watch_caller(process& entry, const std::string& job, int attempt, const request_age& age,
                                  const std::function<void()>& on_read, const std::function<void()>& on_close)
{
    if (needs_probe(age, now())) {
        probe_caller(entry, job, attempt, on_read, on_close);
        return;
    }
    on_read();
    const auto silent_for = std::chrono::duration_cast<milliseconds>(now() - age.m_heard_at);
    schedule_probe(entry, job, attempt, caller_probe_after - silent_for, on_close);
}

void platform_model::schedule_probe(process& entry, const std::string& job, int attempt, milliseconds delay,
                                    const std::function<void()>& on_close)
{
    at(m_now + delay.count(), [this, &entry, job, attempt, on_close] {
        if (m_job_statuses.at(job).m_answered_attempts.contains(attempt))
            return;
        deliver(entry, 0, [this, &entry, job, attempt, on_close] {
            probe_caller(
                entry, job, attempt, [] {}, on_close);
        });
    });
}

void platform_model::probe_caller(process& entry, const std::string& job, int attempt,
                                  const std::function<void()>& on_alive,
                                  const std::function<void()>& on_close)
{
    const bool is_silent = m_job_statuses.at(job).m_silent_attempts.contains(attempt);
    if (is_silent && m_settings.m_defect != model_defect::keeps_jobs_of_silent_callers) {
        deliver(entry, caller_probe_timeout.count(), on_close);
        return;
    }
    on_alive();
    schedule_probe(entry, job, attempt, caller_probe_after, on_close);
}

void platform_model::inject_caller_fault(const std::string& job, int attempt)
{
    if (!draw_fault(m_settings.m_faults.m_lose_caller))
        return;
    const auto after_ms = static_cast<long long>(random_below(m_random, caller_timeout_ms));
    at(m_now + after_ms, [this, job, attempt] {
        if (!is_waiting(job, attempt))
            return;
        m_job_statuses.at(job).m_silent_attempts.insert(attempt);
        resubmit(job, attempt);
    });
}

bool platform_model::is_waiting(const std::string& job, int attempt) const
{
    const job_status& status = m_job_statuses.at(job);
    return !status.m_answered_attempts.contains(attempt) && !status.m_resubmitted_attempts.contains(attempt);
}

// A caller that got no answer submits the job again later, at a random entry.
void platform_model::resubmit(const std::string& job, int attempt)
{
    constexpr int max_attempts = 3;
    job_status& status = m_job_statuses.at(job);
    if (!status.m_resubmitted_attempts.insert(attempt).second)
        return;
    if (attempt >= max_attempts || status.m_answers > 0)
        return;
    at(m_now + resubmit_after_ms, [this, job, attempt] { submit_to_random_entry(job, attempt + 1); });
}

void platform_model::resubmit_all(const std::string& job, const std::set<int>& attempts)
{
    for (const int attempt : attempts)
        resubmit(job, attempt);
}

void platform_model::on_caller_closed(home_process& home, const std::string& job, int attempt)
{
    const auto callers = home.m_callers.find(job);
    if (callers == home.m_callers.end() || callers->second.erase(attempt) == 0 || !callers->second.empty())
        return;
    home.m_callers.erase(callers);
    cancel_job(home.m_scheduler, job);
}

void platform_model::on_caller_closed(forwarding_entry& entry, const std::string& job, int attempt)
{
    const auto callers = entry.m_callers.find(job);
    if (callers != entry.m_callers.end() && callers->second.erase(attempt) > 0 && callers->second.empty())
        cancel_forwarded(entry, job);
}

} // namespace hawthornpin::model
