// Entries of the model that hand their callers' jobs on to homes.

#include "tests/model/model_processes.h"

#include <algorithm>

namespace hawthornpin::model {

void platform_model::start_front(front_process& front)
{
    ++front.m_identity;
    front.m_is_up = true;
    front.m_frozen_until = 0;
    front.m_homes = home_table();
    front.m_homes.m_self = front.m_id;
    front.m_homes.m_random.seed(m_settings.m_seed + front.m_identity);
    set_chosen_homes(front.m_homes,
                     assign_homes(list_homes(), front.m_id, home_choice_limits().m_homes_per_entry));
    step_front(front);
}

void platform_model::step_front(front_process& front)
{
    for (const std::string& home : list_unresponsive_homes(front.m_homes, now()))
        handle_lost_home(front, home);
    for (const due_home_heartbeat& due : take_due_home_heartbeats(front.m_homes, now())) {
        const auto home = std::find_if(m_entries.begin(), m_entries.end(),
                                       [&due](const auto& item) { return item->m_id == due.m_home; });
        const auto status = std::make_shared<home_status>();
        call(
            front, **home, call_timeout_ms,
            [this, to = home->get(), presence = due.m_heartbeat_message, status] {
                record_entry_heartbeat(to->m_leases, presence, now());
                *status = {static_cast<std::uint64_t>(now().time_since_epoch().count()), 1, false};
            },
            [this, &front, id = due.m_home, session = due.m_heartbeat_message.m_session.m_incarnation,
             status](bool is_answered) {
                if (is_answered)
                    on_home_status(front.m_homes, id, session, *status, now());
                else
                    on_home_heartbeat_lost(front.m_homes, id, session);
            });
    }
    deliver(front, step_every_ms, [this, &front] { step_front(front); });
}

void platform_model::forward_job(front_process& front, const std::string& job, int attempt)
{
    const bool is_received = front.m_is_up && front.m_frozen_until <= m_now;
    const auto chosen = is_received ? choose_home(front.m_homes, {}, now()) : std::nullopt;
    if (!is_received) {
        resubmit(job, attempt);
        return;
    }
    if (!chosen) {
        m_fates.at(job).m_is_refused = true;
        ++m_result.m_refused;
        return;
    }
    ++m_fates.at(job).m_open_attempts;
    front.m_callers[job] = attempt;
    record_forwarded(front.m_homes, *chosen, job);
    const entry_heartbeat presence = make_entry_heartbeat(front.m_homes, *chosen);
    const auto home = std::find_if(m_entries.begin(), m_entries.end(),
                                   [&chosen](const auto& item) { return item->m_id == *chosen; });
    call(
        front, **home, call_timeout_ms,
        [this, to = home->get(), &front, presence, job] { host(*to, front, presence, job); },
        [this, &front, id = *chosen, session = presence.m_session.m_incarnation](bool is_received_there) {
            // Nothing arrives on a connection behind a lost message: it breaks, and the home may not notice.
            const bool is_current = front.m_homes.m_homes.at(id).m_session == session;
            if (!is_received_there && is_current)
                handle_lost_home(front, id);
        });
}

void platform_model::host(entry_process& home, front_process& front, const entry_heartbeat& presence,
                          const std::string& job)
{
    if (!is_recent(home.m_leases, presence, now())) {
        home.m_hosted[job].emplace_back(presence.m_session, &front);
        return_answer(home, {job, job_end::refused, job_end_reason::hand_in_late, milliseconds(0)});
        return;
    }
    record_entry_heartbeat(home.m_leases, presence, now());
    const bool is_known = home.m_hosted.contains(job);
    home.m_hosted[job].emplace_back(presence.m_session, &front);
    if (!is_known)
        submit_job(home.m_scheduler, m_fates.at(job).m_request, make_queue(), milliseconds(caller_timeout_ms),
                   now());
}

void platform_model::return_answer(entry_process& home, const job_answer_event& answer)
{
    const auto found = home.m_hosted.find(answer.m_job);
    if (found == home.m_hosted.end())
        return;
    const auto waiters = std::move(found->second);
    home.m_hosted.erase(found);
    for (const auto& [session, waiting] : waiters) {
        front_process* front = waiting;
        call(
            home, *front, call_timeout_ms,
            [this, front, id = home.m_id, session = session.m_incarnation, answer] {
                take_answer(*front, id, session, answer);
            },
            [](bool) {});
    }
}

void platform_model::take_answer(front_process& front, const std::string& home, std::uint64_t session,
                                 const job_answer_event& answer)
{
    const auto known = front.m_homes.m_homes.find(home);
    if (known == front.m_homes.m_homes.end() || known->second.m_session != session ||
        !known->second.m_jobs.contains(answer.m_job))
        return;
    record_forward_ended(front.m_homes, home, answer.m_job);
    front.m_callers.erase(answer.m_job);
    job_status& fate = m_fates.at(answer.m_job);
    if (answer.m_end == job_end::refused) {
        fate.m_is_refused = true;
        --fate.m_open_attempts;
        ++m_result.m_refused;
    }
    if (answer.m_end == job_end::completed) {
        ++m_result.m_completed;
        ++second_of(fate.m_arrived_ms).m_completed;
        ++fate.m_answers;
    }
}

// Callers are answered that their jobs may have run, and come back.
void platform_model::handle_lost_home(front_process& front, const std::string& home)
{
    for (const std::string& job : mark_home_lost(front.m_homes, home)) {
        const auto caller = front.m_callers.find(job);
        if (caller == front.m_callers.end())
            continue;
        resubmit(job, caller->second);
        front.m_callers.erase(caller);
    }
}

void platform_model::end_silent_sessions(entry_process& home)
{
    if (m_settings.m_mutant == model_mutant::keeps_jobs_of_silent_entries)
        return;
    for (const home_identity& session : take_expired_sessions(home.m_leases, now())) {
        for (auto& [job, waiters] : home.m_hosted)
            std::erase_if(waiters, [&session = session](const auto& item) { return item.first == session; });
    }
    std::erase_if(home.m_hosted, [&home](const auto& item) {
        if (item.second.empty())
            cancel_job(home.m_scheduler, item.first);
        return item.second.empty();
    });
}

} // namespace hawthornpin::model
