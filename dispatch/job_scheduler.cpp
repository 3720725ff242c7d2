// Admission of jobs, placement of their tasks, and deadlines.

#include "dispatch/job_scheduler.h"

#include "dispatch/job_admission.h"
#include "dispatch/live_jobs.h"

#include <algorithm>

namespace hawthornpin {

namespace {

// Detects a delay of this process, after which answers of agents wait unread: if agents were checked before
// these are read, all would seem lost.
bool update_catch_up(job_scheduler& scheduler, instant now)
{
    if (scheduler.m_advanced_at + scheduler.m_limits.m_max_advance_gap < now)
        scheduler.m_catching_up_until = now + scheduler.m_limits.m_catch_up_time;
    scheduler.m_advanced_at = now;
    return now < scheduler.m_catching_up_until;
}

void expire_agents(job_scheduler& scheduler, instant now)
{
    const agent_table_limits& limits = scheduler.m_agents.m_limits;
    std::vector<std::string> lost;
    for (const auto& [id, agent] : scheduler.m_agents.m_agents) {
        const instant last_message_at = agent.m_is_reconciled ? agent.m_clock_seen_at : agent.m_known_since;
        if (agent.m_runs > 0 && last_message_at + limits.m_lost_after < now)
            lost.push_back(id);
    }
    for (const std::string& id : lost) {
        mark_agent_runs_lost(scheduler, id, now);
        scheduler.m_agents.m_agents.at(id).m_is_reconciled = true;
    }
    std::erase_if(scheduler.m_agents.m_agents, [&](const auto& item) {
        if (item.second.m_runs > 0)
            return false;
        // The channel is kept, because the agent may return in this incarnation, which has seen its numbers.
        if (item.second.m_status.m_state == agent_state::assigned_elsewhere)
            return true;
        const bool is_gone = item.second.m_updated_at + limits.m_forget_after < now;
        if (is_gone)
            scheduler.m_channels.erase(item.first);
        return is_gone;
    });
}

void end_overdue_jobs(job_scheduler& scheduler, instant now)
{
    std::vector<std::string> expired;
    std::vector<std::string> late;
    for (const auto& [id, job] : scheduler.m_jobs) {
        if (job.m_caller_deadline <= now)
            expired.push_back(id);
        else if (is_provably_not_run(job) && latest_useful_start(job) < now)
            late.push_back(id);
    }
    for (const std::string& id : expired) {
        const job_end end =
            is_provably_not_run(scheduler.m_jobs.at(id)) ? job_end::refused : job_end::abandoned;
        answer_job(scheduler, id, end, job_end_reason::caller_deadline);
    }
    for (const std::string& id : late) {
        const milliseconds retry_after =
            expected_wait(scheduler, scheduler.m_jobs.at(id).m_queue.m_service, now);
        answer_job(scheduler, id, job_end::refused, job_end_reason::late_before_start, retry_after);
    }
}

placement_request make_placement_request(const live_job& job, std::uint32_t step, const live_task& task)
{
    const job_step& wanted = job.m_request.m_steps[step];
    placement_request request;
    request.m_service = job.m_queue.m_service;
    request.m_needs = wanted.m_per_task;
    request.m_estimate = job.m_steps[step].m_estimate;
    request.m_required_label = wanted.m_required_label;
    request.m_preferred_rack = wanted.m_preferred_rack;
    request.m_avoided = task.m_avoided;
    if (wanted.m_max_per_worker == 0)
        return request;
    std::map<std::string, std::uint32_t> tasks_by_agent;
    for (const live_task& sibling : job.m_steps[step].m_tasks) {
        if (sibling.m_phase == live_task_phase::ordered &&
            ++tasks_by_agent[sibling.m_agent] >= wanted.m_max_per_worker)
            request.m_excluded.push_back(sibling.m_agent);
    }
    return request;
}

void order_run(job_scheduler& scheduler, live_job& job, const ready_key& key, agent_view& agent, instant now)
{
    live_task& task = job.m_steps[key.m_step].m_tasks[key.m_index];
    task.m_phase = live_task_phase::ordered;
    ++task.m_run;
    task.m_agent = agent.m_status.m_identity.m_id;
    ++job.m_open_runs;
    ++agent.m_runs;
    agent_channel& channel = scheduler.m_channels[task.m_agent];
    task.m_batch = channel.m_number + 1;
    run_order order;
    order.m_run = make_run_id(job, key.m_step, key.m_index);
    order.m_specification = job.m_request.m_specification;
    order.m_needs = job.m_request.m_steps[key.m_step].m_per_task;
    order.m_required_label = job.m_request.m_steps[key.m_step].m_required_label;
    order.m_estimate = job.m_steps[key.m_step].m_estimate;
    order.m_slack = std::chrono::duration_cast<milliseconds>(key.m_latest_start - now);
    order.m_start_within = scheduler.m_homes_per_agent * scheduler.m_limits.m_start_within_per_home;
    if (!job.m_has_begun) {
        const auto left = std::chrono::duration_cast<milliseconds>(latest_useful_start(job) - now);
        order.m_start_within = std::min(order.m_start_within, left);
    }
    agent.m_unacknowledged.push_back({task.m_batch, order.m_needs});
    channel.m_starts.push_back(std::move(order));
}

// Job and agent of the last placed task in this round, and how many tasks of the job were placed there in a
// row.
struct previous_placement {
    std::string m_job;
    std::string m_agent;
    std::size_t m_tasks = 0;
};

std::string find_previous_agent(const previous_placement& last, const std::string& job, std::size_t max_tasks)
{
    return last.m_job == job && last.m_tasks < max_tasks ? last.m_agent : std::string();
}

void record_placement(previous_placement& last, const std::string& job, const std::string& agent)
{
    const bool is_joined = last.m_job == job && last.m_agent == agent;
    last = {job, agent, is_joined ? last.m_tasks + 1 : 1};
}

void place_ready_tasks(job_scheduler& scheduler, instant now)
{
    std::size_t misses = 0;
    previous_placement previous;
    for (auto position = scheduler.m_ready.begin();
         position != scheduler.m_ready.end() && misses < scheduler.m_limits.m_max_placement_misses;) {
        const ready_key key = *position;
        live_job& job = scheduler.m_jobs.at(key.m_job);
        // Too late to begin: the job is refused as soon as no run of it is open, or its tasks are placed
        // again once a run turns out to have begun.
        if (!job.m_has_begun && latest_useful_start(job) < now) {
            ++position;
            continue;
        }
        auto request = make_placement_request(job, key.m_step, job.m_steps[key.m_step].m_tasks[key.m_index]);
        request.m_previous_agent =
            find_previous_agent(previous, key.m_job, scheduler.m_limits.m_max_consecutive_tasks);
        agent_view* agent = choose_agent(scheduler.m_agents, request, now);
        if (agent == nullptr) {
            ++misses;
            ++position;
            continue;
        }
        order_run(scheduler, job, key, *agent, now);
        record_placement(previous, key.m_job, agent->m_status.m_identity.m_id);
        position = scheduler.m_ready.erase(position);
    }
}

// Moves tasks whose latest start has passed behind those that can still be on time.
void demote_late_tasks(job_scheduler& scheduler, instant now)
{
    std::vector<ready_key> late;
    for (const ready_key& key : scheduler.m_ready) {
        if (key.m_is_late)
            break;
        if (key.m_latest_start < now)
            late.push_back(key);
    }
    for (ready_key key : late) {
        scheduler.m_ready.erase(key);
        key.m_is_late = true;
        scheduler.m_ready.insert(key);
    }
}

live_job make_live_job(const job_scheduler& scheduler, const work_request& request,
                       const queue_contract& queue, milliseconds caller_timeout, instant now)
{
    live_job job;
    job.m_request = request;
    job.m_queue = queue;
    job.m_arrived = now;
    job.m_caller_deadline = now + caller_timeout;
    for (std::uint32_t index = 0; index < request.m_steps.size(); ++index) {
        const job_step& wanted = request.m_steps[index];
        live_step step;
        step.m_unfinished = wanted.m_task_count;
        step.m_unfinished_dependencies = static_cast<std::uint32_t>(wanted.m_depends_on.size());
        step.m_estimate =
            estimate_duration(scheduler.m_estimator, queue.m_name, index, milliseconds(wanted.m_estimate_ms));
        step.m_tasks.resize(wanted.m_task_count);
        job.m_steps.push_back(std::move(step));
    }
    compute_critical_paths(job);
    return job;
}

void refuse(job_scheduler& scheduler, const std::string& job, const admission_refusal& refusal)
{
    scheduler.m_answers.push_back({job, refusal.m_end, refusal.m_reason, refusal.m_retry_after});
}

} // namespace

const char* to_text(job_end_reason why)
{
    switch (why) {
    case job_end_reason::all_done:
        return "all_done";
    case job_end_reason::attempts_exhausted:
        return "attempts_exhausted";
    case job_end_reason::never_fits:
        return "never_fits";
    case job_end_reason::unsupported:
        return "unsupported";
    case job_end_reason::no_worker:
        return "no_worker";
    case job_end_reason::overload:
        return "overload";
    case job_end_reason::late_before_start:
        return "late_before_start";
    case job_end_reason::caller_deadline:
        return "caller_deadline";
    case job_end_reason::shutting_down:
        return "shutting_down";
    case job_end_reason::home_lost:
        return "home_lost";
    case job_end_reason::hand_in_late:
        return "hand_in_late";
    case job_end_reason::entry_overload:
        return "entry_overload";
    case job_end_reason::expired_unread:
        break;
    }
    return "expired_unread";
}

bool is_provably_not_run(const live_job& job)
{
    return !job.m_has_begun && job.m_open_runs == 0;
}

void set_evacuation(job_scheduler& scheduler, const evacuation_view& view)
{
    scheduler.m_evacuation = view;
    scheduler.m_agents.m_evacuated_zones = view.m_state ? view.m_state->m_zones : std::set<std::string>();
}

void submit_job(job_scheduler& scheduler, const work_request& request, const queue_contract& queue,
                milliseconds caller_timeout, instant now)
{
    if (scheduler.m_jobs.contains(request.m_id))
        return;
    live_job job = make_live_job(scheduler, request, queue, caller_timeout, now);
    const auto refusal = check_admission(scheduler, job, now);
    if (refusal) {
        refuse(scheduler, request.m_id, *refusal);
        return;
    }
    record_demand(scheduler.m_demand[queue.m_service], queue.m_priority, initial_demand(request), now);
    live_job& admitted = scheduler.m_jobs.emplace(request.m_id, std::move(job)).first->second;
    for (std::uint32_t step = 0; step < admitted.m_steps.size(); ++step) {
        if (admitted.m_steps[step].m_unfinished_dependencies == 0)
            open_step(scheduler, admitted, step, now);
    }
}

std::optional<job_answer_event> find_permanent_refusal(const job_scheduler& scheduler,
                                                       const work_request& request,
                                                       const queue_contract& queue, instant now)
{
    const live_job job = make_live_job(scheduler, request, queue, milliseconds(0), now);
    const auto refusal = check_job_feasibility(scheduler, job, now);
    if (!refusal || refusal->m_reason == job_end_reason::no_worker)
        return std::nullopt;
    return job_answer_event{request.m_id, refusal->m_end, refusal->m_reason, refusal->m_retry_after};
}

bool cancel_job(job_scheduler& scheduler, const std::string& job)
{
    const auto position = scheduler.m_jobs.find(job);
    if (position == scheduler.m_jobs.end())
        return false;
    remove_job(scheduler, position);
    return true;
}

void advance(job_scheduler& scheduler, instant now)
{
    if (!update_catch_up(scheduler, now))
        expire_agents(scheduler, now);
    end_overdue_jobs(scheduler, now);
    demote_late_tasks(scheduler, now);
    place_ready_tasks(scheduler, now);
}

std::vector<outgoing_batch> take_batches(job_scheduler& scheduler, instant now)
{
    std::vector<outgoing_batch> batches;
    for (const auto& [id, agent] : scheduler.m_agents.m_agents) {
        agent_channel& channel = scheduler.m_channels[id];
        const bool has_orders = !channel.m_starts.empty() || !channel.m_stops.empty();
        const bool needs_heartbeats = !scheduler.m_is_dormant || agent.m_runs > 0;
        const bool is_heartbeat_due =
            needs_heartbeats && channel.m_sent_at + scheduler.m_limits.m_heartbeat <= now;
        const bool is_due = has_orders || is_heartbeat_due;
        if (channel.m_in_flight || !is_due || now < channel.m_retry_at)
            continue;
        order_batch batch;
        batch.m_home = scheduler.m_self;
        batch.m_home_address = scheduler.m_self_address;
        batch.m_agent_incarnation = agent.m_status.m_identity.m_incarnation;
        batch.m_clock_seen = agent.m_clock_seen;
        batch.m_number = ++channel.m_number;
        batch.m_starts = std::exchange(channel.m_starts, {});
        batch.m_stops = std::exchange(channel.m_stops, {});
        batch.m_entries = scheduler.m_entries;
        batch.m_evacuation = make_evacuation_report(scheduler.m_evacuation, now);
        channel.m_in_flight = batch;
        channel.m_sent_at = now;
        batches.push_back({id, agent.m_status.m_address, std::move(batch)});
    }
    return batches;
}

std::size_t count_pending(const job_scheduler& scheduler, const std::string& queue)
{
    return static_cast<std::size_t>(
        std::count_if(scheduler.m_jobs.begin(), scheduler.m_jobs.end(), [&](const auto& item) {
            return item.second.m_queue.m_name == queue && is_provably_not_run(item.second);
        }));
}

} // namespace hawthornpin
