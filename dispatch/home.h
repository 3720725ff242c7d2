// Home side of the dispatcher: ends of tasks and jobs, and creation of grants.

#pragma once

#include "dispatch/dispatcher.h"

namespace hawthornpin {

// Applies the end of a task, local or on another worker, to its job.
void apply_task_end(dispatcher& state, const agent_identity& from, const grant_id& id, std::uint32_t attempt,
                    const task_end& end, instant now, actions& out);

// Ends a job early: drops its waiting tasks, revokes its grants at other workers, and stops its tasks that
// run here.
void end_job(dispatcher& state, job_record& job, reason why, instant now, actions& out);

// Creates the grant of a queued task for the given worker; empty if the task may not be granted.
std::optional<grant> make_grant(dispatcher& state, const queued_task& task, const agent_identity& worker,
                                instant now);

// The weight of a team; 1 for unknown or removed teams.
int weight_of(const dispatcher& state, const std::string& team);

} // namespace hawthornpin
