// The reference: the same trace through one queue over all slots, without latency and with true run times.

#pragma once

#include "bench/workload.h"

namespace hawthornpin::bench {

// The response time of each job, in the order of the trace.
std::vector<milliseconds> replay_central_queue(const std::vector<trace_job>& jobs, int slots);

} // namespace hawthornpin::bench
