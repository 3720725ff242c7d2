// Functions shared by the source files of the job scheduler; not for use elsewhere.

#pragma once

#include "dispatch/job_scheduler.h"

namespace hawthornpin {

struct ordered_run {
    run_id m_run;
    std::string m_agent;
};

// Id of the newest run of a task.
run_id make_run_id(const live_job& job, std::uint32_t step, std::uint32_t index);

// Adds a task to the ready tasks.
void make_ready(job_scheduler& scheduler, live_job& job, std::uint32_t step, std::uint32_t index,
                instant now);

// Makes all tasks of a step ready.
void open_step(job_scheduler& scheduler, live_job& job, std::uint32_t step, instant now);

// Ordered runs whose outcome is not known yet.
std::vector<ordered_run> list_ordered_runs(const live_job& job);

// Decrements the number of this home's runs at the agent.
void release_run(job_scheduler& scheduler, const std::string& agent);

// Withdraws an order that has not been sent; false if it may have been sent.
bool withdraw_order(agent_channel& channel, const run_id& run);

// Removes a job and stops its runs, without an answer.
void remove_job(job_scheduler& scheduler, std::map<std::string, live_job>::iterator position);

// Removes a job, stops its runs and answers its caller.
void answer_job(job_scheduler& scheduler, const std::string& id, job_end end, job_end_reason why,
                milliseconds retry_after = milliseconds(0));

// Ends all runs ordered from the agent as lost: they have ended or will never begin.
void mark_agent_runs_lost(job_scheduler& scheduler, const std::string& agent, instant now);

} // namespace hawthornpin
