// The entry's side towards homes among the agents: which they are, the jobs there, and homes that are lost.

#include "main/platform_entry.h"

#include "core/logging.h"
#include "dispatch/run_guard.h"

namespace hawthornpin {

namespace {

// Between two choices of homes: agents present themselves about as often.
constexpr milliseconds choose_pause{500};
// An agent that has not presented itself for this long is no candidate: three presentations fit in.
constexpr milliseconds candidate_within{4'000};
// Homes that are tried for one job before it is refused; a leaving home refuses.
constexpr std::size_t most_tries = 3;

// Ticks that follow each other by more than this show that the process was held up.
constexpr milliseconds longest_tick = 3 * decision_tick;

bool is_candidate(const agent_view& agent, instant now)
{
    return agent.m_status.m_state == agent_state::serving && agent.m_heard_at + candidate_within >= now;
}

} // namespace

void platform_entry::choose_service_homes()
{
    const instant now = boot_now();
    if (m_homes_chosen_at + choose_pause > now)
        return;
    m_homes_chosen_at = now;
    std::vector<home_candidate> candidates;
    for (const auto& [id, agent] : m_home.scheduler().m_agents.m_agents) {
        if (is_candidate(agent, now))
            candidates.push_back({id, agent.m_status.m_address});
    }
    m_service_homes = choose_homes(candidates, m_home_limits, !m_service_homes.empty());
    set_chosen_homes(m_home_table,
                     nearest_homes(m_service_homes, m_place.m_node, m_home_limits.m_homes_per_entry));
    m_home_table.m_homes_per_agent =
        static_cast<std::uint32_t>(std::min(m_service_homes.size(), m_home_limits.m_homes_per_agent));
}

void platform_entry::decide_handing_on()
{
    const bool was_handing_on = is_handing_on();
    // An entry that is short of time does not take the work of its homes back because they seem silent.
    m_are_homes_ready =
        !m_service_homes.empty() && (was_handing_on || choose_home(m_home_table, {}, boot_now()).has_value());
    m_home.scheduler().m_is_dormant = is_handing_on();
    if (was_handing_on != is_handing_on())
        log_event(log_level::info, "homes_chosen",
                  {{"agents", std::to_string(m_home.scheduler().m_agents.m_agents.size())},
                   {"homes", std::to_string(is_handing_on() ? m_service_homes.size() : 0)}});
}

std::vector<std::string> platform_entry::list_homes_of(const std::string& agent) const
{
    std::vector<std::string> addresses;
    for (const home_candidate& home : nearest_homes(m_service_homes, agent, m_home_limits.m_homes_per_agent))
        addresses.push_back(home.m_address);
    return addresses;
}

void platform_entry::hand_on(const work_request& job, const queue_contract& queue, milliseconds patience,
                             const std::set<std::string>& refused_by)
{
    const instant now = boot_now();
    if (const auto hopeless = find_hopeless_end(m_home.scheduler(), job, queue, now)) {
        deliver(*hopeless);
        return;
    }
    const auto home = choose_home(m_home_table, refused_by, now);
    if (!home) {
        constexpr milliseconds come_back_after{1'000};
        deliver({job.m_id, job_end::refused, job_end_reason::no_worker, come_back_after});
        return;
    }
    const entry_presence presence = make_presence(m_home_table, *home);
    const std::uint64_t session = presence.m_session.m_incarnation;
    log_event(log_level::info, "job_handed_on",
              {{"job", job.m_id},
               {"queue", queue.m_name},
               {"home", *home},
               {"jobs_there", std::to_string(m_home_table.m_homes.at(*home).m_jobs.size())},
               {"configuration", std::to_string(m_directory->m_version)}});
    note_handed_on(m_home_table, *home, job.m_id);
    auto call = m_links.hand_in(m_home_table.m_homes.at(*home).m_address, presence, job, queue, patience)
                    .then([this, job, queue, patience, refused_by, home = *home,
                           session](std::optional<handed_job_end> end) {
                        on_handed_job_end(job, queue, patience, refused_by, home, session, end);
                    })
                    .eagerlyEvaluate(nullptr);
    m_handed_on.insert_or_assign(job.m_id, handed_job{*home, kj::mv(call)});
}

void platform_entry::on_handed_job_end(const work_request& job, const queue_contract& queue,
                                       milliseconds patience, std::set<std::string> refused_by,
                                       const std::string& home, std::uint64_t session,
                                       const std::optional<handed_job_end>& end)
{
    if (!end) {
        // The connection broke; whether the home noticed is not known.
        lose_home(home);
        return;
    }
    recall(job.m_id);
    note_home_status(m_home_table, home, session, end->m_status, boot_now());
    const bool is_turned_away = end->m_answer.m_reason == job_end_reason::shutting_down ||
                                end->m_answer.m_reason == job_end_reason::hand_in_late ||
                                end->m_answer.m_reason == job_end_reason::no_worker;
    refused_by.insert(home);
    if (end->m_answer.m_end == job_end::refused && is_turned_away && refused_by.size() < most_tries)
        hand_on(job, queue, patience, refused_by);
    else
        deliver(end->m_answer);
}

bool platform_entry::recall(const std::string& job)
{
    const auto found = m_handed_on.find(job);
    if (found == m_handed_on.end())
        return false;
    note_handed_back(m_home_table, found->second.m_home, job);
    // The call may be the one that is being handled.
    m_ended_calls.add(std::make_unique<handed_job>(std::move(found->second)));
    m_handed_on.erase(found);
    return true;
}

void platform_entry::attend_homes()
{
    const instant now = boot_now();
    // After a tick that came late, answers may wait unread: the silence was this process's own.
    const bool was_held_up = m_homes_checked_at + longest_tick < now;
    m_homes_checked_at = now;
    if (!was_held_up) {
        for (const std::string& home : list_silent_homes(m_home_table, now))
            lose_home(home);
    }
    for (const home_call& due : take_home_calls(m_home_table, now)) {
        const std::uint64_t session = due.m_presence.m_session.m_incarnation;
        m_tasks.add(m_links.attend(due.m_address, due.m_presence, m_home_table.m_limits.m_answer_timeout)
                        .then([this, home = due.m_home, session](std::optional<home_status> status) {
                            if (status)
                                note_home_status(m_home_table, home, session, *status, boot_now());
                            else
                                note_home_call_lost(m_home_table, home, session);
                        }));
    }
}

void platform_entry::lose_home(const std::string& home)
{
    const auto lost = give_up_home(m_home_table, home);
    if (lost.empty())
        return;
    log_event(log_level::warning, "home_lost", {{"home", home}, {"jobs", std::to_string(lost.size())}});
    for (const std::string& job : lost) {
        recall(job);
        deliver({job, job_end::abandoned, job_end_reason::home_lost, milliseconds(0)});
    }
}

} // namespace hawthornpin
