// The entry's side towards homes among the agents: which they are, the jobs there, and homes that are lost.

#include "main/platform_entry.h"

#include "core/logging.h"
#include "dispatch/run_guard.h"

namespace hawthornpin {

namespace {

// Between two choices of homes: agents present themselves about as often.
constexpr milliseconds choose_pause{500};
// An agent that has missed this many presentations is no candidate.
constexpr int missed_registrations = 3;
// Homes that are tried for one job before it is refused; a leaving home refuses.
constexpr std::size_t most_tries = 3;

// Ticks that follow each other by more than this show that the process was held up.
constexpr milliseconds longest_tick = 3 * decision_tick;

bool is_candidate(const agent_view& agent, milliseconds pause, instant now)
{
    return agent.m_status.m_state == agent_state::serving &&
           agent.m_updated_at + missed_registrations * pause >= now;
}

} // namespace

void platform_entry::choose_service_homes()
{
    const instant now = boot_now();
    if (m_homes_chosen_at + choose_pause > now)
        return;
    m_homes_chosen_at = now;
    // Agents know the entries and their own homes.
    const milliseconds pause =
        registration_interval(1 + m_entries.m_entries.size() + m_home_limits.m_homes_per_agent);
    std::vector<home_candidate> candidates;
    for (const auto& [id, agent] : m_home.scheduler().m_agents.m_agents) {
        if (is_candidate(agent, pause, now))
            candidates.push_back({id, agent.m_status.m_address});
    }
    m_service_homes = choose_homes(candidates, m_home_limits, !m_service_homes.empty());
    set_chosen_homes(m_home_table,
                     assign_homes(m_service_homes, m_place.m_node, m_home_limits.m_homes_per_entry));
    m_home_table.m_homes_per_agent =
        static_cast<std::uint32_t>(std::min(m_service_homes.size(), m_home_limits.m_homes_per_agent));
}

void platform_entry::update_forwarding()
{
    const bool was_forwarding = is_forwarding();
    // An entry that is short of time does not take the work of its homes back because they seem silent.
    m_are_homes_ready =
        !m_service_homes.empty() && (was_forwarding || choose_home(m_home_table, {}, boot_now()).has_value());
    m_home.scheduler().m_is_dormant = is_forwarding();
    if (was_forwarding != is_forwarding())
        log_event(log_level::info, "homes_chosen",
                  {{"agents", std::to_string(m_home.scheduler().m_agents.m_agents.size())},
                   {"homes", std::to_string(is_forwarding() ? m_service_homes.size() : 0)}});
}

std::vector<std::string> platform_entry::list_homes_of(const std::string& agent) const
{
    std::vector<std::string> addresses;
    for (const home_candidate& home : assign_homes(m_service_homes, agent, m_home_limits.m_homes_per_agent))
        addresses.push_back(home.m_address);
    return addresses;
}

void platform_entry::forward_job(const outgoing_job& job)
{
    const instant now = boot_now();
    const std::string& id = job.m_work.m_id;
    if (const auto hopeless = find_permanent_refusal(m_home.scheduler(), job.m_work, job.m_queue, now)) {
        deliver(*hopeless);
        return;
    }
    const auto home = choose_home(m_home_table, job.m_refused_by, now);
    if (!home) {
        wait_for_home(job);
        return;
    }
    const entry_heartbeat presence = make_entry_heartbeat(m_home_table, *home);
    const std::uint64_t session = presence.m_session.m_incarnation;
    log_event(log_level::info, "job_handed_on",
              {{"job", id},
               {"queue", job.m_queue.m_name},
               {"home", *home},
               {"jobs_there", std::to_string(m_home_table.m_homes.at(*home).m_jobs.size())},
               {"configuration", std::to_string(m_configuration->directory().m_version)}});
    record_forwarded(m_home_table, *home, id);
    const auto caller_timeout = std::chrono::duration_cast<milliseconds>(job.m_caller_deadline - now);
    auto call = m_links
                    .submit_to_home(m_home_table.m_homes.at(*home).m_address, presence, job.m_work,
                                    job.m_queue, std::max(caller_timeout, milliseconds(1)))
                    .then([this, job, home = *home, session](std::optional<forwarded_job_end> end) {
                        on_forwarded_job_end(job, home, session, end);
                    })
                    .eagerlyEvaluate(nullptr);
    m_forwarded.insert_or_assign(id, forwarded_job{*home, now, kj::mv(call)});
}

void platform_entry::wait_for_home(const outgoing_job& job)
{
    // Homes that are only late answer within two heartbeats.
    const milliseconds longest_wait = 2 * m_home_table.m_limits.m_heartbeat;
    m_waiting_for_home.insert_or_assign(job.m_work.m_id, waiting_job{job, boot_now() + longest_wait});
}

void platform_entry::forward_waiting_jobs()
{
    constexpr milliseconds come_back_after{1'000};
    const instant now = boot_now();
    for (const auto& [id, waiting] : std::exchange(m_waiting_for_home, {})) {
        if (choose_home(m_home_table, waiting.m_job.m_refused_by, now))
            forward_job(waiting.m_job);
        else if (waiting.m_wait_until <= now)
            deliver({id, job_end::refused, job_end_reason::no_worker, come_back_after});
        else
            m_waiting_for_home.emplace(id, waiting);
    }
}

void platform_entry::on_forwarded_job_end(outgoing_job job, const std::string& home, std::uint64_t session,
                                          const std::optional<forwarded_job_end>& end)
{
    if (!end) {
        // The connection broke; whether the home noticed is not known.
        handle_lost_home(home);
        return;
    }
    const auto handed = m_forwarded.find(job.m_work.m_id);
    if (handed != m_forwarded.end()) {
        const std::chrono::duration<double> took = boot_now() - handed->second.m_forwarded_at;
        m_metrics.observe(distribution::home_answer, took.count());
    }
    cancel_forwarded(job.m_work.m_id);
    on_home_status(m_home_table, home, session, end->m_status, boot_now());
    const bool is_turned_away = end->m_answer.m_reason == job_end_reason::shutting_down ||
                                end->m_answer.m_reason == job_end_reason::hand_in_late ||
                                end->m_answer.m_reason == job_end_reason::no_worker;
    job.m_refused_by.insert(home);
    if (end->m_answer.m_end == job_end::refused && is_turned_away && job.m_refused_by.size() < most_tries)
        forward_job(job);
    else
        deliver(end->m_answer);
}

bool platform_entry::cancel_forwarded(const std::string& job)
{
    const auto found = m_forwarded.find(job);
    if (found == m_forwarded.end())
        return m_waiting_for_home.erase(job) > 0;
    record_forward_ended(m_home_table, found->second.m_home, job);
    // The call may be the one that is being handled.
    m_ended_calls.add(std::make_unique<forwarded_job>(std::move(found->second)));
    m_forwarded.erase(found);
    return true;
}

void platform_entry::send_home_heartbeats()
{
    const instant now = boot_now();
    // After a tick that came late, answers may wait unread: the silence was this process's own.
    const bool was_held_up = m_homes_checked_at + longest_tick < now;
    m_homes_checked_at = now;
    if (!was_held_up) {
        for (const std::string& home : list_unresponsive_homes(m_home_table, now))
            handle_lost_home(home);
    }
    for (const due_home_heartbeat& due : take_due_home_heartbeats(m_home_table, now)) {
        const std::uint64_t session = due.m_heartbeat_message.m_session.m_incarnation;
        m_tasks.add(
            m_links.attend(due.m_address, due.m_heartbeat_message, m_home_table.m_limits.m_answer_timeout)
                .then([this, home = due.m_home, session](std::optional<home_status> status) {
                    if (status)
                        on_home_status(m_home_table, home, session, *status, boot_now());
                    else
                        on_home_heartbeat_lost(m_home_table, home, session);
                }));
    }
}

void platform_entry::handle_lost_home(const std::string& home)
{
    const auto lost = mark_home_lost(m_home_table, home);
    if (lost.empty())
        return;
    log_event(log_level::warning, "home_lost", {{"home", home}, {"jobs", std::to_string(lost.size())}});
    for (const std::string& job : lost) {
        cancel_forwarded(job);
        deliver({job, job_end::abandoned, job_end_reason::home_lost, milliseconds(0)});
    }
}

} // namespace hawthornpin
