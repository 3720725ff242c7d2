// Reports a run as JSON and as a table: quantiles of response times, absolute and relative to the references.

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

// Input of a report.
struct run_data {
    const std::vector<trace_job>& m_jobs;
    const std::vector<job_result>& m_results;
    int m_slots = 0;
    // Latency that every job has on links: from the caller to the home and back.
    microseconds m_min_link_time{0};
};

// One JSON document with counts by verdict and reason, and ratios per width class and team.
std::string to_json(const run_data& run);

// A short human-readable table of a report; empty if the text is not a report.
std::optional<std::string> summarize(const std::string& json, const std::string& title);

} // namespace hawthornpin::bench
