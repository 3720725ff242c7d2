// Reference for measured response times: the same trace, scheduled by one central queue over all slots,
// without latency and with run times known in advance.

#pragma once

#include "bench/workload.h"

namespace hawthornpin::bench {

// The response time of each job, in the order of the trace.
std::vector<milliseconds> replay_central_queue(const std::vector<trace_job>& jobs, int slots);

} // namespace hawthornpin::bench
