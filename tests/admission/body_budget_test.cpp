// Tests which bodies end when the memory for bodies in progress is used up or a time limit is exceeded.

#include "admission/body_budget.h"

#include <doctest/doctest.h>

namespace hawthornpin {

namespace {

instant at_ms(long long value)
{
    return instant(milliseconds(value));
}

body_budget make_budget(std::size_t bytes)
{
    body_budget budget;
    budget.m_limits.m_max_bytes = bytes;
    return budget;
}

// Observes the time every 100 ms until `end_ms`, as the sweeps of a running process do, and returns what is
// overdue at the end.
std::vector<overdue_body> run_until(body_budget& budget, long long begin_ms, long long end_ms)
{
    std::vector<overdue_body> overdue;
    for (long long now_ms = begin_ms; now_ms <= end_ms; now_ms += 100) {
        for (const overdue_body& body : take_overdue_bodies(budget, at_ms(now_ms)))
            overdue.push_back(body);
    }
    return overdue;
}

} // namespace

// Guards against stalled bodies that keep the memory from bodies that arrive later.
TEST_CASE("the body that has been in progress longest is evicted, whatever it has received lately")
{
    body_budget budget = make_budget(100);
    const auto oldest = begin_body(budget, at_ms(0));
    const auto younger = begin_body(budget, at_ms(50));
    CHECK(reserve_body(budget, younger, 40, at_ms(50)) == reservation{true, {}});
    CHECK(reserve_body(budget, oldest, 60, at_ms(60)) == reservation{true, {}});
    record_body_progress(budget, oldest, at_ms(499));
    const auto newest = begin_body(budget, at_ms(500));
    CHECK(reserve_body(budget, newest, 30, at_ms(500)) == reservation{true, {oldest}});
    CHECK(budget.m_bytes == 70);
    CHECK(reserve_body(budget, newest, 100, at_ms(501)) == reservation{true, {younger}});
    CHECK(budget.m_bytes == 100);
    // What was evicted has no more effect.
    CHECK(reserve_body(budget, oldest, 10, at_ms(502)) == reservation{false, {}});
    end_body(budget, oldest);
    CHECK(budget.m_bytes == 100);
}

// Guards against a crowd that pushes out ordinary bodies, which are complete within milliseconds.
TEST_CASE("a body is refused rather than that one is evicted that has been in progress for a moment only")
{
    body_budget budget = make_budget(100);
    const auto first = begin_body(budget, at_ms(0));
    CHECK(reserve_body(budget, first, 80, at_ms(0)).m_is_granted);
    const auto second = begin_body(budget, at_ms(99));
    CHECK(reserve_body(budget, second, 30, at_ms(99)) == reservation{false, {}});
    CHECK(budget.m_bytes == 80);
    CHECK(reserve_body(budget, second, 20, at_ms(99)).m_is_granted);
    CHECK(reserve_body(budget, second, 30, at_ms(100)) == reservation{true, {first}});
}

// Guards against a budget that is smaller than the largest body, which would then never be served.
TEST_CASE("a body that is alone gets the memory that it needs")
{
    body_budget budget = make_budget(100);
    const auto only = begin_body(budget, at_ms(0));
    CHECK(reserve_body(budget, only, 1'000, at_ms(0)).m_is_granted);
    const auto second = begin_body(budget, at_ms(10));
    CHECK_FALSE(reserve_body(budget, second, 10, at_ms(10)).m_is_granted);
    end_body(budget, only);
    CHECK(reserve_body(budget, second, 10, at_ms(10)).m_is_granted);
    end_body(budget, second);
    CHECK(budget.m_bytes == 0);
    CHECK(budget.m_bodies.empty());
}

TEST_CASE("a body without input for the stall timeout, or incomplete after the total one, is overdue")
{
    body_budget budget = make_budget(100);
    const auto silent = begin_body(budget, at_ms(0));
    const auto slow = begin_body(budget, at_ms(0));
    std::vector<overdue_body> overdue;
    for (long long now_ms = 0; now_ms <= 31'000; now_ms += 500) {
        record_body_progress(budget, slow, at_ms(now_ms));
        for (const overdue_body& body : take_overdue_bodies(budget, at_ms(now_ms))) {
            CHECK(now_ms == (body.m_id == silent ? 10'000 : 30'000));
            overdue.push_back(body);
        }
    }
    CHECK(overdue ==
          std::vector<overdue_body>{{silent, reason::body_stalled}, {slow, reason::body_too_slow}});
    CHECK(budget.m_bodies.empty());
}

// Guards against a process that takes its own suspension, or a pause by SIGSTOP, for silence of its clients.
TEST_CASE("a pause of the process does not count towards the timeouts")
{
    body_budget budget = make_budget(100);
    const auto body = begin_body(budget, at_ms(0));
    CHECK(run_until(budget, 100, 5'000).empty());
    constexpr long long pause_ms = 3'600'000;
    CHECK(run_until(budget, pause_ms, pause_ms + 3'900).empty());
    CHECK(run_until(budget, pause_ms + 4'000, pause_ms + 4'000) ==
          std::vector<overdue_body>{{body, reason::body_stalled}});
}

// The load of a slow-body attack in front of ordinary callers.
TEST_CASE("ordinary bodies are served while a crowd of stalled bodies fills the memory")
{
    constexpr std::size_t body_bytes = 262'144;
    body_budget budget = make_budget(15'000'000);
    long long now_ms = 0;
    std::size_t served = 0;
    constexpr std::size_t ordinary_bodies = 200;
    for (std::size_t round = 0; round < ordinary_bodies; ++round, now_ms += 50) {
        for (int count = 0; count < 3; ++count) {
            const auto stalled = begin_body(budget, at_ms(now_ms));
            if (!reserve_body(budget, stalled, body_bytes, at_ms(now_ms)).m_is_granted)
                end_body(budget, stalled);
        }
        const auto ordinary = begin_body(budget, at_ms(now_ms + 1));
        if (reserve_body(budget, ordinary, body_bytes, at_ms(now_ms + 1)).m_is_granted)
            ++served;
        end_body(budget, ordinary);
        REQUIRE(budget.m_bytes <= budget.m_limits.m_max_bytes);
    }
    CHECK(served == ordinary_bodies);
}

} // namespace hawthornpin
