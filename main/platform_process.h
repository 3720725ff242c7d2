// Runs a daemon with the platform's settings file instead of an INI file of its own.

#pragma once

#include "main/daemon.h"

namespace hawthornpin {

// The daemons run until SIGTERM. Missing or malformed settings end the process with exit_code::bad_input.
// Listen addresses are made from the node's address and the options.
exit_code run_platform_entry(const platform_options& options);
exit_code run_platform_agent(const platform_options& options);

} // namespace hawthornpin
