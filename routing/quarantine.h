// Quarantine: workers that fail far more than their service does get probes instead of work.

#pragma once

#include "routing/load_view.h"

#include <set>

namespace hawthornpin {

struct quarantine_limits {
    bool m_is_enabled = true;
    // A worker must fail at least this often, in thousandths of its tasks ...
    int m_min_per_mille = 300;
    // ... and this many times as often as the median worker of its service.
    double m_min_median_ratio = 3;
    // Never more than this share of a service.
    double m_max_share_of_service = 1.0 / 3;
    milliseconds m_probe_interval{5'000};
};

// The ids that are quarantined now. When more qualify than the share allows, the worst are taken.
std::set<std::string> find_quarantined(const load_view& view, const quarantine_limits& limits);

// Recent failures of one target, as its agent reports them: an exponentially weighted share.
struct failure_rate {
    double m_share = 0;
};

// Adds one task's end. Only ends that the target is to blame for count as failures.
void record_task_end(failure_rate& rate, bool is_failure);

inline int to_per_mille(const failure_rate& rate)
{
    constexpr double thousand = 1000;
    return static_cast<int>(rate.m_share * thousand);
}

} // namespace hawthornpin
