// Limits of the HTTP input of a process, derived from its memory and descriptors, and the choice of the
// connection to close when there are too many. Reads no clock.

#pragma once

#include "admission/body_budget.h"

#include <limits>

namespace hawthornpin {

// Size to request for each of the two buffers of an accepted socket. The kernel doubles it for its own use.
inline constexpr std::size_t socket_buffer_bytes = std::size_t{32} * 1024;

struct input_limits {
    body_limits m_bodies;
    std::size_t m_max_connections = std::numeric_limits<std::size_t>::max();
    // Whether the buffers of accepted sockets are limited to socket_buffer_bytes.
    bool m_has_small_socket_buffers = false;

    friend bool operator==(const input_limits&, const input_limits&) = default;
};

// Resources of a process; empty if they are not known, which leaves out the limits that follow from them.
struct process_resources {
    std::optional<std::size_t> m_memory_bytes;
    std::optional<std::size_t> m_descriptors;
};

input_limits derive_input_limits(const process_resources& resources);

enum class connection_phase { idle, receiving, handling };

// What a connection is doing, and since when.
struct connection_state {
    connection_phase m_phase = connection_phase::idle;
    instant m_since;

    friend bool operator==(const connection_state&, const connection_state&) = default;
};

// Whether the connection in state `left` is to be closed rather than the one in state `right`: the oldest
// incomplete request comes first, then the connection that has been idle longest. Connections whose request
// is being handled are never closed, which callers have to check.
bool is_closed_before(const connection_state& left, const connection_state& right);

} // namespace hawthornpin
