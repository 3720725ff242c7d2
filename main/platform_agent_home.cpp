// The agent as a home of jobs: heartbeats of entries, and the jobs that they forward.

#include "main/platform_agent.h"

#include "core/logging.h"
#include "dispatch/job_admission.h"

#include <algorithm>

namespace hawthornpin {

// Attached to an entry's wait for a hosted job. If it is destroyed before the job has ended, the entry has
// cancelled the job.
class platform_agent::hosted_wait_guard {
public:
    explicit hosted_wait_guard(platform_agent& agent) : m_agent(agent) {}
    ~hosted_wait_guard() { m_agent.cancel_abandoned_jobs(); }
    hosted_wait_guard(const hosted_wait_guard&) = delete;
    hosted_wait_guard& operator=(const hosted_wait_guard&) = delete;

private:
    platform_agent& m_agent;
};

home_status platform_agent::make_home_status() const
{
    const instant now = boot_now();
    const agent_table& agents = m_home.scheduler().m_agents;
    home_status status;
    status.m_clock = static_cast<std::uint64_t>(now.time_since_epoch().count());
    status.m_usable_agents = static_cast<std::uint32_t>(
        std::count_if(agents.m_agents.begin(), agents.m_agents.end(),
                      [&](const auto& item) { return is_usable(agents, item.second, now); }));
    status.m_is_leaving = m_leaving_since.has_value();
    status.m_free_milli = free_for_new_jobs(m_home.scheduler(), now);
    return status;
}

void platform_agent::on_entry_heartbeat(const entry_heartbeat& heartbeat_message)
{
    record_entry_heartbeat(m_entry_leases, heartbeat_message, boot_now());
    m_evacuation.learn_by_clock(heartbeat_message.m_evacuation, heartbeat_message.m_clock_seen,
                                evacuation_source::entry);
    m_home.scheduler().m_homes_per_agent = std::max<std::uint32_t>(1, heartbeat_message.m_homes_per_agent);
    m_entry_heartbeat_at = boot_now();
}

kj::Promise<job_answer_event> platform_agent::host_job(const entry_heartbeat& heartbeat_message,
                                                       const work_request& work, const queue_contract& queue,
                                                       milliseconds caller_timeout)
{
    if (m_leaving_since)
        return job_answer_event{work.m_id, job_end::refused, job_end_reason::shutting_down, milliseconds(0)};
    if (!is_recent(m_entry_leases, heartbeat_message, boot_now()))
        return job_answer_event{work.m_id, job_end::refused, job_end_reason::hand_in_late, milliseconds(0)};
    on_entry_heartbeat(heartbeat_message);
    auto pair = kj::newPromiseAndFulfiller<job_answer_event>();
    const bool is_known = m_hosted.contains(work.m_id);
    m_hosted[work.m_id].push_back({heartbeat_message.m_session, kj::mv(pair.fulfiller)});
    if (!is_known)
        m_home.submit(work, queue, caller_timeout);
    return pair.promise.attach(kj::heap<hosted_wait_guard>(*this));
}

void platform_agent::on_hosted_job_end(const job_answer_event& answer)
{
    const auto found = m_hosted.find(answer.m_job);
    if (found == m_hosted.end())
        return;
    log_event(log_level::info, "hosted_job_ended",
              {{"job", answer.m_job}, {"reason", to_text(answer.m_reason)}});
    auto waiters = std::move(found->second);
    m_hosted.erase(found);
    for (hosted_waiter& waiter : waiters)
        waiter.m_fulfiller->fulfill(job_answer_event(answer));
}

void platform_agent::cancel_abandoned_jobs()
{
    std::vector<std::string> abandoned_jobs;
    for (auto& [job, waiters] : m_hosted) {
        std::erase_if(waiters, [](hosted_waiter& waiter) { return !waiter.m_fulfiller->isWaiting(); });
        if (waiters.empty())
            abandoned_jobs.push_back(job);
    }
    for (const std::string& job : abandoned_jobs) {
        m_hosted.erase(job);
        log_event(log_level::info, "job_taken_back", {{"job", job}});
        m_home.cancel(job);
    }
}

void platform_agent::end_expired_sessions()
{
    const instant now = boot_now();
    for (const home_identity& session : take_expired_sessions(m_entry_leases, now)) {
        for (auto& [job, waiters] : m_hosted) {
            for (hosted_waiter& waiter : waiters) {
                if (waiter.m_session == session)
                    waiter.m_fulfiller->fulfill(
                        {job, job_end::abandoned, job_end_reason::home_lost, milliseconds(0)});
            }
        }
    }
    cancel_abandoned_jobs();
    // Without heartbeats of entries for this long, no job is expected, and agents need not be kept ready.
    constexpr milliseconds dormant_after{3'000};
    m_home.scheduler().m_is_dormant = m_hosted.empty() && m_entry_heartbeat_at + dormant_after < now;
}

} // namespace hawthornpin
