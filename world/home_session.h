// Messages between an entry and a home about their own state, as immutable values.

#pragma once

#include "world/run_messages.h"

#include <cstdint>
#include <optional>

namespace hawthornpin {

// Proves to a home that an entry, and with it the callers that wait there, is alive.
struct entry_heartbeat {
    // The session of the entry with the home. After it has marked a home as lost, an entry uses a new
    // session.
    home_identity m_session;
    // The home's clock in the last answer that the entry received.
    std::uint64_t m_clock_seen = 0;
    // How many homes an agent takes orders from.
    std::uint32_t m_homes_per_agent = 1;
    // The evacuated zones; empty if the entry does not know them. The age counts from m_clock_seen.
    std::optional<evacuation_report> m_evacuation;

    friend bool operator==(const entry_heartbeat&, const entry_heartbeat&) = default;
};

// State that a home reports with every answer.
struct home_status {
    // The home's own clock, in microseconds.
    std::uint64_t m_clock = 0;
    // Agents that it can order runs from.
    std::uint32_t m_usable_agents = 0;
    bool m_is_leaving = false;
    // Free processors of these agents' workers less what waits at the home, in thousandths of a core. May be
    // negative.
    std::int64_t m_free_milli = 0;

    friend bool operator==(const home_status&, const home_status&) = default;
};

} // namespace hawthornpin
