// Run-time estimates: the declared time of a service until enough runs were observed.

#pragma once

#include "core/instant.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace hawthornpin {

// Which figure an estimate uses.
enum class estimate_policy { declared, observed };

// Observed run times of one service on one agent. Two halves alternate, so that old runs lose their weight.
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
