// The entry's interface to homes among the agents: choice of homes, forwarded jobs, and lost homes.

#include "main/platform_entry.h"

#include "core/logging.h"
#include "dispatch/job_admission.h"
#include "dispatch/run_guard.h"

namespace hawthornpin {

namespace {

// Interval between two choices of homes; agents register about as often.
constexpr milliseconds choose_interval{500};
// An agent that has missed this many registrations is not a candidate.
constexpr int missed_registrations = 3;
// A longer interval between two ticks shows that the process was delayed.
constexpr milliseconds max_tick_interval = 3 * decision_tick;

bool is_candidate(const agent_view& agent, milliseconds interval, instant now)
{
    return agent.m_status.m_state == agent_state::serving &&
           agent.m_updated_at + missed_registrations * interval >= now;
}

} // namespace

void platform_entry::choose_service_homes()
{
    const instant now = boot_now();
    if (m_homes_chosen_at + choose_interval > now)
        return;
    m_homes_chosen_at = now;
    // Agents register with all entries and with their own homes.
    const milliseconds interval =
        registration_interval(1 + m_entries.m_entries.size() + m_home_limits.m_homes_per_agent);
    std::vector<home_candidate> candidates;
    for (const auto& [id, agent] : m_home.scheduler().m_agents.m_agents) {
        const bool is_zone_evacuated = is_evacuated(m_evacuation.view(), agent.m_status.m_zone);
        if (is_candidate(agent, interval, now) && !is_zone_evacuated)
            candidates.push_back({id, agent.m_status.m_address});
    }
    if (candidates != m_home_candidates) {
        m_service_homes = choose_homes(candidates, m_home_limits, !m_service_homes.empty());
        m_homes_of_agents =
            rank_homes_of_agents(candidates, m_service_homes, m_home_limits.m_homes_per_agent);
        m_home_candidates = std::move(candidates);
    }
    set_chosen_homes(m_home_table,
                     assign_homes(m_service_homes, m_settings.m_node, m_home_limits.m_homes_per_entry));
}

void platform_entry::update_forwarding()
{
    const bool was_forwarding = is_forwarding();
    // Forwarding continues while no home seems to respond: the entry may merely be short of processor time,
    // and must not take over the work of its homes for that.
    m_are_homes_ready = !m_service_homes.empty() &&
                        (was_forwarding || choose_home(m_home_table, {}, 0, boot_now()).has_value());
    m_home.scheduler().m_is_dormant = is_forwarding();
    if (was_forwarding != is_forwarding())
        log_event(log_level::info, "homes_chosen",
                  {{"agents", std::to_string(m_home.scheduler().m_agents.m_agents.size())},
                   {"homes", std::to_string(is_forwarding() ? m_service_homes.size() : 0)}});
}

std::vector<std::string> platform_entry::list_homes_of(const std::string& agent) const
{
    std::vector<std::string> addresses;
    const auto homes = m_homes_of_agents.find(agent);
    if (homes == m_homes_of_agents.end())
        return addresses;
    for (const home_candidate& home : homes->second)
        addresses.push_back(home.m_address);
    return addresses;
}

void platform_entry::forward_job(const outgoing_job& job)
{
    const instant now = boot_now();
    const std::string& id = job.m_work.m_id;
    if (const auto permanent_refusal =
            find_permanent_refusal(m_home.scheduler(), job.m_work, job.m_queue, now)) {
        deliver(*permanent_refusal);
        return;
    }
    const std::int64_t demand = initial_demand(job.m_work);
    const auto home = choose_home(m_home_table, job.m_refused_by, demand, now);
    if (!home) {
        wait_for_home(job);
        return;
    }
    const entry_heartbeat heartbeat_message = make_entry_heartbeat(m_home_table, *home);
    const std::uint64_t session = heartbeat_message.m_session.m_incarnation;
    log_event(log_level::info, "job_handed_on",
              {{"job", id},
               {"queue", job.m_queue.m_name},
               {"priority", std::to_string(job.m_queue.m_priority)},
               {"home", *home},
               {"jobs_there", std::to_string(m_home_table.m_homes.at(*home).m_jobs.size())},
               {"configuration", std::to_string(m_configuration->directory().m_version)}});
    record_forwarded(m_home_table, *home, id, demand);
    const auto caller_timeout = std::chrono::duration_cast<milliseconds>(job.m_caller_deadline - now);
    auto call = m_links
                    .submit_to_home(m_home_table.m_homes.at(*home).m_address, heartbeat_message, job.m_work,
                                    job.m_queue, std::max(caller_timeout, milliseconds(1)))
                    .then([this, job, home = *home, session](std::optional<forwarded_job_end> end) {
                        on_forwarded_job_end(job, home, session, end);
                    })
                    .eagerlyEvaluate(nullptr);
    m_forwarded.insert_or_assign(id, forwarded_job{*home, now, kj::mv(call)});
}

void platform_entry::wait_for_home(const outgoing_job& job)
{
    // Homes that are merely delayed answer within two heartbeats.
    const milliseconds max_wait = 2 * m_home_table.m_limits.m_heartbeat;
    m_waiting_for_home.insert_or_assign(job.m_work.m_id, waiting_job{job, boot_now() + max_wait});
}

void platform_entry::forward_waiting_jobs()
{
    constexpr milliseconds retry_after_no_home{1'000};
    const instant now = boot_now();
    for (const auto& [id, waiting] : std::exchange(m_waiting_for_home, {})) {
        if (choose_home(m_home_table, waiting.m_job.m_refused_by, 0, now))
            forward_job(waiting.m_job);
        else if (waiting.m_wait_until <= now)
            deliver({id, job_end::refused, job_end_reason::no_worker, retry_after_no_home});
        else
            m_waiting_for_home.emplace(id, waiting);
    }
}

void platform_entry::on_forwarded_job_end(outgoing_job job, const std::string& home, std::uint64_t session,
                                          const std::optional<forwarded_job_end>& end)
{
    if (!end) {
        // The connection broke; it is not known whether the home has noticed.
        handle_lost_home(home);
        return;
    }
    const auto forwarded = m_forwarded.find(job.m_work.m_id);
    if (forwarded != m_forwarded.end()) {
        const std::chrono::duration<double> took = boot_now() - forwarded->second.m_forwarded_at;
        m_metrics.observe(distribution::home_answer, took.count());
    }
    cancel_forwarded(job.m_work.m_id);
    on_home_status(m_home_table, home, session, end->m_status, boot_now());
    job.m_refused_by.insert(home);
    if (end->m_answer.m_end == job_end::completed)
        record_success(m_retries);
    const bool has_another_home = choose_home(m_home_table, job.m_refused_by, 0, boot_now()).has_value();
    if (can_try_another_home(end->m_answer, job.m_refused_by.size()) && has_another_home &&
        take_retry(m_retries, job.m_queue.m_priority)) {
        m_metrics.count_labelled("jobs_forwarded_again", to_text(end->m_answer.m_reason));
        forward_job(job);
        return;
    }
    deliver(end->m_answer);
}

bool platform_entry::cancel_forwarded(const std::string& job)
{
    const auto found = m_forwarded.find(job);
    if (found == m_forwarded.end())
        return m_waiting_for_home.erase(job) > 0;
    record_forward_ended(m_home_table, found->second.m_home, job);
    // The call may be the one whose end is being handled, so it is freed later.
    m_ended_calls.add(std::make_unique<forwarded_job>(std::move(found->second)));
    m_forwarded.erase(found);
    return true;
}

void platform_entry::send_home_heartbeats()
{
    const instant now = boot_now();
    // After a late tick, answers may still be unread: this process was delayed, not the homes.
    const bool was_tick_late = m_homes_checked_at + max_tick_interval < now;
    m_homes_checked_at = now;
    if (!was_tick_late) {
        for (const std::string& home : list_unresponsive_homes(m_home_table, now))
            handle_lost_home(home);
    }
    if (is_forwarding())
        record_delay(m_overload, estimate_own_delay(m_home_table, now), now);
    for (due_home_heartbeat& due : take_due_home_heartbeats(m_home_table, now)) {
        due.m_heartbeat_message.m_evacuation = m_evacuation.report();
        const std::uint64_t session = due.m_heartbeat_message.m_session.m_incarnation;
        m_tasks.add(m_links
                        .send_heartbeat(due.m_address, due.m_heartbeat_message,
                                        m_home_table.m_limits.m_answer_timeout)
                        .then([this, home = due.m_home, session](std::optional<home_status> status) {
                            if (status)
                                on_home_heartbeat_answered(m_home_table, home, session, *status, boot_now());
                            else
                                on_home_heartbeat_lost(m_home_table, home, session);
                        }));
    }
}

void platform_entry::handle_lost_home(const std::string& home)
{
    const auto lost_jobs = mark_home_lost(m_home_table, home);
    if (lost_jobs.empty())
        return;
    log_event(log_level::warning, "home_lost", {{"home", home}, {"jobs", std::to_string(lost_jobs.size())}});
    for (const std::string& job : lost_jobs) {
        cancel_forwarded(job);
        deliver({job, job_end::abandoned, job_end_reason::home_lost, milliseconds(0)});
    }
}

} // namespace hawthornpin
