// Quarantine: workers whose failure rate is far above the rest of their service get only probe tasks.

#pragma once

#include "routing/load_view.h"

#include <set>

namespace hawthornpin {

struct quarantine_limits {
    bool m_is_enabled = true;
    // Smallest failure rate, in thousandths of its tasks, at which a worker is quarantined.
    int m_min_per_mille = 300;
    // A quarantined worker must also fail at least this many times as often as the median of its service.
    double m_min_median_ratio = 3;
    // Largest share of a service's workers that is quarantined at once.
    double m_max_share_of_service = 1.0 / 3;
    milliseconds m_probe_interval{5'000};
};

// Returns the ids to quarantine. When more qualify than the share allows, those that fail most are taken.
std::set<std::string> find_quarantined(const load_view& view, const quarantine_limits& limits);

// Exponentially weighted share of recent tasks that failed on one target, as its agent reports it.
struct failure_rate {
    double m_share = 0;
};

// Records the end of one task. Only ends that the target caused count as failures.
void record_task_end(failure_rate& rate, bool is_failure);

inline int to_per_mille(const failure_rate& rate)
{
    constexpr double thousand = 1000;
    return static_cast<int>(rate.m_share * thousand);
}

} // namespace hawthornpin
