// What the daemons' main functions share: options, settings, signals and exit codes.

#pragma once

#include "core/settings.h"

#include <functional>
#include <string>

namespace hawthornpin {

// Exit codes of the programs; docs/operators/command-line.md explains them.
enum class exit_code : int { success = 0, failure = 1, bad_input = 2, refused = 3, unknown_outcome = 4 };

inline int to_status(exit_code code)
{
    return static_cast<int>(code);
}

// How a daemon runs once its settings are checked; returns its exit code.
using daemon_body = std::function<exit_code(const settings&)>;

// The same, with settings that the platform hands over.
// `metrics_port` is the port of the metrics on the process's own address, 0 for none.
using platform_body = std::function<exit_code(unsigned metrics_port)>;

// Parses the options of a daemon, checks its settings and runs it. Handles --help, --version,
// --check-settings, --settings-reference and --platform.
int run_daemon(int argument_count, char** arguments, const std::string& program, const settings_table& table,
               const daemon_body& body, const platform_body& on_platform);

} // namespace hawthornpin
