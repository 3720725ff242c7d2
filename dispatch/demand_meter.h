// Rate at which processor demand arrives at a home, by the priority of its queue. Pure.

#pragma once

#include "core/instant.h"

#include <cstdint>
#include <map>

namespace hawthornpin {

// Exponentially weighted sum of the demand of one priority.
struct demand_rate {
    // In thousandths of a core per millisecond, at m_updated_at.
    double m_milli_per_ms = 0;
    instant m_updated_at;
};

struct demand_meter {
    // By priority; 0 is the highest.
    std::map<int, demand_rate> m_rates;
};

void record_demand(demand_meter& meter, int priority, std::int64_t demand_milli, instant now);

// Demand per millisecond, in thousandths of a core, of all queues with a higher priority.
double rate_above(const demand_meter& meter, int priority, instant now);

} // namespace hawthornpin
