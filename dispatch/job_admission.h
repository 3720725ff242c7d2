// Whether a job is admitted, from its slack and the entry's backlog. Pure.

#pragma once

#include "dispatch/job_scheduler.h"

#include <optional>

namespace hawthornpin {

// Why a job is not admitted, and what its caller is told.
struct admission_refusal {
    job_end m_end = job_end::refused;
    job_end_reason m_reason = job_end_reason::overload;
    milliseconds m_retry_after{0};
};

// Sets the chains of the job's steps and, from the longest one, its objective.
void compute_critical_paths(live_job& job);

// Why the job can't run whatever the load; empty if it can.
std::optional<admission_refusal> check_job_feasibility(const job_scheduler& scheduler, const live_job& job,
                                                       instant now);

// Nothing if the job is admitted.
std::optional<admission_refusal> check_admission(const job_scheduler& scheduler, const live_job& job,
                                                 instant now);

// A job of which nothing has begun by then can't be on time any more.
instant latest_useful_start(const live_job& job);

// Expected time until a new job of the service would find room.
milliseconds expected_wait(const job_scheduler& scheduler, const std::string& service, instant now);

} // namespace hawthornpin
