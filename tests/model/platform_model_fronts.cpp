// The front ends of the model: entries that forward their callers' jobs to homes. Also the homes' side of the
// forwarding.

#include "dispatch/job_admission.h"
#include "http/api_server.h"
#include "tests/model/model_processes.h"

#include <algorithm>
#include <utility>

namespace hawthornpin::model {

void platform_model::start_forwarding_entry(forwarding_entry& entry)
{
    ++entry.m_incarnation;
    entry.m_is_up = true;
    entry.m_suspended_until = 0;
    entry.m_homes = home_table();
    entry.m_retries = make_home_retry_budget();
    entry.m_refused_by.clear();
    entry.m_waiting_for_home.clear();
    entry.m_overload = overload_control();
    entry.m_bursts = burst_detector();
    entry.m_homes.m_self = entry.m_id;
    entry.m_homes.m_random.seed(m_settings.m_seed + entry.m_incarnation);
    set_chosen_homes(entry.m_homes,
                     assign_homes(list_homes(), entry.m_id, home_choice_limits().m_homes_per_entry));
    begin_evacuation_state(entry);
    follow_store(entry, 0);
    share_evacuation(entry);
    step_forwarding_entry(entry);
}

void platform_model::step_forwarding_entry(forwarding_entry& entry)
{
    for (const std::string& home : list_unresponsive_homes(entry.m_homes, now()))
        handle_lost_home(entry, home);
    record_delay(entry.m_overload, estimate_own_delay(entry.m_homes, now()), now());
    for (due_home_heartbeat& due : take_due_home_heartbeats(entry.m_homes, now())) {
        const auto home = std::find_if(m_home_processes.begin(), m_home_processes.end(),
                                       [&due](const auto& item) { return item->m_id == due.m_home; });
        const auto status = std::make_shared<home_status>();
        due.m_heartbeat_message.m_evacuation = make_evacuation_report(entry.m_evacuation, now());
        call(
            entry, **home, call_timeout_ms,
            [this, to = home->get(), heartbeat = due.m_heartbeat_message, status] {
                record_entry_heartbeat(to->m_leases, heartbeat, now());
                learn_by_clock(*to, heartbeat.m_evacuation, heartbeat.m_clock_seen);
                *status = make_home_status(*to);
            },
            [this, &entry, id = due.m_home, session = due.m_heartbeat_message.m_session.m_incarnation,
             status](bool is_answered) {
                if (is_answered)
                    on_home_heartbeat_answered(entry.m_homes, id, session, *status, now());
                else
                    on_home_heartbeat_lost(entry.m_homes, id, session);
            });
    }
    hand_on_waiting(entry);
    deliver(entry, step_interval_ms, [this, &entry] { step_forwarding_entry(entry); });
}

home_status platform_model::make_home_status(const home_process& home) const
{
    home_status status;
    status.m_clock = static_cast<std::uint64_t>(now().time_since_epoch().count());
    status.m_usable_agents = 1;
    status.m_free_milli = free_for_new_jobs(home.m_scheduler, now());
    return status;
}

void platform_model::forward_job(forwarding_entry& entry, const std::string& job, int attempt,
                                 const request_age& age)
{
    const auto known = entry.m_callers.find(job);
    if (may_be_abandoned(age, patience_of_callers, now())) {
        if (known == entry.m_callers.end())
            refuse_at_entry(job, {attempt});
        return;
    }
    if (known != entry.m_callers.end()) {
        // The new attempt waits for the same answer.
        known->second.insert(attempt);
        return;
    }
    if (take_refusal(entry.m_overload)) {
        refuse_at_entry(job, {attempt});
        return;
    }
    job_status& status = m_job_statuses.at(job);
    status.m_is_burst = record_arrival(entry.m_bursts, make_queue_contract(job).m_name,
                                       declared_work(status.m_request), now());
    entry.m_callers[job] = {attempt};
    entry.m_caller_timeouts[job] =
        std::chrono::duration_cast<milliseconds>(caller_deadline(age, patience_of_callers) - now());
    hand_on(entry, job);
}

void platform_model::hand_on(forwarding_entry& entry, const std::string& job)
{
    const std::int64_t demand = initial_demand(m_job_statuses.at(job).m_request);
    const auto chosen = choose_home(entry.m_homes, entry.m_refused_by[job], demand, now());
    if (!chosen) {
        entry.m_waiting_for_home.try_emplace(job, m_now + 2 * entry.m_homes.m_limits.m_heartbeat.count());
        return;
    }
    ++m_job_statuses.at(job).m_open_attempts;
    record_forwarded(entry.m_homes, *chosen, job, demand);
    const milliseconds caller_timeout = entry.m_caller_timeouts.at(job);
    const entry_heartbeat heartbeat = make_entry_heartbeat(entry.m_homes, *chosen);
    const auto home = std::find_if(m_home_processes.begin(), m_home_processes.end(),
                                   [&chosen](const auto& item) { return item->m_id == *chosen; });
    call(
        entry, **home, call_timeout_ms,
        [this, to = home->get(), &entry, heartbeat, job, caller_timeout] {
            host_job(*to, entry, heartbeat, job, caller_timeout);
        },
        [this, &entry, id = *chosen, session = heartbeat.m_session.m_incarnation](bool is_received_there) {
            // On a real connection nothing arrives after a lost message: the connection breaks, and the home
            // may not notice it.
            const bool is_current = entry.m_homes.m_homes.at(id).m_session == session;
            if (!is_received_there && is_current)
                handle_lost_home(entry, id);
        });
}

void platform_model::hand_on_waiting(forwarding_entry& entry)
{
    for (const auto& [job, wait_until] : std::exchange(entry.m_waiting_for_home, {})) {
        if (choose_home(entry.m_homes, entry.m_refused_by[job], 0, now())) {
            hand_on(entry, job);
            continue;
        }
        if (wait_until > m_now) {
            entry.m_waiting_for_home.emplace(job, wait_until);
            continue;
        }
        const auto callers = entry.m_callers.find(job);
        refuse_at_entry(job, callers->second);
        entry.m_callers.erase(callers);
    }
}

void platform_model::cancel_forwarded(forwarding_entry& entry, const std::string& job)
{
    entry.m_callers.erase(job);
    entry.m_waiting_for_home.erase(job);
    for (auto& [id, view] : entry.m_homes.m_homes) {
        if (view.m_jobs.erase(job) == 0)
            continue;
        const auto home = std::find_if(m_home_processes.begin(), m_home_processes.end(),
                                       [&id = id](const auto& item) { return item->m_id == id; });
        call(
            entry, **home, call_timeout_ms,
            [to = home->get(), &entry, job] {
                const auto hosted = to->m_hosted.find(job);
                if (hosted == to->m_hosted.end())
                    return;
                std::erase_if(hosted->second, [&entry](const auto& item) { return item.second == &entry; });
                if (!hosted->second.empty())
                    return;
                to->m_hosted.erase(hosted);
                cancel_job(to->m_scheduler, job);
            },
            [](bool) {});
    }
}

void platform_model::refuse_at_entry(const std::string& job, const std::set<int>& attempts)
{
    m_job_statuses.at(job).m_answered_attempts.insert(attempts.begin(), attempts.end());
    m_job_statuses.at(job).m_is_refused = true;
    ++m_result.m_refused;
    record_end({job, job_end::refused, job_end_reason::overload, milliseconds(0)});
}

void platform_model::host_job(home_process& home, forwarding_entry& entry, const entry_heartbeat& heartbeat,
                              const std::string& job, milliseconds caller_timeout)
{
    if (!is_recent(home.m_leases, heartbeat, now())) {
        send_answer(home, entry, heartbeat.m_session,
                    {job, job_end::refused, job_end_reason::hand_in_late, milliseconds(0)});
        return;
    }
    record_entry_heartbeat(home.m_leases, heartbeat, now());
    const bool is_known = home.m_hosted.contains(job);
    home.m_hosted[job].emplace_back(heartbeat.m_session, &entry);
    if (!is_known)
        submit_job(home.m_scheduler, m_job_statuses.at(job).m_request, make_queue_contract(job),
                   caller_timeout, now());
    step_home_after_event(home);
}

void platform_model::return_answer(home_process& home, const job_answer_event& answer)
{
    const auto found = home.m_hosted.find(answer.m_job);
    if (found == home.m_hosted.end())
        return;
    const auto caller_entries = std::move(found->second);
    home.m_hosted.erase(found);
    for (const auto& [session, caller_entry] : caller_entries)
        send_answer(home, *caller_entry, session, answer);
}

void platform_model::send_answer(home_process& home, forwarding_entry& entry, const home_identity& session,
                                 const job_answer_event& answer)
{
    call(
        home, entry, call_timeout_ms,
        [this, &entry, id = home.m_id, session = session.m_incarnation, answer,
         status = make_home_status(home)] {
            on_home_status(entry.m_homes, id, session, status, now());
            receive_answer(entry, id, session, answer);
        },
        [](bool) {});
}

void platform_model::receive_answer(forwarding_entry& entry, const std::string& home, std::uint64_t session,
                                    const job_answer_event& answer)
{
    const auto known = entry.m_homes.m_homes.find(home);
    if (known == entry.m_homes.m_homes.end() || known->second.m_session != session ||
        !known->second.m_jobs.contains(answer.m_job))
        return;
    record_forward_ended(entry.m_homes, home, answer.m_job);
    const auto caller = entry.m_callers.find(answer.m_job);
    if (caller == entry.m_callers.end())
        return;
    std::set<std::string>& refused_by = entry.m_refused_by[answer.m_job];
    refused_by.insert(home);
    if (answer.m_end == job_end::completed)
        record_success(entry.m_retries);
    if (can_try_another_home(answer, refused_by.size()) && choose_home(entry.m_homes, refused_by, 0, now()) &&
        take_retry(entry.m_retries, make_queue_contract(answer.m_job).m_priority)) {
        --m_job_statuses.at(answer.m_job).m_open_attempts;
        hand_on(entry, answer.m_job);
        return;
    }
    entry.m_refused_by.erase(answer.m_job);
    const std::set<int> attempts = std::exchange(caller->second, {});
    entry.m_callers.erase(caller);
    record_end(answer);
    job_status& status = m_job_statuses.at(answer.m_job);
    const bool reaches_caller = std::any_of(attempts.begin(), attempts.end(),
                                            [&](int attempt) { return is_waiting(answer.m_job, attempt); });
    status.m_answered_attempts.insert(attempts.begin(), attempts.end());
    if (answer.m_end == job_end::refused) {
        status.m_is_refused = true;
        --status.m_open_attempts;
        ++m_result.m_refused;
    }
    if (answer.m_end == job_end::completed) {
        m_result.m_completed += reaches_caller ? 1 : 0;
        get_second(status.m_arrived_ms).m_completed += reaches_caller ? 1 : 0;
        status.m_answers += reaches_caller ? 1 : 0;
    }
}

// Starts a new session with the home. The callers of the lost jobs are answered that their jobs may have run,
// and submit them again.
void platform_model::handle_lost_home(forwarding_entry& entry, const std::string& home)
{
    for (const std::string& job : mark_home_lost(entry.m_homes, home)) {
        const auto caller = entry.m_callers.find(job);
        if (caller == entry.m_callers.end())
            continue;
        resubmit_all(job, caller->second);
        entry.m_callers.erase(caller);
    }
}

void platform_model::end_expired_sessions(home_process& home)
{
    if (m_settings.m_defect == model_defect::keeps_jobs_of_lost_entries)
        return;
    for (const home_identity& session : take_expired_sessions(home.m_leases, now())) {
        for (auto& [job, caller_entries] : home.m_hosted)
            std::erase_if(caller_entries,
                          [&session = session](const auto& item) { return item.first == session; });
    }
    std::erase_if(home.m_hosted, [&home](const auto& item) {
        if (item.second.empty())
            cancel_job(home.m_scheduler, item.first);
        return item.second.empty();
    });
}

} // namespace hawthornpin::model
