// The hawthornpin command-line tool of operators and callers.

#pragma once

#include "core/event_loop.h"
#include "main/daemon.h"

#include <boost/program_options.hpp>

#include <string>
#include <vector>

namespace hawthornpin {

// Options and arguments of one invocation, as the subcommands need them.
struct command_call {
    boost::program_options::variables_map m_options;
    std::vector<std::string> m_arguments;
    bool m_is_json = false;
};

// One subcommand.
struct command {
    const char* m_name;
    const char* m_usage;
    const char* m_summary;
    // Bounds of the number of arguments.
    std::size_t m_min_arguments;
    std::size_t m_max_arguments;
    exit_code (*m_run)(event_loop& loop, const command_call& call);
};

// All subcommands; their help is printed from this table.
const std::vector<command>& command_table();

// Subcommands for configuration, jobs and processes.
exit_code run_check(event_loop& loop, const command_call& call);
exit_code run_publish(event_loop& loop, const command_call& call);
exit_code run_ticket(event_loop& loop, const command_call& call);
exit_code run_submit(event_loop& loop, const command_call& call);
exit_code run_status(event_loop& loop, const command_call& call);
exit_code run_cancel(event_loop& loop, const command_call& call);
exit_code run_drain(event_loop& loop, const command_call& call);
exit_code run_members(event_loop& loop, const command_call& call);

// Parses the command line and runs the subcommand; returns the exit status.
int run_command_line(int argument_count, char** arguments);

} // namespace hawthornpin
