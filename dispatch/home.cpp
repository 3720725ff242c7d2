// Home side of the dispatcher: admission, ends of tasks and jobs, cancellation and deadlines.

#include "dispatch/home.h"

#include "core/fault_injection.h"

#include <algorithm>

namespace hawthornpin {

namespace {

milliseconds remaining_time(instant from, instant to)
{
    return std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(to - from));
}

// Number of slots available to this home for a burst: its own and those estimated to be free at peers.
double estimate_available_slots(const dispatcher& state)
{
    double slots = state.m_self.slots();
    for (const auto& [id, peer] : state.m_view) {
        if (id != state.m_self.identity().m_id && peer.m_is_usable)
            slots += std::max(0.0, estimated_free_slots(peer, 0));
    }
    return slots;
}

// Estimated time until the last task of the job would end.
milliseconds estimate_finish(const dispatcher& state, const submission& job)
{
    const milliseconds run_time = state.m_estimator.expected();
    const auto tasks = static_cast<double>(job.m_payloads.size());
    const milliseconds queued_work = work_ahead(state.m_queue, job.m_team, weight_of(state, job.m_team));
    const double work =
        static_cast<double>(queued_work.count()) + (tasks - 1) * static_cast<double>(run_time.count());
    return run_time + milliseconds(static_cast<long long>(work / estimate_available_slots(state)));
}

std::optional<reason> find_refusal(const dispatcher& state, const submission& job)
{
    if (state.m_is_leaving)
        return reason::leaving;
    if (!state.m_contract || state.m_contract->service() != job.m_ticket.m_service)
        return reason::not_ready;
    if (!can_ever_fit(state.m_view, job.m_needs) && !fits(state.m_self, job.m_needs))
        return reason::never_fits;
    if (!has_room(state.m_ledger, job))
        return reason::ledger_full;
    if (state.m_queue.m_live + static_cast<int>(job.m_payloads.size()) > state.m_settings.m_max_queued)
        return reason::queue_full;
    if (estimate_finish(state, job) > job.m_budget)
        return reason::deadline_unreachable;
    return std::nullopt;
}

admit_result refuse(dispatcher& state, const submission& job, reason why, instant now)
{
    ++state.m_counts.m_refusals[why];
    job_answer answer;
    answer.m_outcome = {verdict::not_run, why, ticket_state::closed};
    if (why == reason::deadline_unreachable || why == reason::queue_full)
        answer.m_retry_after = estimate_finish(state, job);
    record_refusal(state.m_ledger, job.m_ticket, answer, now);
    return {admit_kind::refused, answer.m_outcome};
}

void enqueue_tasks(dispatcher& state, const submission& job, milliseconds estimated, instant now)
{
    const int weight = weight_of(state, job.m_team);
    for (std::uint32_t index = 0; index < job.m_payloads.size(); ++index)
        push(state.m_queue, {{job.m_ticket.m_id, index}, job.m_team, estimated, now, false}, weight);
}

void finalize_and_notify(dispatcher& state, job_record& job, bool is_forced, actions& out)
{
    if (finalize_job(state.m_ledger, job, is_forced))
        out.push_back(job_ended{job.m_ticket.m_id});
}

// Puts a task that provably did not start back into the queue. Without retry budget it waits for a slot of
// this worker instead of causing more messages.
void requeue(dispatcher& state, const job_record& job, const grant_id& id, reason why, bool was_remote,
             instant now)
{
    ++state.m_counts.m_retries[why];
    const bool is_bound = was_remote && !take_retry(state.m_retries);
    push_front(state.m_queue, {id, job.m_team, job.m_estimated, now, is_bound}, weight_of(state, job.m_team));
}

bool can_regrant(const outcome& value)
{
    if (value.m_verdict == verdict::not_run)
        return true;
    return is_mutant_active(mutant::regrant_after_lost_connection) &&
           value.m_verdict == verdict::may_have_run;
}

} // namespace

int weight_of(const dispatcher& state, const std::string& team)
{
    const auto found = state.m_teams.find(team);
    return found == state.m_teams.end() ? 1 : found->second.weight();
}

std::optional<grant> make_grant(dispatcher& state, const queued_task& task, const agent_identity& worker,
                                instant now)
{
    job_record* job = find_job(state.m_ledger, task.m_grant.m_ticket);
    if (job == nullptr || job->m_phase != job_phase::running)
        return std::nullopt;
    if (!mark_granted(*job, task.m_grant.m_task, worker))
        return std::nullopt;
    const task_record& record = job->m_tasks[task.m_grant.m_task];
    grant made;
    made.m_home = state.m_self.identity();
    made.m_id = task.m_grant;
    made.m_attempt = record.m_attempt;
    made.m_team = job->m_team;
    made.m_payload = record.m_payload;
    made.m_budget = remaining_time(now, job->m_deadline);
    if (state.m_contract)
        made.m_budget = std::min(made.m_budget, state.m_contract->task_time_limit());
    made.m_estimated = task.m_estimated;
    made.m_valid_until = job->m_keep_until;
    return made;
}

admit_result on_submit(dispatcher& state, const submission& job, instant now, actions& out)
{
    // An earlier incarnation of this agent may have run the ticket's job.
    const bool is_own = job.m_ticket.m_home == state.m_self.identity();
    if (!is_own && !is_mutant_active(mutant::restart_accepts_old_ticket))
        return {admit_kind::refused,
                {verdict::may_have_run, reason::wrong_incarnation, ticket_state::closed}};
    if (const auto known = find_admit_result(state.m_ledger, job, now)) {
        if (known->m_kind == admit_kind::refused)
            ++state.m_counts.m_refusals[known->m_refusal.m_reason];
        return *known;
    }
    if (const auto why = find_refusal(state, job))
        return refuse(state, job, *why, now);
    const milliseconds estimated = state.m_estimator.expected();
    record_job(state.m_ledger, job, estimated, now);
    enqueue_tasks(state, job, estimated, now);
    schedule(state, now, out);
    return {admit_kind::accepted, {}};
}

void end_job(dispatcher& state, job_record& job, reason why, instant now, actions& out)
{
    if (job.m_phase != job_phase::running)
        return;
    const int dropped = begin_ending(job, why);
    for (int count = 0; count < dropped; ++count)
        remove_from_totals(state.m_queue, job.m_team, job.m_estimated);
    job.m_ending_deadline = now + state.m_settings.m_ledger.m_revoke_timeout;
    index_deadline(state.m_ledger, job.m_ticket.m_id, job.m_ending_deadline);
    for (std::uint32_t index = 0; index < job.m_tasks.size(); ++index) {
        const task_record& task = job.m_tasks[index];
        if (task.m_phase != task_phase::granted)
            continue;
        const grant_id id{job.m_ticket.m_id, index};
        if (task.m_worker == state.m_self.identity()) {
            state.m_grants.m_grants.at(id).m_is_stopping = true;
            out.push_back(stop_task{id});
            continue;
        }
        const auto peer = state.m_view.find(task.m_worker.m_id);
        const std::string address = peer == state.m_view.end() ? "" : peer->second.m_worker.address();
        ++state.m_counts.m_revokes_sent;
        out.push_back(send_revoke{task.m_worker, address, id, job.m_keep_until});
    }
    finalize_and_notify(state, job, false, out);
}

void apply_task_end(dispatcher& state, const agent_identity& from, const grant_id& id, std::uint32_t attempt,
                    const task_end& end, instant now, actions& out)
{
    job_record* job = find_job(state.m_ledger, id.m_ticket);
    if (job == nullptr)
        return;
    if (is_success(end.m_outcome)) {
        if (mark_done(state.m_ledger, *job, id.m_task, attempt, end.m_answer))
            record_success(state.m_retries);
        finalize_and_notify(state, *job, false, out);
        return;
    }
    if (can_regrant(end.m_outcome)) {
        if (!mark_returned(*job, id.m_task, attempt))
            return;
        if (job->m_phase == job_phase::running)
            requeue(state, *job, id, end.m_outcome.m_reason, from != state.m_self.identity(), now);
        finalize_and_notify(state, *job, false, out);
        return;
    }
    const bool is_certain = end.m_outcome.m_verdict == verdict::ran;
    if (!mark_lost(*job, id.m_task, attempt, is_certain))
        return;
    end_job(state, *job, end.m_outcome.m_reason, now, out);
    finalize_and_notify(state, *job, false, out);
}

outcome on_cancel(dispatcher& state, const ticket& cancelled, instant now, actions& out)
{
    if (cancelled.m_home != state.m_self.identity())
        return {verdict::may_have_run, reason::wrong_incarnation, ticket_state::closed};
    job_record* job = find_job(state.m_ledger, cancelled.m_id);
    if (job == nullptr) {
        if (cancelled.m_expiry <= now)
            return {verdict::may_have_run, reason::ticket_expired, ticket_state::closed};
        const job_answer answer{{verdict::not_run, reason::cancelled, ticket_state::closed}, {}, {}};
        if (!is_mutant_active(mutant::cancel_drops_tombstone))
            record_refusal(state.m_ledger, cancelled, answer, now);
        return answer.m_outcome;
    }
    end_job(state, *job, reason::cancelled, now, out);
    schedule(state, now, out);
    // Scheduling never removes records, so the job is still there.
    if (job->m_answer)
        return job->m_answer->m_outcome;
    return {verdict::may_have_run, reason::cancelled, ticket_state::closed};
}

void on_grant_reply(dispatcher& state, const agent_identity& from, const grant_id& id, std::uint32_t attempt,
                    const task_end& end, const std::optional<load_report>& report, instant now, actions& out)
{
    if (report)
        record_report(state.m_view, from, *report, now);
    apply_task_end(state, from, id, attempt, end, now, out);
    schedule(state, now, out);
}

void on_revoke_reply(dispatcher& state, const grant_id& id, const outcome& result, instant now, actions& out)
{
    job_record* job = find_job(state.m_ledger, id.m_ticket);
    if (job == nullptr || result.m_verdict != verdict::not_run || id.m_task >= job->m_tasks.size())
        return;
    mark_returned(*job, id.m_task, job->m_tasks[id.m_task].m_attempt);
    finalize_and_notify(state, *job, false, out);
    schedule(state, now, out);
}

void on_tick(dispatcher& state, instant now, actions& out)
{
    for (const ticket_id& id : take_overdue(state.m_ledger, now)) {
        job_record* job = find_job(state.m_ledger, id);
        if (job == nullptr)
            continue;
        if (job->m_phase == job_phase::running)
            end_job(state, *job, reason::deadline_passed, now, out);
        else if (job->m_phase == job_phase::ending && job->m_ending_deadline <= now)
            finalize_and_notify(state, *job, true, out);
    }
    drop_expired(state.m_ledger, now);
    drop_expired(state.m_grants, now);
    refresh_quarantine(state.m_placement, state.m_view);
    schedule(state, now, out);
}

} // namespace hawthornpin
