// Samples the memory, the descriptors and the unread input of one real process, and keeps the highest values.

#pragma once

#include "core/event_loop.h"
#include "tests/soak/process_usage.h"
#include "tests/soak/slow_clients.h"

#include <memory>
#include <optional>
#include <string>

namespace hawthornpin::soak {

// A node of the test and its ports.
struct watched_process {
    std::string m_id_file;
    std::string m_ip;
    // The port that the slow clients connect to, and the worker's port at the same address.
    unsigned m_port = 0;
    unsigned m_worker_port = 0;
};

class process_watch {
public:
    // Both must outlive this object.
    process_watch(watched_process process, const slow_clients& clients);

    // Takes samples from now on.
    void start();
    void sample();

    bool is_same_process() const;
    std::uint64_t peak_memory() const { return m_peak_memory; }
    std::uint64_t unread_at_peak() const { return m_unread_at_peak; }
    std::size_t peak_descriptors() const { return m_peak_descriptors; }
    const queued_input& queued() const { return m_queued; }
    // Bytes that the process has read from slow clients since start(). Does not count what it has read from a
    // connection between the last sample and the connection's end.
    std::uint64_t input_read() const { return m_input_read; }

private:
    watched_process m_process;
    const slow_clients& m_clients;
    std::optional<process_identity> m_identity;
    std::uint64_t m_peak_memory = 0;
    std::uint64_t m_unread_at_peak = 0;
    std::size_t m_peak_descriptors = 0;
    queued_input m_queued;
    std::size_t m_closed_clients = 0;
    std::int64_t m_read_from_connected = 0;
    std::uint64_t m_input_read = 0;
    std::unique_ptr<timer> m_tick;
};

} // namespace hawthornpin::soak
