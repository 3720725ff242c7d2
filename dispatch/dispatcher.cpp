// Worker side of the dispatcher, scheduling, and functions shared with the home side.

#include "dispatch/dispatcher.h"

#include "core/fault_injection.h"
#include "dispatch/home.h"

#include <algorithm>

namespace hawthornpin {

namespace {

// Minimum interval between idle notices of one worker.
constexpr milliseconds idle_notice_interval{10};

// Whether the outcome counts as a failure of the target.
bool is_target_fault(const outcome& value)
{
    return value.m_reason == reason::task_failed || value.m_reason == reason::target_connection_lost;
}

int share_of_running_limit(const dispatcher& state, const team& limited)
{
    const int workers = std::max<int>(1, static_cast<int>(state.m_view.size()));
    return std::max(1, (limited.running_limit() + workers - 1) / workers);
}

bool can_team_run(const dispatcher& state, const std::string& name)
{
    const auto found = state.m_teams.find(name);
    if (found == state.m_teams.end() || found->second.running_limit() == 0)
        return true;
    const auto running = state.m_grants.m_running_by_team.find(name);
    const int count = running == state.m_grants.m_running_by_team.end() ? 0 : running->second;
    return count < share_of_running_limit(state, found->second);
}

bool is_runnable(const dispatcher& state, const queued_task& task)
{
    const auto job = state.m_ledger.m_jobs.find(task.m_grant.m_ticket);
    if (job != state.m_ledger.m_jobs.end() && !job->second.m_tasks.empty()) {
        const bool is_queued = job->second.m_tasks.at(task.m_grant.m_task).m_phase == task_phase::queued;
        return job->second.m_phase == job_phase::running && is_queued;
    }
    const auto granted = state.m_grants.m_grants.find(task.m_grant);
    return granted != state.m_grants.m_grants.end() && granted->second.m_phase == grant_phase::queued;
}

queue_filter make_filter(const dispatcher& state, bool is_local)
{
    return {[&state](const queued_task& task) { return is_runnable(state, task); },
            [&state, is_local](const std::string& name) { return !is_local || can_team_run(state, name); },
            is_local};
}

void report_own_load(dispatcher& state, instant now)
{
    record_report(state.m_view, state.m_self.identity(), {current_load(state), 0}, now);
}

// Whether this worker should start tasks: not while its target is stopped, nor while it is quarantined and
// another worker could take them.
bool can_start_locally(const dispatcher& state, instant now)
{
    if (state.m_is_target_stopped)
        return false;
    const auto self = state.m_view.find(state.m_self.identity().m_id);
    return self == state.m_view.end() || is_placeable(state.m_placement, self->second, now);
}

void record_probe(dispatcher& state, instant now)
{
    const auto self = state.m_view.find(state.m_self.identity().m_id);
    if (self != state.m_view.end())
        self->second.m_next_probe = now + state.m_settings.m_placement.m_quarantine.m_probe_interval;
}

void start_locally(dispatcher& state, const grant_id& id, instant now, actions& out)
{
    grant_record& record = state.m_grants.m_grants.at(id);
    const auto waited = std::chrono::duration_cast<milliseconds>(now - record.m_received_at);
    const milliseconds budget = std::max(milliseconds(1), record.m_budget - waited);
    ++state.m_counts.m_started;
    out.push_back(start_task{id, record.m_payload, budget});
    record_probe(state, now);
}

void reply_unstarted(dispatcher& state, const grant_record& record, const grant_id& id, reason why,
                     actions& out)
{
    ++state.m_counts.m_returned_unstarted;
    ++state.m_counts.m_refusals[why];
    out.push_back(reply_grant{
        record.m_home, id, record.m_attempt, {{verdict::not_run, why, ticket_state::closed}, {}}});
}

// Maximum number of granted tasks of other homes that wait here for a slot. When the contract favours
// response time over messages, a worker without a free slot refuses a grant at once: its home then has a
// fresh load report and tries the next worker.
double max_waiting_grants(const dispatcher& state)
{
    const bool favours_messages = state.m_contract && state.m_contract->favoured() == favour::messages;
    const double per_slot = favours_messages ? state.m_settings.m_accepted_per_slot
                                             : state.m_settings.m_placement.m_buffer_per_slot;
    return state.m_self.slots() * per_slot;
}

// Starts one waiting task on this worker; false if none may run.
bool schedule_locally(dispatcher& state, instant now, actions& out)
{
    const auto task = pop(state.m_queue, make_filter(state, true));
    if (!task)
        return false;
    if (state.m_ledger.m_jobs.contains(task->m_grant.m_ticket)) {
        const auto made = make_grant(state, *task, state.m_self.identity(), now);
        if (!made || offer_grant(state.m_grants, *made, now))
            return true;
    }
    if (begin_run(state.m_grants, task->m_grant, now)) {
        start_locally(state, task->m_grant, now, out);
    }
    else if (const auto returned = return_unstarted(state.m_grants, task->m_grant)) {
        reply_unstarted(state, *returned, task->m_grant, reason::ticket_expired, out);
    }
    return true;
}

// Grants one waiting task of this home's jobs to a peer; false if no peer has room or no task may move.
bool schedule_on_peer(dispatcher& state, instant now, actions& out)
{
    auto task = pop(state.m_queue, make_filter(state, false));
    if (!task)
        return false;
    const task_needs& needs = state.m_ledger.m_jobs.at(task->m_grant.m_ticket).m_needs;
    const auto chosen = choose_worker(state.m_placement, state.m_view, state.m_self.identity().m_id, needs,
                                      now, state.m_random);
    if (!chosen) {
        const int weight = weight_of(state, task->m_team);
        push_front(state.m_queue, std::move(*task), weight);
        return false;
    }
    const worker& peer = state.m_view.at(*chosen).m_worker;
    auto made = make_grant(state, *task, peer.identity(), now);
    if (!made)
        return true;
    made->m_sent = record_sent(state.m_view, peer.identity(), 1);
    ++state.m_counts.m_grants_sent;
    out.push_back(send_grant{peer.identity(), peer.address(), *made});
    return true;
}

// Notifies the most loaded peer that slots are free here.
void notify_busiest_peer(dispatcher& state, instant now, actions& out)
{
    const bool has_idle_slots =
        free_slots(state) > 0 && state.m_queue.m_live == 0 && can_start_locally(state, now);
    if (!state.m_settings.m_notifies_idle || !has_idle_slots || state.m_is_leaving ||
        now < state.m_next_idle_notice)
        return;
    // When the contract favours fewer messages, a peer learns of free slots from the next heartbeat.
    if (state.m_contract && state.m_contract->favoured() == favour::messages)
        return;
    worker_view* busiest = nullptr;
    for (auto& [id, peer] : state.m_view) {
        const bool is_loaded = id != state.m_self.identity().m_id && peer.m_load.m_queued > 0;
        if (is_loaded && (busiest == nullptr || peer.m_load.m_queued > busiest->m_load.m_queued))
            busiest = &peer;
    }
    if (busiest == nullptr)
        return;
    state.m_next_idle_notice = now + idle_notice_interval;
    ++state.m_counts.m_idle_notices;
    // Prevents a second notice before the peer's next report shows whether it still has waiting tasks.
    busiest->m_load.m_queued = 0;
    out.push_back(notify_idle{busiest->m_worker.identity(), busiest->m_worker.address()});
}

} // namespace

dispatcher::dispatcher(worker self, const dispatch_settings& settings, std::uint64_t seed)
    : m_self(std::move(self)), m_settings(settings), m_estimator(milliseconds(1), settings.m_estimates),
      m_random(seed)
{
    m_ledger.m_limits = settings.m_ledger;
    m_queue.m_policy = settings.m_queue;
    m_placement.m_settings = settings.m_placement;
    m_placement.m_own_place = m_self.where();
    worker_view own;
    own.m_worker = m_self;
    m_view.emplace(m_self.identity().m_id, own);
}

void apply_contract(dispatcher& state, const contract& service, const std::map<std::string, team>& teams)
{
    state.m_contract = service;
    state.m_teams = teams;
    state.m_estimator.set_declared(service.declared_run_time());
}

int free_slots(const dispatcher& state)
{
    return state.m_self.slots() - static_cast<int>(state.m_grants.m_running.size()) - state.m_orphans_running;
}

worker_load current_load(const dispatcher& state)
{
    worker_load load;
    load.m_running = static_cast<int>(state.m_grants.m_running.size()) + state.m_orphans_running;
    load.m_queued = state.m_queue.m_live;
    const auto per_slot = state.m_estimator.expected() * load.m_queued / state.m_self.slots();
    load.m_estimated_wait = free_slots(state) > 0 ? milliseconds(0) : per_slot;
    load.m_failures_per_mille = to_per_mille(state.m_failures);
    load.m_is_stopped = state.m_is_target_stopped || state.m_is_leaving;
    return load;
}

int work_in_progress(const dispatcher& state)
{
    return state.m_ledger.m_live_jobs + static_cast<int>(state.m_grants.m_running.size()) +
           state.m_grants.m_queued;
}

bool is_idle(const dispatcher& state)
{
    return work_in_progress(state) == 0 && state.m_queue.m_live == 0;
}

void schedule(dispatcher& state, instant now, actions& out)
{
    while (state.m_queue.m_live > 0) {
        if (free_slots(state) > 0 && can_start_locally(state, now)) {
            if (schedule_locally(state, now, out))
                continue;
        }
        if (!schedule_on_peer(state, now, out))
            break;
    }
    report_own_load(state, now);
}

void on_grant(dispatcher& state, const grant& offered, instant now, actions& out)
{
    ++state.m_counts.m_grants_received;
    const auto refuse = [&](reason why) {
        refuse_grant(state.m_grants, offered);
        ++state.m_counts.m_refusals[why];
        const outcome refusal{verdict::not_run, why, ticket_state::closed};
        out.push_back(reply_grant{offered.m_home, offered.m_id, offered.m_attempt, {refusal, {}}});
    };
    const bool is_new = !is_repeat(state.m_grants, offered);
    if (is_new && state.m_is_leaving && !is_mutant_active(mutant::leaving_accepts_grants))
        return refuse(reason::leaving);
    if (is_new && state.m_is_target_stopped)
        return refuse(reason::target_unreachable);
    const double room = free_slots(state) + max_waiting_grants(state);
    if (is_new && state.m_grants.m_queued >= room)
        return refuse(reason::worker_full);
    if (const auto refusal = offer_grant(state.m_grants, offered, now)) {
        out.push_back(reply_grant{offered.m_home, offered.m_id, offered.m_attempt, {*refusal, {}}});
        return;
    }
    push(state.m_queue, {offered.m_id, offered.m_team, offered.m_estimated, now, true},
         weight_of(state, offered.m_team));
    schedule(state, now, out);
}

outcome on_revoke(dispatcher& state, const grant_id& id, instant valid_until, instant now, actions& out)
{
    const auto found = state.m_grants.m_grants.find(id);
    const bool was_queued =
        found != state.m_grants.m_grants.end() && found->second.m_phase == grant_phase::queued;
    const outcome result = revoke_grant(state.m_grants, id, valid_until);
    if (was_queued) {
        const grant_record& record = state.m_grants.m_grants.at(id);
        remove_from_totals(state.m_queue, record.m_team, record.m_estimated);
        out.push_back(reply_grant{record.m_home, id, record.m_attempt, {result, {}}});
    }
    if (result.m_verdict == verdict::may_have_run) {
        state.m_grants.m_grants.at(id).m_is_stopping = true;
        out.push_back(stop_task{id});
    }
    schedule(state, now, out);
    return result;
}

void on_task_ended(dispatcher& state, const grant_id& id, const task_end& end, instant now, actions& out)
{
    const bool is_unstarted = end.m_outcome.m_verdict == verdict::not_run;
    const auto record = is_unstarted ? return_unstarted(state.m_grants, id) : end_run(state.m_grants, id);
    if (!record)
        return;
    if (is_unstarted) {
        // The target refused the task: nothing more is started here until the target's status is known again.
        state.m_is_target_stopped = true;
        --state.m_counts.m_started;
    }
    else {
        ++state.m_counts.m_finished;
        record_task_end(state.m_failures, is_target_fault(end.m_outcome));
        if (is_success(end.m_outcome))
            state.m_estimator.record(std::chrono::duration_cast<milliseconds>(now - record->m_started_at));
        else
            refresh_quarantine(state.m_placement, state.m_view);
    }
    report_own_load(state, now);
    if (record->m_home == state.m_self.identity())
        apply_task_end(state, state.m_self.identity(), id, record->m_attempt, end, now, out);
    else
        out.push_back(reply_grant{record->m_home, id, record->m_attempt, end});
    schedule(state, now, out);
    notify_busiest_peer(state, now, out);
}

void on_members(dispatcher& state, const std::vector<member>& members, instant now, actions& out)
{
    std::vector<std::string> ids{state.m_self.identity().m_id};
    for (const member& known : members) {
        const std::string& id = known.m_announcement.m_worker.identity().m_id;
        ids.push_back(id);
        if (id != state.m_self.identity().m_id)
            update_member(state.m_view, known);
    }
    retain_members(state.m_view, ids);
    schedule(state, now, out);
}

void on_idle_notice(dispatcher& state, const agent_identity& from, const worker_load& load, instant now,
                    actions& out)
{
    record_report(state.m_view, from, {load, 0}, now);
    schedule(state, now, out);
}

void on_target_status(dispatcher& state, int orphans_running, bool is_stopped, instant now, actions& out)
{
    state.m_orphans_running = orphans_running;
    state.m_is_target_stopped = is_stopped;
    schedule(state, now, out);
}

void on_leave(dispatcher& state, instant now, actions& out)
{
    state.m_is_leaving = true;
    for (const grant_id& id : queued_grants(state.m_grants)) {
        const auto returned = return_unstarted(state.m_grants, id);
        if (!returned)
            continue;
        remove_from_totals(state.m_queue, returned->m_team, returned->m_estimated);
        reply_unstarted(state, *returned, id, reason::leaving, out);
    }
    schedule(state, now, out);
}

} // namespace hawthornpin
