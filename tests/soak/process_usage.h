// Memory, descriptors and input queues of a running process, as the kernel reports them.

#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace hawthornpin::soak {

struct process_usage {
    std::uint64_t m_peak_resident_bytes = 0;
    std::size_t m_descriptors = 0;
};

// Identifies a process beyond its id, which may be used again.
struct process_identity {
    int m_id = 0;
    std::uint64_t m_started_ticks = 0;

    friend bool operator==(const process_identity&, const process_identity&) = default;
};

// Bytes that the kernel holds for the connections to a process.
struct queued_input {
    // Received by the process's sockets, but not read by it.
    std::uint64_t m_unread_bytes = 0;
    // Written by the clients of one of its ports, but not received by its sockets.
    std::uint64_t m_unsent_bytes = 0;
};

// Empty if there is no such process.
std::optional<process_usage> read_process_usage(int id);

// The process whose id is in the file; empty if it does not run.
std::optional<process_identity> read_process_identity(const std::string& id_file);

// The queues of all connections that `ip` has accepted on ports other than `excluded_port`, and those of the
// clients of `ip:port`.
queued_input read_queued_input(const std::string& ip, unsigned port, unsigned excluded_port);

} // namespace hawthornpin::soak
