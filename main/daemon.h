// Shared by the daemons' main functions: options, settings, signals and exit codes.

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

// Runs a daemon with checked settings; returns its exit code.
using daemon_body = std::function<exit_code(const settings&)>;

// Options of a daemon that runs with the platform's settings. Ports are opened on the process's own address.
struct platform_options {
    // Port of the metrics; 0 for none.
    unsigned m_metrics_port = 0;
    // Port to listen on for peers if the advertised port is forwarded to it; 0 for the advertised port
    // itself.
    unsigned m_peer_listen_port = 0;
};

// Runs a daemon with the platform's settings file; returns its exit code.
using platform_body = std::function<exit_code(const platform_options&)>;

// Parses the options of a daemon, checks its settings and runs it. Handles --help, --version,
// --check-settings, --settings-reference and --platform.
int run_daemon(int argument_count, char** arguments, const std::string& program, const settings_table& table,
               const daemon_body& body, const platform_body& on_platform);

} // namespace hawthornpin
