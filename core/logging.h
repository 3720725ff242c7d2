// Structured logs: one JSON object per line on standard output, written with log4cxx. Logging never blocks:
// lines that the reader does not consume in time are dropped and counted.
//
// Events carry the program, its id and availability zone. Caller keys and payloads are never logged.

#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace hawthornpin {

enum class log_level { debug, info, warning, error };

// One named value of an event.
struct log_field {
    const char* m_name;
    std::string m_value;
};

// Configures the process's log. Call once, before the first event. Events below the level `minimum` are
// discarded.
void start_logging(const std::string& program, const std::string& id, const std::string& zone,
                   log_level minimum);

// Writes one event. `event` is a short fixed name such as "job_failed".
void log_event(log_level level, const char* event, std::initializer_list<log_field> fields = {});

// Enables buffering of lines of the levels debug and info: they are written several at a time, once they
// reach PIPE_BUF bytes or at flush_logs(), which must be called at each tick and before the process exits.
void enable_log_buffering();

// Writes buffered lines and lines that did not fit into the pipe before.
void flush_logs();

// Lines dropped since the process started.
std::uint64_t dropped_log_lines();

} // namespace hawthornpin
