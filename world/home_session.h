// What an entry and a home of jobs tell each other about themselves, as immutable values.

#pragma once

#include "world/run_messages.h"

#include <cstdint>

namespace hawthornpin {

// Proves to a home that an entry, and so the callers that wait there, is alive.
struct entry_heartbeat {
    // One session of the entry with the home. An entry that has given a home up meets it in a new session.
    home_identity m_session;
    // The home's clock as last seen by the entry.
    std::uint64_t m_clock_seen = 0;
    // How many homes an agent takes orders from.
    std::uint32_t m_homes_per_agent = 1;

    friend bool operator==(const entry_heartbeat&, const entry_heartbeat&) = default;
};

// What a home says of itself with every answer.
struct home_status {
    // The home's own clock, in microseconds.
    std::uint64_t m_clock = 0;
    // Agents that it can order runs from.
    std::uint32_t m_usable_agents = 0;
    bool m_is_leaving = false;

    friend bool operator==(const home_status&, const home_status&) = default;
};

} // namespace hawthornpin
