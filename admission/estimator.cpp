// Mean run time over the current and the previous window of runs.

#include "admission/estimator.h"

#include <algorithm>

namespace hawthornpin {

namespace {

constexpr std::size_t runs_per_window = 200;
constexpr std::size_t min_runs = 10;

} // namespace

run_time_estimator::run_time_estimator(milliseconds declared, estimate_policy policy)
    : m_declared(declared), m_policy(policy)
{
}

void run_time_estimator::record(milliseconds run_time)
{
    m_current(static_cast<double>(run_time.count()));
    if (boost::accumulators::count(m_current) < runs_per_window)
        return;
    m_previous = m_current;
    m_current = accumulator();
}

milliseconds run_time_estimator::expected() const
{
    namespace accumulators = boost::accumulators;
    const auto runs = accumulators::count(m_current) + accumulators::count(m_previous);
    if (m_policy == estimate_policy::declared || runs < min_runs)
        return std::max(m_declared, milliseconds(1));
    double total = 0;
    for (const accumulator* window : {&m_current, &m_previous}) {
        if (accumulators::count(*window) > 0)
            total += accumulators::mean(*window) * static_cast<double>(accumulators::count(*window));
    }
    return std::max(milliseconds(static_cast<long long>(total / static_cast<double>(runs))), milliseconds(1));
}

} // namespace hawthornpin
