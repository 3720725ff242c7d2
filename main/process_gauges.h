// Gauges that every daemon reports: its memory, processor time, event loop, connections and traffic.

#pragma once

#include "core/metrics.h"

namespace hawthornpin {

void update_process_gauges(metrics& counts);

} // namespace hawthornpin
