// Tests of the run guard of an agent whose zone is evacuated, or that does not know whether it is.

#include "dispatch/run_guard.h"

#include <doctest/doctest.h>

namespace hawthornpin {

namespace {

const home_identity home{"entry-1", 1};

instant at_ms(long long value)
{
    return instant(milliseconds(1'000'000 + value));
}

run_id make_run(std::uint32_t index)
{
    return {{"5c0e7a21d94b36f8", 0, 0, index}, 1};
}

// A guard in zone "a" with a worker of four places. The test supplies the time.
class evacuation_fixture {
public:
    evacuation_fixture()
    {
        m_guard.m_limits = make_run_guard_limits(milliseconds(1'000), milliseconds(50), milliseconds(1'300));
        m_guard.m_zone = "a";
        m_guard.m_evacuation.m_limits = evacuation_limits{};
        worker_report report;
        report.m_identity = {"i-1", 77};
        report.m_zone = "a";
        report.m_capacity = {16'000, 32'768, 0};
        report.m_sequence = 1;
        on_worker_report(m_guard, report, at_ms(0));
        list({}, 0);
    }

    void list(std::vector<listed_run> running, long long now)
    {
        run_listing listing;
        listing.m_worker_clock_ms = now;
        listing.m_started_unix_ms = 77;
        listing.m_running = std::move(running);
        const renewal asked = begin_renewal(m_guard, at_ms(now));
        on_run_listing(m_guard, listing, asked, at_ms(now));
    }

    void order(std::uint32_t first, std::uint32_t count, long long now)
    {
        order_batch batch;
        batch.m_home = home;
        batch.m_clock_seen = static_cast<std::uint64_t>(at_ms(now).time_since_epoch().count());
        batch.m_number = ++m_number;
        for (std::uint32_t index = first; index < first + count; ++index) {
            run_order order;
            order.m_run = make_run(index);
            order.m_needs = {4'000, 64, 0};
            order.m_start_within = milliseconds(300);
            batch.m_starts.push_back(order);
        }
        accept_orders(m_guard, batch, at_ms(now));
    }

    std::size_t start(long long now) { return advance(m_guard, at_ms(now)).m_starts.size(); }

    void learn(std::int64_t offset, std::set<std::string> zones, long long now)
    {
        merge_evacuation(m_guard.m_evacuation, {offset, std::move(zones)}, at_ms(now), at_ms(now));
    }

    const std::vector<run_outcome>& outcomes() { return m_guard.m_homes[home].m_outcomes; }

    run_guard m_guard;
    std::uint64_t m_number = 0;
};

} // namespace

// Guards against starts in an evacuated zone by an agent that has just started.
TEST_CASE_FIXTURE(evacuation_fixture, "without a state, nothing starts, and orders are returned as not run")
{
    CHECK(state_of(m_guard, at_ms(1)) == agent_state::preparing);
    order(0, 2, 1);
    CHECK(start(1) == 0);
    REQUIRE(outcomes().size() == 2);
    CHECK(outcomes()[0].m_result == run_result::not_started);
    CHECK(outcomes()[0].m_verdict == verdict::not_run);
    CHECK(m_guard.m_barred_orders[start_bar::evacuation_unknown] == 2);
    learn(7, {"b"}, 2);
    CHECK(state_of(m_guard, at_ms(2)) == agent_state::serving);
    order(2, 1, 2);
    CHECK(start(2) == 1);
}

TEST_CASE_FIXTURE(evacuation_fixture,
                  "in an evacuated zone orders are returned, and tasks that run there continue")
{
    learn(7, {}, 0);
    order(0, 5, 1);
    CHECK(start(1) == 4);
    for (std::uint32_t index = 0; index < 4; ++index)
        on_start_answer(m_guard, make_run(index), start_answer::started, at_ms(2));
    learn(8, {"a", "b"}, 3);
    CHECK(state_of(m_guard, at_ms(3)) == agent_state::evacuated);
    order(5, 1, 3);
    const guard_actions actions = advance(m_guard, at_ms(3));
    CHECK(actions.m_starts.empty());
    CHECK(actions.m_stops.empty());
    // The order that is new, and the one that waited for room.
    REQUIRE(outcomes().size() == 2);
    for (const run_outcome& outcome : outcomes()) {
        CHECK(outcome.m_result == run_result::not_started);
        CHECK(outcome.m_verdict == verdict::not_run);
    }
    CHECK(m_guard.m_barred_orders[start_bar::zone_evacuated] == 2);
    CHECK(m_guard.m_runs.size() == 4);
    // The lease of the running tasks is renewed.
    CHECK(begin_renewal(m_guard, at_ms(4)).m_deadline_ms);
}

// Guards against starts in a zone that was evacuated while its machine was partitioned from all others.
TEST_CASE_FIXTURE(evacuation_fixture,
                  "with a state that is confirmed no more, nothing starts after the bound")
{
    learn(7, {}, 0);
    list({}, 10'000);
    CHECK(state_of(m_guard, at_ms(10'000)) == agent_state::serving);
    order(0, 5, 10'000);
    CHECK(start(10'000) == 4);
    list({}, 10'001);
    CHECK(state_of(m_guard, at_ms(10'001)) == agent_state::preparing);
    // The fifth order waited for room.
    CHECK(start(10'001) == 0);
    REQUIRE(outcomes().size() == 1);
    CHECK(outcomes()[0].m_result == run_result::not_started);
    CHECK(m_guard.m_barred_orders[start_bar::evacuation_stale] == 1);
    learn(7, {}, 10'002);
    order(5, 1, 10'002);
    CHECK(state_of(m_guard, at_ms(10'002)) == agent_state::serving);
}

TEST_CASE_FIXTURE(evacuation_fixture, "a revoked evacuation is over as soon as the agent learns of it")
{
    learn(7, {"a"}, 0);
    CHECK(state_of(m_guard, at_ms(1)) == agent_state::evacuated);
    // A delayed message carries the state of before the evacuation.
    learn(6, {}, 2);
    CHECK(state_of(m_guard, at_ms(2)) == agent_state::evacuated);
    learn(8, {}, 3);
    order(0, 1, 3);
    CHECK(start(3) == 1);
}

// Guards against a repeated start, which would begin in the evacuated zone.
TEST_CASE_FIXTURE(evacuation_fixture, "a start without an answer is not repeated in an evacuated zone")
{
    learn(7, {}, 0);
    order(0, 3, 1);
    CHECK(start(1) == 3);
    on_start_answer(m_guard, make_run(0), start_answer::unanswered, at_ms(50));
    on_start_answer(m_guard, make_run(1), start_answer::unanswered, at_ms(50));
    on_start_answer(m_guard, make_run(2), start_answer::no_room, at_ms(50));
    learn(8, {"a"}, 50);
    list({}, 50);
    CHECK(start(80) == 0);
    // Its start had no effect.
    REQUIRE(outcomes().size() == 1);
    CHECK(outcomes()[0].m_run == make_run(2));
    CHECK(outcomes()[0].m_verdict == verdict::not_run);
    // The listing shows that one of the others began: it continues, and the other one is stopped.
    list({{make_run(0), 3}}, 100);
    const guard_actions actions = advance(m_guard, at_ms(101));
    CHECK(actions.m_starts.empty());
    CHECK(actions.m_stops == std::vector<run_id>{make_run(1)});
    CHECK(m_guard.m_runs.at(make_run(0)).m_phase == run_phase::running);
    on_stop_answer(m_guard, make_run(1), true, at_ms(102));
    list({{make_run(0), 4}}, 300);
    REQUIRE(outcomes().size() == 2);
    CHECK(outcomes()[1].m_result == run_result::stopped);
    CHECK(outcomes()[1].m_verdict == verdict::may_have_run);
}

// Guards against starts by an agent whose settings name another zone than its worker.
TEST_CASE_FIXTURE(evacuation_fixture, "the zone that the worker reports counts as well")
{
    m_guard.m_zone = "c";
    learn(7, {"a"}, 0);
    CHECK(state_of(m_guard, at_ms(1)) == agent_state::evacuated);
    learn(8, {"c"}, 1);
    CHECK(state_of(m_guard, at_ms(1)) == agent_state::evacuated);
    learn(9, {"b"}, 2);
    CHECK(state_of(m_guard, at_ms(2)) == agent_state::serving);
}

// Guards against an effect on deployments whose settings do not ask for evacuations.
TEST_CASE_FIXTURE(evacuation_fixture, "without limits an agent needs no state and ignores one")
{
    m_guard.m_evacuation.m_limits.reset();
    learn(7, {"a"}, 0);
    order(0, 1, 1);
    CHECK(start(1) == 1);
}

} // namespace hawthornpin
