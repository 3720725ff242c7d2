// The homes that an agent may take orders from, and which of them it works with: the best ranked one that
// sends it orders. Reads no clock and does no I/O.
//
// One home at a time knows the room of a worker exactly; others would order what it has already given away.
// Correctness does not depend on it, since an agent takes orders from any home.

#pragma once

#include "core/instant.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hawthornpin {

struct ranked_home {
    std::string m_address;
    // When orders or a heartbeat last arrived from the home.
    std::optional<instant> m_heard_at;
    std::optional<instant> m_registered_at;
    // Registrations since the home was last heard.
    std::uint32_t m_unanswered_registrations = 0;
};

struct home_assignment {
    // Best first. Empty while jobs are scheduled by entries.
    std::vector<ranked_home> m_homes;
    // When m_homes last changed.
    instant m_changed_at;
};

// Sets the homes as an entry ranks them. Entries may know different agents for some seconds after a change,
// so a list that differs is taken only some seconds after the last change, unless no home sends orders.
void set_ranked_homes(home_assignment& assignment, const std::vector<std::string>& addresses, instant now);

// Records orders or a heartbeat from the address. Returns whether it is one of the homes.
bool record_home_orders(home_assignment& assignment, const std::string& address, instant now);

// Address of the home that the agent works with; empty if none sends orders.
std::optional<std::string> current_home(const home_assignment& assignment, instant now);

// Whether the agent works with another home than the one at this address, which should not keep it ready.
bool is_assigned_elsewhere(const home_assignment& assignment, const std::string& address, instant now);

// Returns the homes to register with now: those ranked before the current one. Without a current one these
// are the two best and, one after the other, those behind them. Records them as registered.
std::vector<std::string> take_due_home_registrations(home_assignment& assignment, instant now);

} // namespace hawthornpin
