// Ready tasks, ordered runs and the end of a job.

#include "dispatch/live_jobs.h"

namespace hawthornpin {

namespace {

ready_key make_ready_key(const live_job& job, std::uint32_t step, std::uint32_t index, instant now)
{
    const instant latest_start = job.m_on_time_deadline - job.m_steps[step].m_critical_path;
    return {latest_start < now, job.m_queue.m_priority, latest_start, job.m_request.m_id, step, index};
}

void remove_ready_tasks(job_scheduler& scheduler, const std::string& job)
{
    std::erase_if(scheduler.m_ready, [&](const ready_key& key) { return key.m_job == job; });
}

void stop_running_tasks(job_scheduler& scheduler, const live_job& job)
{
    for (const ordered_run& ordered : list_ordered_runs(job)) {
        release_run(scheduler, ordered.m_agent);
        agent_channel& channel = scheduler.m_channels[ordered.m_agent];
        if (!withdraw_order(channel, ordered.m_run))
            channel.m_stops.push_back(ordered.m_run);
    }
}

} // namespace

run_id make_run_id(const live_job& job, std::uint32_t step, std::uint32_t index)
{
    return {{job.m_request.m_id, 0, step, index}, job.m_steps[step].m_tasks[index].m_run};
}

void make_ready(job_scheduler& scheduler, live_job& job, std::uint32_t step, std::uint32_t index, instant now)
{
    job.m_steps[step].m_tasks[index].m_phase = live_task_phase::ready;
    scheduler.m_ready.insert(make_ready_key(job, step, index, now));
}

void open_step(job_scheduler& scheduler, live_job& job, std::uint32_t step, instant now)
{
    for (std::uint32_t index = 0; index < job.m_steps[step].m_tasks.size(); ++index)
        make_ready(scheduler, job, step, index, now);
}

std::vector<ordered_run> list_ordered_runs(const live_job& job)
{
    std::vector<ordered_run> ordered;
    for (std::uint32_t step = 0; step < job.m_steps.size(); ++step) {
        for (std::uint32_t index = 0; index < job.m_steps[step].m_tasks.size(); ++index) {
            const live_task& task = job.m_steps[step].m_tasks[index];
            if (task.m_phase == live_task_phase::ordered)
                ordered.push_back({make_run_id(job, step, index), task.m_agent});
        }
    }
    return ordered;
}

void release_run(job_scheduler& scheduler, const std::string& agent)
{
    const auto found = scheduler.m_agents.m_agents.find(agent);
    if (found != scheduler.m_agents.m_agents.end() && found->second.m_runs > 0)
        --found->second.m_runs;
}

bool withdraw_order(agent_channel& channel, const run_id& run)
{
    const bool may_have_been_sent = channel.m_unanswered_runs.erase(run) > 0;
    const bool is_waiting =
        std::erase_if(channel.m_starts, [&](const run_order& order) { return order.m_run == run; }) > 0;
    return is_waiting && !may_have_been_sent;
}

void remove_job(job_scheduler& scheduler, std::map<std::string, live_job>::iterator position)
{
    remove_ready_tasks(scheduler, position->first);
    stop_running_tasks(scheduler, position->second);
    scheduler.m_jobs.erase(position);
}

void answer_job(job_scheduler& scheduler, const std::string& id, job_end end, job_end_reason why,
                milliseconds retry_after)
{
    const auto position = scheduler.m_jobs.find(id);
    if (position == scheduler.m_jobs.end())
        return;
    remove_job(scheduler, position);
    scheduler.m_answers.push_back({id, end, why, retry_after});
}

} // namespace hawthornpin
