// Starting a daemon from the platform's settings file instead of an INI file of its own.

#pragma once

#include "main/daemon.h"

namespace hawthornpin {

// Run until SIGTERM. Settings that are missing or malformed end the process with exit_code::bad_input.
exit_code run_platform_entry();
exit_code run_platform_agent();

} // namespace hawthornpin
