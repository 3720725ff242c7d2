// Starting a daemon from the platform's settings file instead of an INI file of its own.

#pragma once

#include "main/daemon.h"

namespace hawthornpin {

// Run until SIGTERM. Settings that are missing or malformed end the process with exit_code::bad_input.
// Addresses follow from the node's and from the options.
exit_code run_platform_entry(const platform_options& options);
exit_code run_platform_agent(const platform_options& options);

} // namespace hawthornpin
