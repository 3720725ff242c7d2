// A home's view of the entries whose jobs it has: a session ends when its entry has fallen silent. Pure.

#pragma once

#include "core/instant.h"
#include "world/home_session.h"

#include <map>
#include <string>
#include <vector>

namespace hawthornpin {

struct entry_lease_limits {
    // Jobs of a session end when the newest clock value that its entry has shown is older. Three heartbeats
    // fit in; see make_run_guard_limits() for what bounds it from above.
    milliseconds m_entry_lease{400};
};

// The longest lease that leaves the larger part of `resubmit_after` to the leases that follow it.
entry_lease_limits make_entry_lease_limits(milliseconds resubmit_after);

struct entry_leases {
    entry_lease_limits m_limits;
    // Until when each session lasts.
    std::map<home_identity, instant> m_sessions;
};

// Whether the presence is recent enough to begin or keep a session.
bool is_recent(const entry_leases& leases, const entry_heartbeat& heartbeat, instant now);

// An entry showed itself. One that was held up on its way changes nothing.
void record_entry_heartbeat(entry_leases& leases, const entry_heartbeat& heartbeat, instant now);

// Forgets the sessions that are over and returns them.
std::vector<home_identity> take_expired_sessions(entry_leases& leases, instant now);

} // namespace hawthornpin
