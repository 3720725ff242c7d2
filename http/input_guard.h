// Applies the limits of HTTP input to all HTTP servers of a process: the memory and the time of request
// bodies, the number of connections, and turns for connections with much input.

#pragma once

#include "admission/input_limits.h"
#include "core/metrics.h"
#include "http/input_scheduler.h"

#include <array>
#include <list>
#include <map>

namespace hawthornpin {

// A connection as the guard sees it.
class guarded_connection {
public:
    virtual connection_state state() const = 0;
    // Closes the connection, whose request has not reached its handler. The object is destroyed in a later
    // event.
    virtual void end(reason why) = 0;

protected:
    ~guarded_connection() = default;
};

class input_guard {
public:
    using connection_list = std::list<guarded_connection*>;

    explicit input_guard(const input_limits& limits);
    input_guard(const input_guard&) = delete;
    input_guard& operator=(const input_guard&) = delete;

    const input_limits& limits() const { return m_limits; }
    input_scheduler& scheduler() { return m_scheduler; }

    // Makes room for one more connection; false if every connection is handling a request.
    bool make_room();
    // The connection must be removed before it is destroyed.
    connection_list::iterator add_connection(guarded_connection& connection);
    void remove_connection(connection_list::iterator position);

    // See the functions of admission/body_budget. Evicted and overdue bodies end with their connections.
    std::uint64_t begin_body(guarded_connection& owner);
    bool reserve_body(std::uint64_t id, std::size_t bytes);
    void record_body_read(std::uint64_t id);
    void end_body(std::uint64_t id);

    // Counts requests and connections that a limit has ended, and logs them at most once per second.
    void count_end(reason why);

    // Memory of the bodies in progress.
    std::size_t body_bytes() const { return m_budget.m_bytes; }
    std::size_t connections() const { return m_connections.size(); }
    // Number of reads from bodies since the start.
    std::uint64_t body_reads() const { return m_body_reads; }
    std::uint64_t ends(reason why) const { return m_ends.at(static_cast<std::size_t>(why)); }

    // Adds what was counted since the last call to the metrics, and updates the gauges.
    void report(metrics& counts);

private:
    void end_owner(std::uint64_t id, reason why);
    // Ends overdue bodies at intervals while there are bodies.
    void schedule_sweep();
    kj::Promise<void> sweep();
    void log_ends(instant now);

    input_limits m_limits;
    body_budget m_budget;
    input_scheduler m_scheduler;
    // Those that have not been ended.
    connection_list m_connections;
    std::map<std::uint64_t, guarded_connection*> m_body_owners;
    std::uint64_t m_body_reads = 0;
    std::array<std::uint64_t, reason_count> m_ends{};
    std::array<std::uint64_t, reason_count> m_reported_ends{};
    std::array<std::uint64_t, reason_count> m_logged_ends{};
    std::optional<instant> m_logged_at;
    bool m_is_sweeping = false;
    kj::Promise<void> m_sweep = nullptr;
};

} // namespace hawthornpin
