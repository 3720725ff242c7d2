// Tests of the home table: sessions, detection of lost homes and choice of a home.

#include "routing/home_table.h"

#include <doctest/doctest.h>

namespace hawthornpin {

namespace {

instant at_ms(long long ms)
{
    return instant(milliseconds(ms));
}

// Two homes that have answered at 1,000 ms.
class home_table_fixture {
public:
    home_table_fixture()
    {
        m_table.m_self = "entry-1";
        m_table.m_homes_per_agent = 6;
        m_table.m_random.seed(7);
        set_chosen_homes(m_table, {{"a", "10.0.0.1:1"}, {"b", "10.0.0.2:1"}});
        answer("a", 1'000);
        answer("b", 1'000);
    }

    void answer(const std::string& home, long long now, home_status status = {0, 18, false})
    {
        status.m_clock = static_cast<std::uint64_t>(now) * 1'000;
        on_home_status(m_table, home, m_table.m_homes.at(home).m_session, status, at_ms(now));
    }

    home_table m_table;
};

} // namespace

TEST_CASE_FIXTURE(home_table_fixture, "jobs go to homes that answer, have agents and are not leaving")
{
    REQUIRE(choose_home(m_table, {}, 0, at_ms(1'010)));
    CHECK(choose_home(m_table, {"a"}, 0, at_ms(1'010)) == "b");
    CHECK_FALSE(choose_home(m_table, {"a", "b"}, 0, at_ms(1'010)));
    answer("a", 1'020, {0, 0, false});
    CHECK(choose_home(m_table, {}, 0, at_ms(1'030)) == "b");
    answer("b", 1'030, {0, 18, true});
    CHECK_FALSE(choose_home(m_table, {}, 0, at_ms(1'040)));
    answer("a", 1'050);
    CHECK(choose_home(m_table, {}, 0, at_ms(1'060)) == "a");
    const long long unresponsive_ms = m_table.m_limits.m_suspect_after.count() + 1;
    CHECK_FALSE(choose_home(m_table, {}, 0, at_ms(1'050 + unresponsive_ms)));
}

TEST_CASE_FIXTURE(home_table_fixture, "a home with more room gets more jobs, also between its reports")
{
    answer("a", 1'005, {0, 20, false, 100'000});
    answer("b", 1'005, {0, 5, false, 25'000});
    std::map<std::string, int> jobs;
    for (int job = 0; job < 100; ++job) {
        const auto home = choose_home(m_table, {}, 1'000, at_ms(1'010));
        REQUIRE(home);
        record_forwarded(m_table, *home, std::to_string(job), 1'000);
        ++jobs[*home];
    }
    CHECK(jobs["a"] >= 3 * jobs["b"]);
    CHECK(jobs["b"] >= 10);
}

TEST_CASE_FIXTURE(home_table_fixture,
                  "a job that does not fit the drawn homes goes to the one with most room")
{
    set_chosen_homes(m_table, {{"a", "10.0.0.1:1"}, {"b", "10.0.0.2:1"}, {"c", "10.0.0.3:1"}});
    answer("a", 1'005, {0, 4, false, 2'000});
    answer("b", 1'005, {0, 4, false, -3'000});
    answer("c", 1'005, {0, 4, false, 30'000});
    for (int job = 0; job < 20; ++job)
        CHECK(choose_home(m_table, {}, 20'000, at_ms(1'010)) == "c");
}

TEST_CASE_FIXTURE(home_table_fixture,
                  "a small home without room does not attract the jobs of an overloaded service")
{
    set_chosen_homes(m_table, {{"a", "10.0.0.1:1"}, {"b", "10.0.0.2:1"}, {"c", "10.0.0.3:1"}});
    answer("a", 1'005, {0, 6, false, -4'000});
    answer("b", 1'005, {0, 1, false, -1'500});
    answer("c", 1'005, {0, 6, false, -5'000});
    for (int job = 0; job < 20; ++job)
        CHECK(choose_home(m_table, {}, 2'400, at_ms(1'010)) == "a");
}

TEST_CASE_FIXTURE(home_table_fixture, "heartbeats are due at their interval, one at a time for each home")
{
    CHECK(take_due_home_heartbeats(m_table, at_ms(1'100)).size() == 2);
    CHECK(take_due_home_heartbeats(m_table, at_ms(1'300)).empty());
    answer("a", 1'310);
    on_home_heartbeat_lost(m_table, "b", m_table.m_homes.at("b").m_session);
    CHECK(take_due_home_heartbeats(m_table, at_ms(1'310)).size() == 2);
}

TEST_CASE_FIXTURE(home_table_fixture,
                  "a home that stops responding is lost, and its next session is a new one")
{
    record_forwarded(m_table, "a", "job", 1'000);
    const long long unresponsive_ms = m_table.m_limits.m_lost_after.count();
    CHECK(list_unresponsive_homes(m_table, at_ms(1'000 + unresponsive_ms)).empty());
    // The other home has no jobs, so it is not listed.
    CHECK(list_unresponsive_homes(m_table, at_ms(1'001 + unresponsive_ms)) == std::vector<std::string>{"a"});
    const entry_heartbeat before = make_entry_heartbeat(m_table, "a");
    CHECK(mark_home_lost(m_table, "a") == std::set<std::string>{"job"});
    const entry_heartbeat after = make_entry_heartbeat(m_table, "a");
    CHECK(before.m_session != after.m_session);
    // A clock value of the old session does not renew the lease in the new one, nor the other way round.
    CHECK(after.m_clock_seen == 0);
    on_home_status(m_table, "a", before.m_session.m_incarnation, {2'000'000, 18, false}, at_ms(2'000));
    CHECK(make_entry_heartbeat(m_table, "a").m_clock_seen == 0);
}

// Guards against two runs of a task at the same time: the cancellation of a job was lost with its connection,
// and the heartbeats on the next one kept the job alive at its home.
TEST_CASE_FIXTURE(
    home_table_fixture,
    "after a lost heartbeat, a home without jobs is not kept from ending those cancelled before")
{
    record_forwarded(m_table, "a", "job", 1'000);
    record_forwarded(m_table, "b", "other", 1'000);
    const std::uint64_t session = make_entry_heartbeat(m_table, "a").m_session.m_incarnation;
    const std::uint64_t other_session = make_entry_heartbeat(m_table, "b").m_session.m_incarnation;
    record_forward_ended(m_table, "a", "job");
    REQUIRE(take_due_home_heartbeats(m_table, at_ms(1'100)).size() == 2);
    on_home_heartbeat_lost(m_table, "a", session);
    on_home_heartbeat_lost(m_table, "b", other_session);
    const entry_heartbeat next = make_entry_heartbeat(m_table, "a");
    CHECK(next.m_session.m_incarnation != session);
    CHECK(next.m_clock_seen == 0);
    // The calls for jobs that are not cancelled report a lost connection themselves.
    CHECK(make_entry_heartbeat(m_table, "b").m_session.m_incarnation == other_session);
    CHECK(take_due_home_heartbeats(m_table, at_ms(1'200)).size() == 2);
}

TEST_CASE_FIXTURE(home_table_fixture, "the own delay is that of the quickest answer, pending ones included")
{
    CHECK(estimate_own_delay(m_table, at_ms(1'050)) == milliseconds(0));
    const auto heartbeat_answered = [&](const std::string& home, long long now) {
        home_status status{static_cast<std::uint64_t>(now) * 1'000, 18, false, 0};
        on_home_heartbeat_answered(m_table, home, m_table.m_homes.at(home).m_session, status, at_ms(now));
    };
    take_due_home_heartbeats(m_table, at_ms(1'100));
    heartbeat_answered("a", 1'110);
    heartbeat_answered("b", 1'250);
    // The home b is slow, not this process.
    CHECK(estimate_own_delay(m_table, at_ms(1'250)) == milliseconds(10));
    take_due_home_heartbeats(m_table, at_ms(1'300));
    CHECK(estimate_own_delay(m_table, at_ms(1'380)) == milliseconds(80));
    on_home_heartbeat_lost(m_table, "a", m_table.m_homes.at("a").m_session);
    on_home_heartbeat_lost(m_table, "b", m_table.m_homes.at("b").m_session);
    CHECK(estimate_own_delay(m_table, at_ms(1'700)) == m_table.m_limits.m_answer_timeout);
}

TEST_CASE_FIXTURE(home_table_fixture, "a home that is no longer chosen is kept until its jobs have ended")
{
    record_forwarded(m_table, "a", "job", 1'000);
    set_chosen_homes(m_table, {{"b", "10.0.0.2:1"}});
    CHECK(m_table.m_homes.contains("a"));
    CHECK(choose_home(m_table, {}, 0, at_ms(1'010)) == "b");
    record_forward_ended(m_table, "a", "job");
    set_chosen_homes(m_table, {{"b", "10.0.0.2:1"}});
    CHECK_FALSE(m_table.m_homes.contains("a"));
}

} // namespace hawthornpin
