// Tests of the run guard of an agent: the worker's capacity, leases, and a known result for every start.

#include "dispatch/run_guard.h"

#include "dispatch/entry_leases.h"

#include <doctest/doctest.h>

namespace hawthornpin {

namespace {

constexpr long long boot_ms = 1'000'000;
const home_identity entry{"entry-1", 1};
const home_identity other_entry{"entry-2", 2};

instant at_ms(long long value)
{
    return instant(milliseconds(boot_ms + value));
}

std::uint64_t clock_at_ms(long long value)
{
    return static_cast<std::uint64_t>(at_ms(value).time_since_epoch().count());
}

worker_report make_report(std::int64_t sequence = 1, std::int64_t started = 77)
{
    worker_report report;
    report.m_identity = {"i-1", started};
    report.m_service = "svc";
    report.m_capacity = {16'000, 32'768, 0};
    report.m_sequence = sequence;
    return report;
}

run_id make_run(std::uint32_t index, std::uint32_t number = 1)
{
    return {{"5c0e7a21d94b36f8", 0, 0, index}, number};
}

run_order make_order(std::uint32_t index, std::uint32_t number = 1)
{
    run_order order;
    order.m_run = make_run(index, number);
    order.m_needs = {4'000, 64, 0};
    order.m_start_within = milliseconds(60);
    return order;
}

// A guard whose worker has reported itself and lists no runs. The test supplies the time.
class guard_fixture {
public:
    guard_fixture()
    {
        m_guard.m_limits = make_run_guard_limits(milliseconds(1'000), milliseconds(50), milliseconds(1'300));
        m_guard.m_fence = 10;
        on_worker_report(m_guard, make_report(), at_ms(0));
        list({}, {}, 0);
    }

    void list(std::vector<listed_run> running, std::vector<listed_end> ended, long long now)
    {
        run_listing listing;
        listing.m_worker_clock_ms = now + 500;
        listing.m_started_unix_ms = 77;
        listing.m_running = std::move(running);
        listing.m_ended = std::move(ended);
        const renewal asked = begin_renewal(m_guard, at_ms(now));
        on_run_listing(m_guard, listing, asked, at_ms(now));
    }

    void order(std::vector<run_order> starts, long long now, long long clock_seen, std::uint64_t number = 1,
               const home_identity& home = entry)
    {
        order_batch batch;
        batch.m_home = home;
        batch.m_clock_seen = clock_at_ms(clock_seen);
        batch.m_number = number;
        batch.m_starts = std::move(starts);
        accept_orders(m_guard, batch, at_ms(now));
    }

    // Starts a run and acknowledges the start.
    void run(std::uint32_t index, long long now)
    {
        order({make_order(index)}, now, now);
        REQUIRE(advance(m_guard, at_ms(now)).m_starts.size() == 1);
        on_start_answer(m_guard, make_run(index), start_answer::started, at_ms(now));
    }

    std::vector<run_result> results(const home_identity& home = entry)
    {
        std::vector<run_result> results;
        for (const run_outcome& outcome : m_guard.m_homes[home].m_outcomes)
            results.push_back(outcome.m_result);
        return results;
    }

    run_guard m_guard;
};

} // namespace

TEST_CASE_FIXTURE(guard_fixture, "starts never exceed the worker's capacity, and a stopping run still counts")
{
    order({make_order(0), make_order(1), make_order(2), make_order(3), make_order(4)}, 1, 1);
    CHECK(advance(m_guard, at_ms(1)).m_starts.size() == 4);
    for (std::uint32_t index = 0; index < 4; ++index)
        on_start_answer(m_guard, make_run(index), start_answer::started, at_ms(2));
    order_batch stop;
    stop.m_home = entry;
    stop.m_clock_seen = clock_at_ms(3);
    stop.m_stops = {make_run(0)};
    accept_orders(m_guard, stop, at_ms(3));
    CHECK(advance(m_guard, at_ms(3)).m_stops.size() == 1);
    on_stop_answer(m_guard, make_run(0), true, at_ms(4));
    CHECK(advance(m_guard, at_ms(4)).m_starts.empty());
    // Listed neither as running nor as ended: it is still being stopped.
    list({{make_run(1), 1}, {make_run(2), 1}, {make_run(3), 1}}, {}, 10);
    CHECK(advance(m_guard, at_ms(10)).m_starts.empty());
    list({{make_run(1), 1}, {make_run(2), 1}, {make_run(3), 1}}, {{1, make_run(0), run_end::stopped}}, 12);
    CHECK(advance(m_guard, at_ms(12)).m_starts.size() == 1);
}

TEST_CASE_FIXTURE(guard_fixture,
                  "orphaned runs of an earlier agent are stopped, and block the worker until they end")
{
    run_guard fresh;
    fresh.m_limits = m_guard.m_limits;
    on_worker_report(fresh, make_report(), at_ms(0));
    m_guard = fresh;
    list({{make_run(9), 50}}, {}, 0);
    CHECK(state_of(m_guard, at_ms(0)) == agent_state::preparing);
    // This agent has not granted a lease yet, which does not make the worker count as silent.
    CHECK(advance(m_guard, at_ms(20)).m_stops == std::vector<run_id>{make_run(9)});
    CHECK(state_of(m_guard, at_ms(20)) == agent_state::preparing);
    order({make_order(0)}, 21, 21);
    CHECK(advance(m_guard, at_ms(21)).m_starts.empty());
    CHECK(results() == std::vector<run_result>{run_result::not_started});
    list({}, {{1, make_run(9), run_end::stopped}}, 40);
    CHECK(state_of(m_guard, at_ms(40)) == agent_state::serving);
}

TEST_CASE_FIXTURE(guard_fixture,
                  "a start order whose value of the agent's clock is older than the home lease is refused")
{
    list({}, {}, 600);
    order({make_order(0)}, 600, 600 - m_guard.m_limits.m_home_lease.count() - 1);
    CHECK(advance(m_guard, at_ms(600)).m_starts.empty());
    order({make_order(1)}, 600, 600 - m_guard.m_limits.m_home_lease.count() + 1);
    CHECK(advance(m_guard, at_ms(600)).m_starts.size() == 1);
}

// Guards against starting a refused order: its first copy arrives while the worker does not respond and is
// reported as not started, the second one once the worker responds again. Found by the platform model with
// suspended agents, seed 27.
TEST_CASE_FIXTURE(guard_fixture, "an order that was refused is not started when it arrives again")
{
    const long long unresponsive_at = m_guard.m_limits.m_listing_validity.count() + 100;
    order({make_order(0)}, unresponsive_at, unresponsive_at);
    REQUIRE(results() == std::vector<run_result>{run_result::not_started});
    list({}, {}, unresponsive_at + 1);
    order({make_order(0)}, unresponsive_at + 2, unresponsive_at + 2, 2);
    CHECK(advance(m_guard, at_ms(unresponsive_at + 2)).m_starts.empty());
}

TEST_CASE_FIXTURE(guard_fixture,
                  "waiting orders of a home whose lease has lapsed are reported as not started")
{
    order({make_order(0), make_order(1), make_order(2), make_order(3), make_order(4)}, 1, 1);
    m_guard.m_runs.at(make_run(4)).m_order.m_start_within = milliseconds(10'000);
    advance(m_guard, at_ms(1));
    const long long lapsed = 2 + m_guard.m_limits.m_home_lease.count();
    advance(m_guard, at_ms(lapsed));
    CHECK(results() == std::vector<run_result>{run_result::not_started});
}

// Guards against a new lease for a start that was decided before the agent was suspended.
TEST_CASE_FIXTURE(guard_fixture,
                  "the deadline of a start is that of the decision, as is the agent's lease end")
{
    order({make_order(0)}, 100, 100);
    const guard_actions actions = advance(m_guard, at_ms(100));
    REQUIRE(actions.m_starts.size() == 1);
    const auto lease = m_guard.m_limits.m_worker_lease.count();
    CHECK(actions.m_start_deadline_ms == 600 + lease);
    CHECK(at_ms(100 + lease) <= m_guard.m_lease_end);
    on_start_answer(m_guard, make_run(0), start_answer::unanswered, at_ms(180));
    CHECK(advance(m_guard, at_ms(200)).m_start_deadline_ms == 700 + lease);
}

TEST_CASE_FIXTURE(guard_fixture,
                  "the runs of a home whose lease has lapsed are stopped, those of another continue")
{
    run(0, 1);
    order({make_order(1)}, 1, 1, 1, other_entry);
    REQUIRE(advance(m_guard, at_ms(1)).m_starts.size() == 1);
    on_start_answer(m_guard, make_run(1), start_answer::started, at_ms(1));
    list({{make_run(0), 1}, {make_run(1), 1}}, {}, 300);
    order({}, 300, 300, 2, other_entry);
    list({{make_run(0), 2}, {make_run(1), 2}}, {}, 500);
    CHECK(advance(m_guard, at_ms(500)).m_stops == std::vector<run_id>{make_run(0)});
}

TEST_CASE_FIXTURE(guard_fixture, "a worker that does not respond gets no renewal, and its runs count as lost "
                                 "only after all leases have lapsed")
{
    run(0, 1);
    CHECK(begin_renewal(m_guard, at_ms(399)).m_deadline_ms.has_value());
    CHECK_FALSE(begin_renewal(m_guard, at_ms(401)).m_deadline_ms.has_value());
    order({}, 400, 400, 2);
    order({}, 800, 800, 3);
    const auto lease = m_guard.m_limits.m_worker_lease.count();
    advance(m_guard, at_ms(399 + lease));
    CHECK(results().empty());
    order({}, 1'200, 1'200, 4);
    const std::int64_t fence = m_guard.m_fence;
    advance(m_guard, at_ms(399 + lease * 105 / 100));
    CHECK(results() == std::vector<run_result>{run_result::lost});
    // Calls that the worker has not answered have a fence that is too low when it responds again.
    CHECK(m_guard.m_fence > fence);
}

TEST_CASE_FIXTURE(guard_fixture, "a start without an answer is repeated until its result is known")
{
    order({make_order(0)}, 1, 1);
    REQUIRE(advance(m_guard, at_ms(1)).m_starts.size() == 1);
    on_start_answer(m_guard, make_run(0), start_answer::unanswered, at_ms(80));
    CHECK(advance(m_guard, at_ms(110)).m_starts.size() == 1);
    SUBCASE("by an acknowledgement")
    {
        on_start_answer(m_guard, make_run(0), start_answer::started, at_ms(111));
        CHECK(m_guard.m_runs.at(make_run(0)).m_phase == run_phase::running);
    }
    SUBCASE("by a listing that overtakes the answer")
    {
        list({{make_run(0), 3}}, {}, 112);
        CHECK(m_guard.m_runs.at(make_run(0)).m_phase == run_phase::running);
    }
    SUBCASE("by a refusal only after a stop, as the first call may have been carried out")
    {
        on_start_answer(m_guard, make_run(0), start_answer::unhealthy, at_ms(111));
        CHECK(results().empty());
        list({}, {}, 112);
        CHECK(results().empty());
        CHECK(advance(m_guard, at_ms(112)).m_stops.size() == 1);
        on_stop_answer(m_guard, make_run(0), true, at_ms(113));
        list({}, {}, 150);
        CHECK(results().empty());
        list({}, {}, 250);
        CHECK(results() == std::vector<run_result>{run_result::refused});
        CHECK(m_guard.m_homes.at(entry).m_outcomes.front().m_verdict == verdict::may_have_run);
    }
    SUBCASE("by a listing after a refusal, and the run that the first call began is not stopped")
    {
        on_start_answer(m_guard, make_run(0), start_answer::unhealthy, at_ms(111));
        CHECK(advance(m_guard, at_ms(111)).m_starts.empty());
        list({{make_run(0), 3}}, {}, 112);
        CHECK(advance(m_guard, at_ms(112)).m_stops.empty());
        list({}, {{1, make_run(0), run_end::done}}, 150);
        CHECK(results() == std::vector<run_result>{run_result::done});
    }
}

// Guards against starts on a worker that was back under its id without the required label: the agent knew of
// no other incarnation yet.
TEST_CASE_FIXTURE(guard_fixture,
                  "starts and renewals are meant for the incarnation that listed its runs last")
{
    order({make_order(0)}, 1, 1);
    CHECK(advance(m_guard, at_ms(1)).m_worker_started == 77);
    CHECK(begin_renewal(m_guard, at_ms(2)).m_worker_started == 77);
    run_listing listing;
    listing.m_started_unix_ms = 99;
    on_run_listing(m_guard, listing, begin_renewal(m_guard, at_ms(20)), at_ms(20));
    on_worker_report(m_guard, make_report(1, 99), at_ms(21));
    order({make_order(1)}, 22, 22, 2);
    CHECK(advance(m_guard, at_ms(22)).m_worker_started == 99);
    CHECK(begin_renewal(m_guard, at_ms(23)).m_worker_started == 99);
}

// Guards against callers that wait for a worker whose process has ended: its agent took orders for 400 ms
// more, and reported those that it could not send as possibly run.
TEST_CASE_FIXTURE(guard_fixture,
                  "a worker that is not reached gets no starts, and what has not begun is returned")
{
    order({make_order(0), make_order(1), make_order(2), make_order(3), make_order(4)}, 1, 1);
    REQUIRE(advance(m_guard, at_ms(1)).m_starts.size() == 4);
    on_start_answer(m_guard, make_run(0), start_answer::started, at_ms(2));
    on_start_answer(m_guard, make_run(1), start_answer::disconnected, at_ms(2));
    start_answer failure = start_answer::unreachable;
    SUBCASE("no connection is made") {}
    SUBCASE("another incarnation answers")
    {
        failure = start_answer::other_incarnation;
    }
    on_start_answer(m_guard, make_run(2), failure, at_ms(3));
    CHECK(state_of(m_guard, at_ms(3)) == agent_state::worker_silent);
    CHECK(advance(m_guard, at_ms(60)).m_starts.empty());
    REQUIRE(results() == std::vector<run_result>{run_result::not_started, run_result::not_started});
    for (const run_outcome& outcome : m_guard.m_homes[entry].m_outcomes)
        CHECK(outcome.m_verdict == verdict::not_run);
    // Runs 0 and 1 may be at work, and the call for run 3 is not answered yet.
    CHECK(m_guard.m_runs.size() == 3);
    order({make_order(5)}, 61, 61, 2);
    CHECK(advance(m_guard, at_ms(61)).m_starts.empty());
    CHECK(results().size() == 3);
    CHECK(begin_renewal(m_guard, at_ms(62)).m_wait == milliseconds(0));
    list({}, {}, 63);
    CHECK(state_of(m_guard, at_ms(63)) == agent_state::serving);
    CHECK(advance(m_guard, at_ms(63)).m_starts.size() == 1);
}

TEST_CASE_FIXTURE(guard_fixture,
                  "a listing that was asked for before the worker was not reached does not count")
{
    const renewal asked = begin_renewal(m_guard, at_ms(10));
    on_worker_unreachable(m_guard, at_ms(11));
    run_listing listing;
    listing.m_started_unix_ms = 77;
    on_run_listing(m_guard, listing, asked, at_ms(12));
    CHECK(state_of(m_guard, at_ms(12)) == agent_state::worker_silent);
    list({}, {}, 13);
    CHECK(state_of(m_guard, at_ms(13)) == agent_state::serving);
}

// Guards against two runs of a task at the same time: the stop of a run overtook its order on another
// connection, the run started after its job was cancelled, and the caller submitted the job again.
TEST_CASE_FIXTURE(guard_fixture, "an order whose stop has arrived before it is not started")
{
    order_batch stop;
    stop.m_home = entry;
    stop.m_clock_seen = clock_at_ms(1);
    stop.m_number = 2;
    stop.m_stops = {make_run(0)};
    accept_orders(m_guard, stop, at_ms(1));
    const long long late = m_guard.m_limits.m_home_lease.count();
    list({}, {}, late);
    order({make_order(0), make_order(1)}, late, 1);
    const auto starts = advance(m_guard, at_ms(late)).m_starts;
    REQUIRE(starts.size() == 1);
    CHECK(starts.front().m_run == make_run(1));
    CHECK(results() == std::vector<run_result>{run_result::not_started});
}

TEST_CASE_FIXTURE(guard_fixture, "a repeated order has no further effect, during the run and after it")
{
    run(0, 1);
    order({make_order(0)}, 5, 5, 2);
    CHECK(advance(m_guard, at_ms(5)).m_starts.empty());
    list({}, {{1, make_run(0), run_end::done}}, 60);
    order({make_order(0)}, 61, 61, 3);
    CHECK(advance(m_guard, at_ms(61)).m_starts.empty());
    CHECK(results() == std::vector<run_result>{run_result::done, run_result::not_started});
    CHECK(m_guard.m_homes.at(entry).m_outcomes.back().m_verdict == verdict::ran);
}

// Guards against refusing a job as not run although its task ran: its home, suspended meanwhile, repeats the
// order after the agent has forgotten the run.
TEST_CASE_FIXTURE(guard_fixture, "an order older than the memory of ended runs is not reported as not run")
{
    run(0, 1);
    list({}, {{1, make_run(0), run_end::done}}, 60);
    acknowledge_outcomes(m_guard, entry, 1);
    const long long forgotten_at = 61 + m_guard.m_limits.m_ended_retention.count();
    list({}, {}, forgotten_at);
    advance(m_guard, at_ms(forgotten_at));
    order({make_order(0)}, forgotten_at, 1, 2);
    REQUIRE(results() == std::vector<run_result>{run_result::not_started});
    CHECK(m_guard.m_homes.at(entry).m_outcomes.front().m_verdict == verdict::may_have_run);
    // A younger order that comes too late can't have been accepted before.
    order({make_order(1)}, forgotten_at, 100, 3);
    REQUIRE(results().size() == 2);
    CHECK(m_guard.m_homes.at(entry).m_outcomes.back().m_verdict == verdict::not_run);
}

// Guards against two runs of a task at the same time: the caller submitted the job again, the home ordered
// the same run number, and took the late outcome of the first order for that of the second.
TEST_CASE_FIXTURE(guard_fixture, "no order is accepted for a run whose earlier outcome is not acknowledged")
{
    const long long late = m_guard.m_limits.m_home_lease.count() + 2;
    const auto forget = [&](long long after) {
        const long long now = after + 1 + m_guard.m_limits.m_ended_retention.count();
        list({}, {}, now);
        order({}, now, now, static_cast<std::uint64_t>(now));
        advance(m_guard, at_ms(now));
        REQUIRE(m_guard.m_ended.empty());
        order({make_order(0)}, now, now, static_cast<std::uint64_t>(now) + 1);
        return now;
    };
    list({}, {}, late);
    order({make_order(0)}, late, 1);
    REQUIRE(results() == std::vector<run_result>{run_result::not_started});
    const long long repeated_at = forget(late);
    CHECK(advance(m_guard, at_ms(repeated_at)).m_starts.empty());
    REQUIRE(results().size() == 2);
    CHECK(m_guard.m_homes.at(entry).m_outcomes.back().m_result == run_result::not_started);
    acknowledge_outcomes(m_guard, entry, 2);
    const long long accepted_at = forget(repeated_at);
    CHECK(advance(m_guard, at_ms(accepted_at)).m_starts.size() == 1);
}

// Guards against taking runs on a restarted worker as over: calls of before its restart granted it long
// leases.
TEST_CASE_FIXTURE(
    guard_fixture,
    "the runs of a new incarnation of the worker are not over before the longest lease has lapsed")
{
    run_listing listing;
    listing.m_started_unix_ms = 99;
    on_run_listing(m_guard, listing, begin_renewal(m_guard, at_ms(20)), at_ms(21));
    on_worker_report(m_guard, make_report(1, 99), at_ms(22));
    listing.m_worker_clock_ms = 10;
    on_run_listing(m_guard, listing, begin_renewal(m_guard, at_ms(23)), at_ms(24));
    run(0, 25);
    const long long max_lease = m_guard.m_limits.m_max_worker_lease.count();
    advance(m_guard, at_ms(21 + max_lease));
    CHECK_FALSE(m_guard.m_is_worker_silent);
    advance(m_guard, at_ms(25 + 2 * max_lease));
    CHECK(m_guard.m_is_worker_silent);
}

TEST_CASE_FIXTURE(guard_fixture, "a new incarnation of the worker ends all runs and raises the fence")
{
    run(0, 1);
    order({make_order(1)}, 2, 2, 2);
    REQUIRE(advance(m_guard, at_ms(2)).m_starts.size() == 1);
    const std::int64_t fence = m_guard.m_fence;
    m_guard.m_last_seen = 12;
    bool is_listed = false;
    SUBCASE("seen in its report")
    {
        on_worker_report(m_guard, make_report(1, 99), at_ms(20));
    }
    SUBCASE("seen in a listing")
    {
        is_listed = true;
    }
    if (!is_listed) {
        CHECK(m_guard.m_fence > fence);
        CHECK(m_guard.m_last_seen == 0);
        // The report alone does not prove that the runs have ended.
        CHECK(results().empty());
        CHECK(advance(m_guard, at_ms(21)).m_stops == std::vector<run_id>{make_run(0), make_run(1)});
        list({{make_run(0), 1}, {make_run(1), 1}}, {}, 22);
        CHECK(results().empty());
    }
    run_listing listing;
    listing.m_started_unix_ms = 99;
    on_run_listing(m_guard, listing, begin_renewal(m_guard, at_ms(30)), at_ms(30));
    CHECK(m_guard.m_fence > fence);
    CHECK(m_guard.m_last_seen == 0);
    CHECK(results() == std::vector<run_result>{run_result::lost, run_result::lost});
    CHECK(advance(m_guard, at_ms(31)).m_stops.empty());
}

// Without the time of its start, an incarnation is told apart by the answer that the id is not the worker's.
TEST_CASE_FIXTURE(guard_fixture, "the runs on a worker that does not report its start end by a stop")
{
    m_guard.m_worker_started.reset();
    run(0, 1);
    on_other_incarnation(m_guard, at_ms(20));
    CHECK(results().empty());
    CHECK(advance(m_guard, at_ms(21)).m_stops == std::vector<run_id>{make_run(0)});
    on_stop_answer(m_guard, make_run(0), true, at_ms(22));
    list({}, {}, 100);
    CHECK(results().empty());
    list({}, {}, 130);
    CHECK(results() == std::vector<run_result>{run_result::lost});
}

// Guards against starts beyond a worker's capacity and without the required label: it started again smaller
// and as another class, and the agent went by the report of the incarnation before.
TEST_CASE_FIXTURE(guard_fixture, "nothing starts on a new incarnation of the worker before it has reported")
{
    run_listing listing;
    listing.m_started_unix_ms = 99;
    SUBCASE("seen in a listing after one of the incarnation before") {}
    SUBCASE("seen in the first listing after a report of the incarnation before")
    {
        m_guard.m_has_listing = false;
        m_guard.m_worker_started.reset();
    }
    on_run_listing(m_guard, listing, begin_renewal(m_guard, at_ms(20)), at_ms(20));
    CHECK(state_of(m_guard, at_ms(20)) == agent_state::preparing);
    order({make_order(0)}, 21, 21);
    CHECK(advance(m_guard, at_ms(21)).m_starts.empty());
    // A delayed report of the incarnation before changes nothing.
    on_worker_report(m_guard, make_report(2), at_ms(22));
    CHECK(state_of(m_guard, at_ms(22)) == agent_state::preparing);
    worker_report smaller = make_report(1, 99);
    smaller.m_capacity = {4'000, 8'192, 0};
    on_worker_report(m_guard, smaller, at_ms(23));
    CHECK(state_of(m_guard, at_ms(23)) == agent_state::serving);
    order({make_order(1), make_order(2)}, 24, 24, 2);
    CHECK(advance(m_guard, at_ms(24)).m_starts.size() == 1);
}

// Guards against starts on a worker that was back under its id without the required label: its home went by
// the labels of the incarnation before.
TEST_CASE_FIXTURE(guard_fixture, "an order that requires a label is refused by a worker without it")
{
    worker_report report = make_report(2);
    report.m_labels = {"a", "r1-1"};
    on_worker_report(m_guard, report, at_ms(1));
    run_order labelled = make_order(0);
    labelled.m_required_label = "a";
    run_order misplaced = make_order(1);
    misplaced.m_required_label = "b";
    order({labelled, misplaced, make_order(2)}, 2, 2);
    CHECK(advance(m_guard, at_ms(2)).m_starts.size() == 2);
    REQUIRE(results() == std::vector<run_result>{run_result::not_started});
    CHECK(m_guard.m_homes[entry].m_outcomes.front().m_run == make_run(1));
    CHECK(m_guard.m_homes[entry].m_outcomes.front().m_verdict == verdict::not_run);
}

// Guards against starts beyond the capacity of a worker that started again smaller after its wall clock had
// been set back.
TEST_CASE_FIXTURE(guard_fixture,
                  "a new incarnation of the worker with an earlier start time is used by its own report")
{
    run_listing listing;
    listing.m_started_unix_ms = 55;
    on_run_listing(m_guard, listing, begin_renewal(m_guard, at_ms(20)), at_ms(21));
    CHECK(state_of(m_guard, at_ms(21)) == agent_state::preparing);
    worker_report smaller = make_report(1, 55);
    smaller.m_capacity = {4'000, 8'192, 0};
    on_worker_report(m_guard, smaller, at_ms(22));
    CHECK(state_of(m_guard, at_ms(22)) == agent_state::serving);
    order({make_order(0), make_order(1)}, 23, 23);
    CHECK(advance(m_guard, at_ms(23)).m_starts.size() == 1);
    // A listing of that incarnation that was asked for before the next one reported itself.
    const renewal asked = begin_renewal(m_guard, at_ms(30));
    on_worker_report(m_guard, make_report(1, 99), at_ms(31));
    on_run_listing(m_guard, listing, asked, at_ms(32));
    CHECK(m_guard.m_report.has_value());
}

TEST_CASE_FIXTURE(guard_fixture,
                  "a delayed report of an earlier incarnation or an earlier state changes nothing")
{
    worker_report draining = make_report(5);
    draining.m_is_draining = true;
    on_worker_report(m_guard, draining, at_ms(1));
    on_worker_report(m_guard, make_report(4), at_ms(2));
    CHECK(state_of(m_guard, at_ms(2)) == agent_state::leaving);
    on_worker_report(m_guard, make_report(9, 50), at_ms(3));
    CHECK(m_guard.m_report->m_identity.m_started_unix_ms == 77);
}

TEST_CASE_FIXTURE(guard_fixture, "nothing starts on a draining worker, and waiting runs are returned")
{
    order({make_order(0), make_order(1), make_order(2), make_order(3), make_order(4)}, 1, 1);
    advance(m_guard, at_ms(1));
    worker_report draining = make_report(2);
    draining.m_is_draining = true;
    on_worker_report(m_guard, draining, at_ms(2));
    CHECK(advance(m_guard, at_ms(3)).m_starts.empty());
    CHECK(results() == std::vector<run_result>{run_result::not_started});
    order({make_order(7)}, 4, 4, 2);
    CHECK(results().size() == 2);
}

// Guards against a start on a worker whose draining was acknowledged: it had no room for the run at first.
TEST_CASE_FIXTURE(guard_fixture,
                  "a start that a worker had no room for is not repeated once the worker drains")
{
    order({make_order(0), make_order(1)}, 1, 1);
    REQUIRE(advance(m_guard, at_ms(1)).m_starts.size() == 2);
    on_start_answer(m_guard, make_run(0), start_answer::no_room, at_ms(2));
    on_start_answer(m_guard, make_run(1), start_answer::unanswered, at_ms(81));
    worker_report draining = make_report(2);
    draining.m_is_draining = true;
    on_worker_report(m_guard, draining, at_ms(82));
    // The run without an answer may have begun: its start is repeated until that is known.
    const auto starts = advance(m_guard, at_ms(102)).m_starts;
    REQUIRE(starts.size() == 1);
    CHECK(starts.front().m_run == make_run(1));
    REQUIRE(results() == std::vector<run_result>{run_result::not_started});
    CHECK(m_guard.m_homes.at(entry).m_outcomes.front().m_verdict == verdict::not_run);
}

// Guards against taking a run as over while its worker's lease lasts: the repeated start had extended it.
TEST_CASE_FIXTURE(guard_fixture, "a start that is repeated on a draining worker extends the known lease end")
{
    order({make_order(0)}, 1, 1);
    REQUIRE(advance(m_guard, at_ms(1)).m_starts.size() == 1);
    on_start_answer(m_guard, make_run(0), start_answer::unanswered, at_ms(81));
    worker_report draining = make_report(2);
    draining.m_is_draining = true;
    on_worker_report(m_guard, draining, at_ms(82));
    REQUIRE(advance(m_guard, at_ms(200)).m_starts.size() == 1);
    CHECK(m_guard.m_lease_end >= at_ms(200) + m_guard.m_limits.m_worker_lease);
}

// Guards against two runs of a task at the same time: its worker deregistered, and the task was started
// elsewhere before the worker had ended.
TEST_CASE_FIXTURE(guard_fixture, "the runs of a worker that deregisters are not over until that is proved")
{
    run(0, 1);
    order({make_order(1), make_order(2), make_order(3), make_order(4)}, 2, 2, 2);
    REQUIRE(advance(m_guard, at_ms(2)).m_starts.size() == 3);
    list({{make_run(0), 1}}, {}, 3);
    on_worker_left(m_guard, "i-1", at_ms(10));
    // The run that still waited; the starts of the others may have been carried out.
    CHECK(results() == std::vector<run_result>{run_result::not_started});
    CHECK(advance(m_guard, at_ms(10)).m_stops.size() == 4);
    SUBCASE("by a listed end")
    {
        list({}, {{1, make_run(0), run_end::stopped}}, 20);
        CHECK(results() == std::vector<run_result>{run_result::not_started, run_result::lost});
    }
    SUBCASE("by a listing long enough after the answer to the stop")
    {
        on_stop_answer(m_guard, make_run(0), true, at_ms(12));
        list({}, {}, 50);
        CHECK(results().size() == 1);
        list({}, {}, 113);
        CHECK(results() == std::vector<run_result>{run_result::not_started, run_result::lost});
    }
    SUBCASE("by the end of the lease, which is not renewed any more")
    {
        const auto lease = m_guard.m_limits.m_worker_lease.count();
        CHECK_FALSE(begin_renewal(m_guard, at_ms(11)).m_deadline_ms.has_value());
        order({}, 300, 300, 3);
        advance(m_guard, at_ms(3 + lease));
        CHECK(results().size() == 1);
        advance(m_guard, at_ms(4 + lease * 105 / 100));
        CHECK(results().size() == 5);
    }
}

TEST_CASE_FIXTURE(guard_fixture, "a worker that reports again after it deregistered is used again")
{
    on_worker_left(m_guard, "i-1", at_ms(10));
    CHECK(state_of(m_guard, at_ms(10)) == agent_state::leaving);
    worker_report draining = make_report(2);
    draining.m_is_draining = true;
    on_worker_report(m_guard, draining, at_ms(11));
    CHECK_FALSE(begin_renewal(m_guard, at_ms(11)).m_deadline_ms.has_value());
    SUBCASE("in the same incarnation")
    {
        on_worker_report(m_guard, make_report(3), at_ms(12));
    }
    SUBCASE("in a new incarnation")
    {
        on_worker_report(m_guard, make_report(1, 99), at_ms(12));
        run_listing listing;
        listing.m_started_unix_ms = 99;
        on_run_listing(m_guard, listing, begin_renewal(m_guard, at_ms(13)), at_ms(13));
    }
    CHECK(state_of(m_guard, at_ms(13)) == agent_state::serving);
    CHECK(begin_renewal(m_guard, at_ms(13)).m_deadline_ms.has_value());
}

TEST_CASE_FIXTURE(guard_fixture, "a run without progress is stopped and reported as stalled")
{
    run(0, 1);
    for (long long now = 100; now <= 700; now += 100) {
        list({{make_run(0), 7}}, {}, now);
        order({}, now, now, static_cast<std::uint64_t>(now));
    }
    CHECK(advance(m_guard, at_ms(701)).m_stops == std::vector<run_id>{make_run(0)});
    list({}, {{1, make_run(0), run_end::stopped}}, 720);
    CHECK(results() == std::vector<run_result>{run_result::stalled});
}

TEST_CASE_FIXTURE(guard_fixture, "an order that finds no room in time is returned unstarted")
{
    order({make_order(0), make_order(1), make_order(2), make_order(3), make_order(4)}, 1, 1);
    advance(m_guard, at_ms(1));
    advance(m_guard, at_ms(60));
    CHECK(results().empty());
    advance(m_guard, at_ms(62));
    CHECK(results() == std::vector<run_result>{run_result::not_started});
}

TEST_CASE("the leases of entry, home and worker and a stop end before the caller resubmits the job")
{
    for (const long long resubmit_after : {600, 1'300, 5'000}) {
        const auto limits =
            make_run_guard_limits(milliseconds(1'000), milliseconds(50), milliseconds(resubmit_after));
        const auto entry_lease = make_entry_lease_limits(milliseconds(resubmit_after)).m_entry_lease;
        const auto slow_lease = limits.m_worker_lease * 102 / 100;
        const auto detection_delay = 2 * decision_tick;
        CHECK(entry_lease + limits.m_home_lease + slow_lease + detection_delay + milliseconds(50) <=
              milliseconds(resubmit_after));
        // The time after which a home takes a lost agent's runs as ended covers the leases that follow the
        // agent's last message.
        CHECK(lost_agent_timeout(limits) >=
              limits.m_home_lease + slow_lease + detection_delay + milliseconds(50));
    }
}

} // namespace hawthornpin
