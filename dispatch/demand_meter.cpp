// Exponentially weighted rates.

#include "dispatch/demand_meter.h"

#include <cmath>

namespace hawthornpin {

namespace {

// Short enough to follow a burst, long enough to average several jobs of a kind.
constexpr double averaging_ms = 500;

double decayed(const demand_rate& rate, instant now)
{
    const std::chrono::duration<double, std::milli> elapsed = now - rate.m_updated_at;
    return rate.m_milli_per_ms * std::exp(-elapsed.count() / averaging_ms);
}

} // namespace

void record_demand(demand_meter& meter, int priority, std::int64_t demand_milli, instant now)
{
    demand_rate& rate = meter.m_rates[priority];
    rate.m_milli_per_ms = decayed(rate, now) + static_cast<double>(demand_milli) / averaging_ms;
    rate.m_updated_at = now;
}

double rate_above(const demand_meter& meter, int priority, instant now)
{
    double sum = 0;
    for (const auto& [other, rate] : meter.m_rates) {
        if (other < priority)
            sum += decayed(rate, now);
    }
    return sum;
}

} // namespace hawthornpin
