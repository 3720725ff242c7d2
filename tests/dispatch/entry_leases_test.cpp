// Tests of the entry leases of a home.

#include "dispatch/entry_leases.h"

#include <doctest/doctest.h>

namespace hawthornpin {

namespace {

instant at_ms(long long ms)
{
    return instant(milliseconds(ms));
}

entry_heartbeat make_entry_heartbeat(std::uint64_t session, long long clock_ms)
{
    return {{"entry-1", session}, static_cast<std::uint64_t>(clock_ms) * 1'000, 6};
}

} // namespace

TEST_CASE("a session lasts as long as its entry's heartbeats have recent values of the home's clock")
{
    entry_leases leases;
    const long long lease_ms = leases.m_limits.m_entry_lease.count();
    record_entry_heartbeat(leases, make_entry_heartbeat(1, 1'000), at_ms(1'010));
    CHECK(take_expired_sessions(leases, at_ms(1'000 + lease_ms)).empty());
    record_entry_heartbeat(leases, make_entry_heartbeat(1, 1'200), at_ms(1'210));
    CHECK(take_expired_sessions(leases, at_ms(1'200 + lease_ms)).empty());
    CHECK(take_expired_sessions(leases, at_ms(1'201 + lease_ms)) ==
          std::vector<home_identity>{{"entry-1", 1}});
    CHECK(take_expired_sessions(leases, at_ms(5'000)).empty());
}

TEST_CASE("delayed heartbeats neither start nor extend a session")
{
    entry_leases leases;
    const long long lease_ms = leases.m_limits.m_entry_lease.count();
    record_entry_heartbeat(leases, make_entry_heartbeat(1, 1'000), at_ms(1'001 + lease_ms));
    CHECK(leases.m_sessions.empty());
    record_entry_heartbeat(leases, make_entry_heartbeat(2, 2'000), at_ms(2'010));
    // Arrives after a newer heartbeat.
    record_entry_heartbeat(leases, make_entry_heartbeat(2, 1'900), at_ms(2'020));
    CHECK(take_expired_sessions(leases, at_ms(2'000 + lease_ms)).empty());
}

TEST_CASE("the sessions of two incarnations of an entry expire independently")
{
    entry_leases leases;
    const long long lease_ms = leases.m_limits.m_entry_lease.count();
    record_entry_heartbeat(leases, make_entry_heartbeat(1, 1'000), at_ms(1'010));
    record_entry_heartbeat(leases, make_entry_heartbeat(2, 1'000 + lease_ms), at_ms(1'000 + lease_ms));
    CHECK(take_expired_sessions(leases, at_ms(1'001 + lease_ms)) ==
          std::vector<home_identity>{{"entry-1", 1}});
}

} // namespace hawthornpin
