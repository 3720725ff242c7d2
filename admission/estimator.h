// Run-time estimates: the declared run time of a service until enough runs have been observed, then their
// mean.

#pragma once

#include "core/instant.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace hawthornpin {

// Source of the estimates.
enum class estimate_policy { declared, observed };

// Observed run times of one service on one agent. A current and a previous window of runs are kept, so that
// old runs are dropped.
class run_time_estimator {
public:
    explicit run_time_estimator(milliseconds declared, estimate_policy policy = estimate_policy::observed);

    void set_declared(milliseconds declared) { m_declared = declared; }
    void record(milliseconds run_time);

    // Expected run time of one task; at least one millisecond.
    milliseconds expected() const;

private:
    using accumulator = boost::accumulators::accumulator_set<
        double, boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::mean>>;

    milliseconds m_declared;
    estimate_policy m_policy;
    accumulator m_current;
    accumulator m_previous;
};

} // namespace hawthornpin
