// Entry leases, measured by the home's own clock.

#include "dispatch/entry_leases.h"

#include <algorithm>

namespace hawthornpin {

namespace {

instant lease_end(const entry_leases& leases, const entry_heartbeat& heartbeat)
{
    return instant(microseconds(heartbeat.m_clock_seen)) + leases.m_limits.m_entry_lease;
}

} // namespace

entry_lease_limits make_entry_lease_limits(milliseconds resubmit_after)
{
    constexpr std::int64_t lease_divisor = 3;
    entry_lease_limits limits;
    limits.m_entry_lease = std::min(limits.m_entry_lease, resubmit_after / lease_divisor);
    return limits;
}

bool is_recent(const entry_leases& leases, const entry_heartbeat& heartbeat, instant now)
{
    return lease_end(leases, heartbeat) >= now;
}

void record_entry_heartbeat(entry_leases& leases, const entry_heartbeat& heartbeat, instant now)
{
    if (!is_recent(leases, heartbeat, now))
        return;
    instant& end = leases.m_sessions[heartbeat.m_session];
    end = std::max(end, lease_end(leases, heartbeat));
}

std::vector<home_identity> take_expired_sessions(entry_leases& leases, instant now)
{
    std::vector<home_identity> ended;
    for (const auto& [session, end] : leases.m_sessions) {
        if (end < now)
            ended.push_back(session);
    }
    for (const home_identity& session : ended)
        leases.m_sessions.erase(session);
    return ended;
}

} // namespace hawthornpin
