// Selection of the workers to quarantine, and failure rates.

#include "routing/quarantine.h"

#include <algorithm>

namespace hawthornpin {

namespace {

struct failing_worker {
    int m_per_mille;
    std::string m_id;
};

int median_failures(std::vector<int> values)
{
    if (values.empty())
        return 0;
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace

std::set<std::string> find_quarantined(const load_view& view, const quarantine_limits& limits)
{
    if (!limits.m_is_enabled)
        return {};
    std::vector<int> rates;
    for (const auto& [id, worker] : view)
        rates.push_back(worker.m_load.m_failures_per_mille);
    const double bound =
        std::max<double>(limits.m_min_per_mille, limits.m_min_median_ratio * median_failures(rates));

    std::vector<failing_worker> failing;
    for (const auto& [id, worker] : view) {
        if (worker.m_load.m_failures_per_mille >= bound)
            failing.push_back({worker.m_load.m_failures_per_mille, id});
    }
    std::sort(failing.begin(), failing.end(), [](const failing_worker& left, const failing_worker& right) {
        return left.m_per_mille != right.m_per_mille ? left.m_per_mille > right.m_per_mille
                                                     : left.m_id < right.m_id;
    });
    const auto max_quarantined =
        static_cast<std::size_t>(static_cast<double>(view.size()) * limits.m_max_share_of_service);
    std::set<std::string> quarantined;
    for (std::size_t index = 0; index < std::min(max_quarantined, failing.size()); ++index)
        quarantined.insert(failing[index].m_id);
    return quarantined;
}

void record_task_end(failure_rate& rate, bool is_failure)
{
    // Three consecutive failures reach the default bound of 300 per mille; about ten consecutive successes
    // bring even a rate of 1000 per mille below it.
    constexpr double newest_weight = 0.12;
    rate.m_share = rate.m_share * (1 - newest_weight) + (is_failure ? newest_weight : 0);
}

} // namespace hawthornpin
