// The home's part of the dispatcher: settling of tasks and ending of jobs.

#pragma once

#include "dispatch/dispatcher.h"

namespace hawthornpin {

// Takes a task's end, local or from a worker, into its job.
void apply_task_end(dispatcher& state, const agent_identity& from, const grant_id& id, std::uint32_t attempt,
                    const task_end& end, instant now, actions& out);

// Ends a job early: drops what waits, revokes what is granted, stops what runs here.
void end_job(dispatcher& state, job_record& job, reason why, instant now, actions& out);

// Makes the grant of a queued task; the caller has chosen the worker.
std::optional<grant> make_grant(dispatcher& state, const queued_task& task, const agent_identity& worker,
                                instant now);

// The weight of a team; one for teams that are not known (any more).
int weight_of(const dispatcher& state, const std::string& team);

} // namespace hawthornpin
