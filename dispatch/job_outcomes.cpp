// Handling of what agents report: outcomes of runs, statuses, and answers to order batches.

#include "dispatch/live_jobs.h"

#include <algorithm>

namespace hawthornpin {

namespace {

void finish_step(job_scheduler& scheduler, live_job& job, std::uint32_t finished, instant now)
{
    for (std::uint32_t step = finished + 1; step < job.m_steps.size(); ++step) {
        const auto& depends_on = job.m_request.m_steps[step].m_depends_on;
        if (std::find(depends_on.begin(), depends_on.end(), finished) == depends_on.end())
            continue;
        if (--job.m_steps[step].m_unfinished_dependencies == 0)
            open_step(scheduler, job, step, now);
    }
}

bool is_job_done(const live_job& job)
{
    return std::all_of(job.m_steps.begin(), job.m_steps.end(),
                       [](const live_step& step) { return step.m_unfinished == 0; });
}

void finish_task(job_scheduler& scheduler, live_job& job, const run_outcome& outcome, instant now)
{
    const std::uint32_t step = outcome.m_run.m_task.m_step;
    live_task& task = job.m_steps[step].m_tasks[outcome.m_run.m_task.m_index];
    task.m_phase = live_task_phase::done;
    const auto agent = scheduler.m_agents.m_agents.find(task.m_agent);
    if (agent != scheduler.m_agents.m_agents.end()) {
        record_run_success(agent->second);
        record_duration(agent->second, outcome.m_duration, job.m_steps[step].m_estimate);
    }
    record_duration(scheduler.m_estimator, job.m_queue.m_name, step,
                    milliseconds(job.m_request.m_steps[step].m_estimate_ms), outcome.m_duration);
    if (--job.m_steps[step].m_unfinished > 0)
        return;
    finish_step(scheduler, job, step, now);
    if (is_job_done(job))
        answer_job(scheduler, outcome.m_run.m_task.m_job, job_end::completed, job_end_reason::all_done);
}

void record_agent_failure(job_scheduler& scheduler, live_task& task, instant now)
{
    const auto agent = scheduler.m_agents.m_agents.find(task.m_agent);
    // A task that also failed on another agent may itself be the cause.
    if (agent != scheduler.m_agents.m_agents.end() && task.m_failed_runs <= 1)
        record_run_failure(scheduler.m_agents, agent->second, now);
    task.m_avoided.push_back(task.m_agent);
}

void retry_task(job_scheduler& scheduler, live_job& job, const run_outcome& outcome, instant now)
{
    const std::uint32_t step = outcome.m_run.m_task.m_step;
    const std::uint32_t index = outcome.m_run.m_task.m_index;
    live_task& task = job.m_steps[step].m_tasks[index];
    if (outcome.m_result == run_result::failed)
        ++task.m_failed_runs;
    const bool is_agent_suspect = outcome.m_result == run_result::failed ||
                                  outcome.m_result == run_result::stalled ||
                                  outcome.m_result == run_result::refused;
    if (is_agent_suspect)
        record_agent_failure(scheduler, task, now);
    task.m_phase = live_task_phase::blocked;
    if (task.m_failed_runs >= job.m_queue.m_max_attempts) {
        answer_job(scheduler, outcome.m_run.m_task.m_job, job_end::failed,
                   job_end_reason::attempts_exhausted);
        return;
    }
    make_ready(scheduler, job, step, index, now);
}

// The ordered task that the run belongs to; null if it is not the task's newest run.
live_task* find_ordered(live_job& job, const run_id& run, const std::string& agent)
{
    const task_id& id = run.m_task;
    if (id.m_step >= job.m_steps.size() || id.m_index >= job.m_steps[id.m_step].m_tasks.size())
        return nullptr;
    live_task& task = job.m_steps[id.m_step].m_tasks[id.m_index];
    const bool is_newest =
        task.m_phase == live_task_phase::ordered && task.m_run == run.m_number && task.m_agent == agent;
    return is_newest ? &task : nullptr;
}

// Drops the orders and stops for an earlier incarnation of an agent; the batch numbers continue.
void clear_channel(agent_channel& channel)
{
    channel.m_starts.clear();
    channel.m_unanswered_runs.clear();
    channel.m_stops.clear();
    channel.m_in_flight.reset();
    channel.m_consecutive_losses = 0;
}

bool is_in_flight(const agent_channel& channel, std::uint64_t number)
{
    return channel.m_in_flight && channel.m_in_flight->m_number == number;
}

bool is_still_ordered(job_scheduler& scheduler, const run_id& run, const std::string& agent)
{
    const auto found = scheduler.m_jobs.find(run.m_task.m_job);
    return found != scheduler.m_jobs.end() && find_ordered(found->second, run, agent) != nullptr;
}

// Whether an outcome in a report with this status was sent before the agent received the order for the run: a
// job that is submitted again begins with the same run numbers.
bool is_outdated(job_scheduler& scheduler, const agent_status& status, const run_id& run)
{
    const auto found = scheduler.m_jobs.find(run.m_task.m_job);
    if (found == scheduler.m_jobs.end())
        return true;
    const live_task* task = find_ordered(found->second, run, status.m_identity.m_id);
    return task == nullptr || status.m_orders_seen < task->m_batch;
}

void apply_outcome(job_scheduler& scheduler, const std::string& agent, const run_outcome& outcome,
                   instant now)
{
    const auto found = scheduler.m_jobs.find(outcome.m_run.m_task.m_job);
    if (found == scheduler.m_jobs.end())
        return;
    if (find_ordered(found->second, outcome.m_run, agent) == nullptr)
        return;
    release_run(scheduler, agent);
    withdraw_order(scheduler.m_channels[agent], outcome.m_run);
    --found->second.m_open_runs;
    found->second.m_has_begun = found->second.m_has_begun || outcome.m_verdict != verdict::not_run;
    if (outcome.m_result == run_result::done)
        finish_task(scheduler, found->second, outcome, now);
    else
        retry_task(scheduler, found->second, outcome, now);
}

// Pause after a lost batch that was preceded by `losses` others in a row.
milliseconds retry_pause(const scheduler_limits& limits, std::uint32_t losses)
{
    constexpr std::uint32_t max_doublings = 10;
    const milliseconds doubled = limits.m_retry_pause * (1U << std::min(losses, max_doublings));
    return std::min(doubled, limits.m_max_retry_pause);
}

} // namespace

void mark_agent_runs_lost(job_scheduler& scheduler, const std::string& agent, instant now)
{
    std::vector<run_outcome> lost;
    for (const auto& [id, job] : scheduler.m_jobs) {
        for (const ordered_run& ordered : list_ordered_runs(job)) {
            if (ordered.m_agent == agent)
                lost.push_back({ordered.m_run, run_result::lost, milliseconds(0), verdict::may_have_run});
        }
    }
    for (const run_outcome& outcome : lost)
        apply_outcome(scheduler, agent, outcome, now);
}

namespace {

// Once a new incarnation of an agent has stopped the runs of the earlier one, these can be repeated.
void reconcile_agent(job_scheduler& scheduler, const std::string& id, instant now)
{
    agent_view& agent = scheduler.m_agents.m_agents.at(id);
    if (agent.m_is_reconciled || !agent.m_status.m_is_reconciled)
        return;
    mark_agent_runs_lost(scheduler, id, now);
    agent.m_is_reconciled = true;
}

} // namespace

void on_agent_report(job_scheduler& scheduler, const agent_status& status,
                     const std::vector<run_outcome>& outcomes, instant now)
{
    // An earlier incarnation of this home had the same address. It numbered its orders and runs anew.
    const bool names_receiver = !status.m_receiver.m_id.empty();
    if (names_receiver && status.m_receiver != scheduler.m_self)
        return;
    const std::string& agent = status.m_identity.m_id;
    if (!is_of_ended_incarnation(scheduler.m_agents, status, now)) {
        const auto known = scheduler.m_agents.m_agents.find(agent);
        if (known != scheduler.m_agents.m_agents.end() &&
            known->second.m_status.m_identity != status.m_identity)
            clear_channel(scheduler.m_channels[agent]);
        record_status(scheduler.m_agents, status, now);
        reconcile_agent(scheduler, agent, now);
    }
    for (const run_outcome& outcome : outcomes) {
        if (!is_outdated(scheduler, status, outcome.m_run))
            apply_outcome(scheduler, agent, outcome, now);
    }
}

void on_batch_answered(job_scheduler& scheduler, const std::string& agent, std::uint64_t number,
                       const agent_status& status, instant now)
{
    on_agent_report(scheduler, status, {}, now);
    const auto found = scheduler.m_agents.m_agents.find(agent);
    if (found != scheduler.m_agents.m_agents.end())
        record_clock(found->second, status, now);
    agent_channel& channel = scheduler.m_channels[agent];
    channel.m_consecutive_losses = 0;
    if (is_in_flight(channel, number))
        channel.m_in_flight.reset();
}

void on_batch_lost(job_scheduler& scheduler, const std::string& agent, std::uint64_t number, instant now)
{
    const auto found = scheduler.m_channels.find(agent);
    if (found == scheduler.m_channels.end() || !is_in_flight(found->second, number))
        return;
    // The orders are repeated under the next number; an agent that received them the first time ignores the
    // repetition.
    agent_channel& channel = found->second;
    const order_batch lost = std::move(*channel.m_in_flight);
    channel.m_in_flight.reset();
    channel.m_retry_at = now + retry_pause(scheduler.m_limits, channel.m_consecutive_losses++);
    for (const run_order& order : lost.m_starts) {
        if (!is_still_ordered(scheduler, order.m_run, agent))
            continue;
        channel.m_unanswered_runs.insert(order.m_run);
        channel.m_starts.push_back(order);
    }
    channel.m_stops.insert(channel.m_stops.begin(), lost.m_stops.begin(), lost.m_stops.end());
    const auto view = scheduler.m_agents.m_agents.find(agent);
    if (view == scheduler.m_agents.m_agents.end())
        return;
    for (unacknowledged_order& order : view->second.m_unacknowledged)
        order.m_batch = channel.m_number + 1;
}

} // namespace hawthornpin
