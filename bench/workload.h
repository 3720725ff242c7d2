// Seeded random workloads: the arrival time, team and run times of each job.

#pragma once

#include "core/instant.h"
#include "core/last_reason.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hawthornpin::bench {

// One job of the trace. Times count from the start of the run.
struct trace_job {
    microseconds m_arrival{0};
    std::size_t m_team = 0;
    std::vector<milliseconds> m_run_times;
    // Whether the job belongs to the first team's burst.
    bool m_is_burst = false;
};

// Parameters of a workload. The arrival rate is chosen so that the offered work is the share `m_load` of all
// slots.
struct workload_plan {
    std::uint64_t m_seed = 1;
    milliseconds m_length{20'000};
    int m_slots = 88;
    double m_load = 0.7;
    std::size_t m_teams = 1;
    // one: one-task jobs; mixed: jobs of 1 to 770 tasks (their width); noop and noop-wide: jobs of 1 and 100
    // tasks that end at once.
    std::string m_shape = "one";
    // A burst of the first team: its offered work during the burst, as a multiple of all slots.
    double m_burst_load = 0;
    milliseconds m_burst_begin{5'000};
    milliseconds m_burst_length{10'000};
};

// The jobs in order of arrival.
std::vector<trace_job> draw_workload(const workload_plan& plan);

// Lower bound of the job's response time: the longest task, or the work divided by the slots if that is
// longer.
milliseconds compute_response_floor(const trace_job& job, int slots);

} // namespace hawthornpin::bench
