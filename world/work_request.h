// A job as a caller hands it in: steps of equal tasks that depend on one another.

#pragma once

#include "world/resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hawthornpin {

// Tasks of one kind. All are done before a step that depends on this one starts.
struct job_step {
    std::uint32_t m_task_count = 0;
    resources m_per_task;
    // The caller's rough estimate of one task's duration, in milliseconds.
    std::uint32_t m_estimate_ms = 0;
    // Indexes of earlier steps.
    std::vector<std::uint32_t> m_depends_on;
    // Label that a worker must have; empty for any worker.
    std::string m_required_label;
    // Rack where the data is; empty for none.
    std::string m_preferred_rack;
    // Most tasks of the step on one worker; 0 for no limit.
    std::uint32_t m_max_per_worker = 0;
    // Traits that need more than independent, short tasks.
    bool m_is_checkpointing = false;
    bool m_is_gang = false;
    bool m_is_long_running = false;
    bool m_is_filling = false;

    friend bool operator==(const job_step&, const job_step&) = default;
};

// An immutable request. `m_id` is the caller's name for it and is unique.
struct work_request {
    std::string m_id;
    std::string m_specification;
    std::vector<job_step> m_steps;
    // Answered when it has ended, and not kept: a caller without an answer hands it in again.
    bool m_is_best_effort = false;
    // Occurrences by the clock; 0 for a job that runs once, at once.
    std::uint32_t m_repeat_count = 0;

    friend bool operator==(const work_request&, const work_request&) = default;
};

// One task of one job.
struct task_id {
    std::string m_job;
    std::uint32_t m_occurrence = 0;
    std::uint32_t m_step = 0;
    std::uint32_t m_index = 0;

    friend auto operator<=>(const task_id&, const task_id&) = default;
};

// One start of a task. Numbers rise from 1; a higher one replaces all lower ones.
struct run_id {
    task_id m_task;
    std::uint32_t m_number = 0;

    friend auto operator<=>(const run_id&, const run_id&) = default;
};

} // namespace hawthornpin
