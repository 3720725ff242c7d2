// Admission control: decides whether a job is admitted, from its slack and the backlog of its home. Pure.

#pragma once

#include "dispatch/job_scheduler.h"

#include <optional>

namespace hawthornpin {

// Why a job is not admitted, and when its caller may retry.
struct admission_refusal {
    job_end m_end = job_end::refused;
    job_end_reason m_reason = job_end_reason::overload;
    milliseconds m_retry_after{0};
};

// Sets the critical path of each of the job's steps and, from the longest one, the job's on-time deadline.
void compute_critical_paths(live_job& job);

// Refusal of a job that can't run whatever the load; empty if it can.
std::optional<admission_refusal> check_job_feasibility(const job_scheduler& scheduler, const live_job& job,
                                                       instant now);

// Refusal of a job that is not admitted; empty if it is admitted.
std::optional<admission_refusal> check_admission(const job_scheduler& scheduler, const live_job& job,
                                                 instant now);

// Processor demand of the tasks of a job that can start at once, in thousandths of a core.
std::int64_t initial_demand(const work_request& request);

// Processor time that a job is declared to need, in thousandths of a core for a millisecond.
double declared_work(const work_request& request);

// Free processors of the workers that this home orders from, less what its ready tasks demand, in thousandths
// of a core.
std::int64_t free_for_new_jobs(const job_scheduler& scheduler, instant now);

// Whether a job that was refused by this many homes may be submitted to a further one, which may have room or
// know other workers.
bool can_try_another_home(const job_answer_event& answer, std::size_t homes_tried);

// Latest instant at which a job can begin and still be on time.
instant latest_useful_start(const live_job& job);

// Expected time until a new job of the service would find room.
milliseconds expected_wait(const job_scheduler& scheduler, const std::string& service, instant now);

} // namespace hawthornpin
