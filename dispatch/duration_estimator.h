// Estimates task durations from those that callers declare and those observed. Pure.

#pragma once

#include "core/instant.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace hawthornpin {

// Observed durations of one step of one queue, on a worker of ordinary speed.
struct observed_durations {
    // Means of logarithms, so that a few long tasks do not dominate the estimate.
    double m_mean_log_ms = 0;
    double m_mean_log_ratio = 0;
    std::uint32_t m_count = 0;
};

struct duration_estimator {
    std::map<std::pair<std::string, std::uint32_t>, observed_durations> m_steps;
};

// Geometric mean of the declared duration, corrected by the queue's mean error, and the queue's mean observed
// duration. Without enough observations, the declared duration or a default.
milliseconds estimate_duration(const duration_estimator& estimator, const std::string& queue,
                               std::uint32_t step, milliseconds declared);

void record_duration(duration_estimator& estimator, const std::string& queue, std::uint32_t step,
                     milliseconds declared, milliseconds observed);

} // namespace hawthornpin
