// Expected durations of tasks, from what callers declare and what was observed. Pure.

#pragma once

#include "core/instant.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace hawthornpin {

// What was observed of one step of one queue, on a worker of ordinary speed.
struct observed_durations {
    // Means of logarithms, so that a few long tasks do not rule the estimate.
    double m_mean_log_ms = 0;
    double m_mean_log_ratio = 0;
    std::uint32_t m_count = 0;
};

struct duration_estimator {
    std::map<std::pair<std::string, std::uint32_t>, observed_durations> m_steps;
};

// Combines the declared estimate, corrected by the queue's usual error, with the queue's usual duration.
milliseconds estimate_duration(const duration_estimator& estimator, const std::string& queue,
                               std::uint32_t step, milliseconds declared);

void record_duration(duration_estimator& estimator, const std::string& queue, std::uint32_t step,
                     milliseconds declared, milliseconds observed);

} // namespace hawthornpin
