// Steps that the parts of the job scheduler share. Not for use outside of them.

#pragma once

#include "dispatch/job_scheduler.h"

namespace hawthornpin {

struct ordered_run {
    run_id m_run;
    std::string m_agent;
};

// The newest run of a task.
run_id make_run_id(const live_job& job, std::uint32_t step, std::uint32_t index);

// Puts a task among the ready ones.
void make_ready(job_scheduler& scheduler, live_job& job, std::uint32_t step, std::uint32_t index,
                instant now);

// Makes all tasks of a step ready.
void open_step(job_scheduler& scheduler, live_job& job, std::uint32_t step, instant now);

// Runs whose order is not settled.
std::vector<ordered_run> list_ordered_runs(const live_job& job);

// The agent has one run of this entry less.
void release_run(job_scheduler& scheduler, const std::string& agent);

// Takes an order back that has not left this process; false if it may have.
bool withdraw_order(agent_channel& channel, const run_id& run);

// Removes a job: stops what runs of it and answers nobody.
void remove_job(job_scheduler& scheduler, std::map<std::string, live_job>::iterator position);

// Ends the job, stops what runs of it, and answers its caller.
void answer_job(job_scheduler& scheduler, const std::string& id, job_end end, job_end_reason why,
                milliseconds retry_after = milliseconds(0));

// All runs that were ordered there have ended, or never begin.
void mark_agent_runs_lost(job_scheduler& scheduler, const std::string& agent, instant now);

} // namespace hawthornpin
