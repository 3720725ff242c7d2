// Tracks the sessions of the entries whose jobs a home runs: a session ends when its entry has stopped
// sending heartbeats. Pure.

#pragma once

#include "core/instant.h"
#include "world/home_session.h"

#include <map>
#include <string>
#include <vector>

namespace hawthornpin {

struct entry_lease_limits {
    // A session and its jobs end when the newest value of the home's clock in its entry's heartbeats is older
    // than this. Covers three heartbeats; see make_run_guard_limits() for the upper bound.
    milliseconds m_entry_lease{400};
};

// Limits the lease so that the larger part of `resubmit_after` is left for the home lease and the worker
// lease, which lapse after it.
entry_lease_limits make_entry_lease_limits(milliseconds resubmit_after);

struct entry_leases {
    entry_lease_limits m_limits;
    // End of the lease of each session.
    std::map<home_identity, instant> m_sessions;
};

// Whether the heartbeat is recent enough to start or keep a session.
bool is_recent(const entry_leases& leases, const entry_heartbeat& heartbeat, instant now);

// Starts or extends the session of the heartbeat's entry. A heartbeat that was delayed on its way changes
// nothing.
void record_entry_heartbeat(entry_leases& leases, const entry_heartbeat& heartbeat, instant now);

// Removes the expired sessions and returns them.
std::vector<home_identity> take_expired_sessions(entry_leases& leases, instant now);

} // namespace hawthornpin
