// The report of a run: quantiles against the references, as a table and as JSON.

#pragma once

#include "bench/load_client.h"

#include <optional>
#include <string>

namespace hawthornpin::bench {

// Quantiles of a set of values, by Boost.Accumulators.
struct quantiles {
    double m_p50 = 0;
    double m_p99 = 0;
    double m_p999 = 0;
    std::size_t m_count = 0;
};

quantiles compute_quantiles(const std::vector<double>& values);

// What a report is made from.
struct run_data {
    const std::vector<trace_job>& m_jobs;
    const std::vector<job_result>& m_results;
    int m_slots = 0;
    // Link time that a job can't do without: caller to home and back.
    microseconds m_min_link_time{0};
};

// One JSON document with counts by verdict and reason, and ratios per width class and team.
std::string to_json(const run_data& run);

// A short table of a report, for a person; empty if the text is not a report.
std::optional<std::string> summarize(const std::string& json, const std::string& title);

} // namespace hawthornpin::bench
