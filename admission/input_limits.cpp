// Derivation of the input limits and the order in which connections are closed.

#include "admission/input_limits.h"

#include <algorithm>

namespace hawthornpin {

namespace {

// Bodies get an eighth of the memory, because freed memory isn't returned to the system at once.
constexpr std::size_t body_share = 8;
// Connections get half of the memory.
constexpr std::size_t connection_share = 2;
// Memory of a connection in the worst case: its receive buffer as the kernel counts it, the largest header
// buffer of KJ's HTTP library (64 KiB), and the objects of the connection (less than 8 KiB).
constexpr std::size_t connection_cost_bytes = 2 * socket_buffer_bytes + std::size_t{72} * 1024;
// Descriptors for files, and the part of the others that is left to calls between processes, to the store
// and to workers.
constexpr std::size_t reserved_descriptors = 200;
constexpr std::size_t descriptor_share = 2;
// Probes, metrics and a few callers are served whatever the settings are.
constexpr std::size_t min_connections = 16;

std::size_t count_within_memory(std::size_t bytes)
{
    return bytes / connection_share / connection_cost_bytes;
}

std::size_t count_within_descriptors(std::size_t descriptors)
{
    return (std::max(descriptors, reserved_descriptors) - reserved_descriptors) / descriptor_share;
}

} // namespace

input_limits derive_input_limits(const process_resources& resources)
{
    input_limits limits;
    if (resources.m_memory_bytes) {
        limits.m_bodies.m_max_bytes = *resources.m_memory_bytes / body_share;
        limits.m_has_small_socket_buffers = true;
        limits.m_max_connections = count_within_memory(*resources.m_memory_bytes);
    }
    if (resources.m_descriptors)
        limits.m_max_connections =
            std::min(limits.m_max_connections, count_within_descriptors(*resources.m_descriptors));
    limits.m_max_connections = std::max(limits.m_max_connections, min_connections);
    return limits;
}

bool is_closed_before(const connection_state& left, const connection_state& right)
{
    if (left.m_phase != right.m_phase)
        return left.m_phase == connection_phase::receiving ||
               (left.m_phase == connection_phase::idle && right.m_phase == connection_phase::handling);
    return left.m_since < right.m_since;
}

} // namespace hawthornpin
