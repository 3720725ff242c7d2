// Tests of the member table (incarnations, expiry, exchange between entries) and of the drain.

#include "membership/drain.h"
#include "membership/member_table.h"

#include <doctest/doctest.h>

namespace hawthornpin {

namespace {

constexpr milliseconds none{0};

announcement make_announcement(const std::string& id, std::uint64_t incarnation, std::uint64_t generation,
                               std::uint64_t sequence)
{
    last_reason why;
    const auto built = worker_builder({id, incarnation_id{incarnation}}, "circles")
                           .set_place({"r", "z", "rack"})
                           .set_address("127.0.0.1:1")
                           .set_capacity(8, 0, 0)
                           .build(why);
    return {*built, generation, sequence, member_state::serving, {}};
}

instant at_ms(long long value)
{
    return from_unix_ms(value);
}

} // namespace

TEST_CASE("an older incarnation never replaces a newer one, and a new one can exceed its generation")
{
    member_table table;
    CHECK(apply_announcement(table, make_announcement("a", 1, 100, 1), "", none, at_ms(0)).m_verdict ==
          announce_verdict::applied);
    CHECK(apply_announcement(table, make_announcement("a", 2, 200, 1), "", none, at_ms(1)).m_verdict ==
          announce_verdict::applied);
    const auto old = apply_announcement(table, make_announcement("a", 1, 100, 9), "", none, at_ms(2));
    CHECK(old.m_verdict == announce_verdict::superseded);
    CHECK(old.m_generation == 200);
    CHECK(find_presence(table, {"a", incarnation_id{1}}) == presence::replaced);
    CHECK(find_presence(table, {"a", incarnation_id{2}}) == presence::present);
    CHECK(find_presence(table, {"b", incarnation_id{1}}) == presence::unknown);
    // A process on a machine whose clock is behind starts with a lower generation and raises it after the
    // answer.
    CHECK(apply_announcement(table, make_announcement("a", 3, 50, 1), "", none, at_ms(3)).m_verdict ==
          announce_verdict::superseded);
    CHECK(apply_announcement(table, make_announcement("a", 3, 201, 2), "", none, at_ms(4)).m_verdict ==
          announce_verdict::applied);
}

TEST_CASE("an incarnation that reported to be gone does not come back with a late announcement")
{
    member_table table;
    auto gone = make_announcement("a", 1, 100, 5);
    gone.m_state = member_state::gone;
    apply_announcement(table, gone, "", none, at_ms(0));
    CHECK(apply_announcement(table, make_announcement("a", 1, 100, 6), "", none, at_ms(1)).m_verdict ==
          announce_verdict::repeated);
    CHECK(find_presence(table, {"a", incarnation_id{1}}) == presence::replaced);
    CHECK(usable_members(table, "circles").empty());
}

TEST_CASE("a member without updates becomes suspect and is then removed; an update makes it usable again")
{
    member_table table;
    apply_announcement(table, make_announcement("a", 1, 1, 1), "", none, at_ms(0));
    CHECK(mark_overdue(table, at_ms(2'999)) == 0);
    CHECK(mark_overdue(table, at_ms(3'001)) == 1);
    CHECK(usable_members(table, "circles").empty());
    CHECK(apply_heartbeat(table, {{"a", incarnation_id{1}}, 2, {}}, "", none, at_ms(3'500)));
    CHECK(usable_members(table, "circles").size() == 1);
    mark_overdue(table, at_ms(40'000));
    CHECK(table.m_members.empty());
    CHECK_FALSE(apply_heartbeat(table, {{"a", incarnation_id{1}}, 3, {}}, "", none, at_ms(40'001)));
}

TEST_CASE("two entries agree after an exchange, and heartbeats carry changes of load")
{
    member_table left;
    member_table right;
    for (int agent = 0; agent < 20; ++agent)
        apply_announcement(left, make_announcement("agent-" + std::to_string(agent), 1, 1, 1), "", none,
                           at_ms(0));
    for (const member& changed : members_changed_since(left, 0, "right"))
        apply_announcement(right, changed.m_announcement, "left", none, at_ms(1));
    CHECK(right.m_members.size() == 20);
    // Updates are not sent back to the entry that they came from.
    CHECK(members_changed_since(right, 0, "left").empty());
    const std::uint64_t seen = left.m_changes;
    auto loaded = make_announcement("agent-3", 1, 1, 2);
    loaded.m_load.m_running = 8;
    apply_announcement(left, loaded, "", none, at_ms(2));
    CHECK(members_changed_since(left, seen, "").empty());
    const auto refreshed = members_refreshed_since(left, seen, "");
    REQUIRE(refreshed.size() == 1);
    CHECK(apply_heartbeat(right, make_heartbeat(refreshed.front()), "left", none, at_ms(3)));
    CHECK(right.m_members.at("agent-3").m_announcement.m_load.m_running == 8);
}

TEST_CASE("a drain lingers, waits for requests in progress, and ends at the grace limit")
{
    drain_state drain;
    drain.m_limits = {milliseconds(2'000), milliseconds(10'000)};
    begin_drain(drain, at_ms(0));
    CHECK(advance_drain(drain, 0, at_ms(1'999)) == drain_step::lingering);
    CHECK(advance_drain(drain, 3, at_ms(2'000)) == drain_step::finishing);
    CHECK(advance_drain(drain, 1, at_ms(11'999)) == drain_step::finishing);
    drain_state busy_drain = drain;
    CHECK(advance_drain(drain, 0, at_ms(5'000)) == drain_step::finished);
    CHECK(advance_drain(busy_drain, 1, at_ms(12'000)) == drain_step::finished);
}

} // namespace hawthornpin
