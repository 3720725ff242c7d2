// A job as submitted by a caller: steps of equal tasks with dependencies between the steps.

#pragma once

#include "world/resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hawthornpin {

// Tasks of one kind. A step that depends on this one starts only after all its tasks are done.
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
    // Largest number of the step's tasks on one worker; 0 for no limit.
    std::uint32_t m_max_per_worker = 0;
    // Requirements that go beyond independent, short tasks.
    bool m_is_checkpointing = false;
    bool m_is_gang = false;
    bool m_is_long_running = false;
    bool m_is_filling = false;

    friend bool operator==(const job_step&, const job_step&) = default;
};

// An immutable request. `m_id` is unique and chosen by the caller.
struct work_request {
    std::string m_id;
    std::string m_specification;
    std::vector<job_step> m_steps;
    // Whether the job is answered only when it has ended and is not stored: a caller without an answer
    // submits it again.
    bool m_is_best_effort = false;
    // Number of scheduled occurrences; 0 for a job that runs once, immediately.
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

// One run of a task. Numbers increase from 1; a higher one supersedes all lower ones.
struct run_id {
    task_id m_task;
    std::uint32_t m_number = 0;

    friend auto operator<=>(const run_id&, const run_id&) = default;
};

} // namespace hawthornpin
