// Starting a daemon from the platform's settings file instead of an INI file of its own.

#pragma once

#include "main/daemon.h"

namespace hawthornpin {

// Run until SIGTERM. Settings that are missing or malformed end the process with exit_code::bad_input.
// Serve the metrics on `metrics_port` of the node's address, or nowhere if it is 0.
exit_code run_platform_entry(unsigned metrics_port);
exit_code run_platform_agent(unsigned metrics_port);

} // namespace hawthornpin
