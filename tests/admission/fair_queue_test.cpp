// Tests of the fair queue, the token bucket and the retry budget.

#include "admission/fair_queue.h"
#include "admission/limits.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace hawthornpin {

namespace {

const queue_filter accept_all{[](const queued_task&) { return true; },
                              [](const std::string&) { return true; }, true};

queued_task make_task(std::uint64_t number, const std::string& team, int estimated_ms)
{
    return {{{0, number}, 0}, team, milliseconds(estimated_ms), instant(microseconds(number)), false};
}

} // namespace

TEST_CASE("a burst of one team does not delay the other by more than its share")
{
    fair_queue queue;
    std::uint64_t number = 0;
    for (int count = 0; count < 1'000; ++count)
        push(queue, make_task(++number, "burst", 100), 1);
    for (int count = 0; count < 10; ++count)
        push(queue, make_task(++number, "calm", 100), 1);
    int served_before_calm_is_done = 0;
    for (int calm_served = 0; calm_served < 10;) {
        const auto task = pop(queue, accept_all);
        REQUIRE(task);
        calm_served += task->m_team == "calm" ? 1 : 0;
        ++served_before_calm_is_done;
    }
    CHECK(served_before_calm_is_done <= 21);
}

TEST_CASE("work is shared by weight, whatever the sizes of the tasks")
{
    fair_queue queue;
    std::uint64_t number = 0;
    for (int count = 0; count < 2'000; ++count) {
        push(queue, make_task(++number, "heavy", 500), 2);
        push(queue, make_task(++number, "light", 50), 1);
    }
    std::map<std::string, double> served;
    for (int count = 0; count < 1'000; ++count) {
        const auto task = pop(queue, accept_all);
        served[task->m_team] += static_cast<double>(task->m_estimated.count());
    }
    const double ratio = served["heavy"] / served["light"];
    CHECK(ratio > 1.9);
    CHECK(ratio < 2.1);
}

TEST_CASE("no task is lost or duplicated by any sequence of pushes, pops and removals")
{
    const bool holds = rc::check("conservation", [](const std::vector<std::uint8_t>& steps) {
        fair_queue queue;
        std::uint64_t number = 0;
        std::map<std::uint64_t, bool> is_live;
        const queue_filter filter{
            [&](const queued_task& task) { return is_live[task.m_grant.m_ticket.m_low]; },
            [](const std::string&) { return true; }, true};
        int live = 0;
        for (const std::uint8_t step : steps) {
            const std::string team(1, static_cast<char>('a' + step % 3));
            if (step % 4 < 2) {
                push(queue, make_task(++number, team, step), 1 + step % 2);
                is_live[number] = true;
                ++live;
            }
            else if (step % 4 == 2) {
                const auto task = pop(queue, filter);
                RC_ASSERT(task.has_value() == (live > 0));
                if (task) {
                    RC_ASSERT(is_live[task->m_grant.m_ticket.m_low]);
                    is_live[task->m_grant.m_ticket.m_low] = false;
                    --live;
                }
            }
            else {
                for (auto& [id, flag] : is_live) {
                    if (!flag)
                        continue;
                    // The team and estimate are found from the queue itself.
                    for (auto& [name, team_tasks] : queue.m_team_queues) {
                        for (const queued_task& task : team_tasks.m_movable) {
                            if (task.m_grant.m_ticket.m_low == id && flag) {
                                flag = false;
                                remove_from_totals(queue, name, task.m_estimated);
                                --live;
                            }
                        }
                    }
                    break;
                }
            }
            RC_ASSERT(queue.m_live == live);
        }
        while (pop(queue, filter))
            --live;
        RC_ASSERT(live == 0);
        RC_ASSERT(queue.m_live == 0);
    });
    CHECK(holds);
}

TEST_CASE("a team at its running limit is skipped and keeps its queued tasks")
{
    fair_queue queue;
    push(queue, make_task(1, "limited", 10), 1);
    push(queue, make_task(2, "free", 10), 1);
    const queue_filter limited{[](const queued_task&) { return true; },
                               [](const std::string& team) { return team != "limited"; }, true};
    CHECK(pop(queue, limited)->m_team == "free");
    CHECK_FALSE(pop(queue, limited));
    CHECK(pop(queue, accept_all)->m_team == "limited");
}

TEST_CASE("a token bucket admits its rate, goes negative for wide jobs, and takes nothing on refusal")
{
    token_bucket bucket;
    const instant begin{milliseconds(1'000)};
    CHECK(take_tokens(bucket, 770, 100, 100, begin));
    CHECK_FALSE(take_tokens(bucket, 1, 100, 100, begin + milliseconds(1'000)));
    CHECK(time_until(bucket, 1, 100, 100) >= milliseconds(5'700));
    CHECK(take_tokens(bucket, 1, 100, 100, begin + milliseconds(6'800)));
    CHECK(take_tokens(bucket, 1'000'000, 0, 0, begin));
}

TEST_CASE("the retry budget is limited to a share of the successes")
{
    retry_budget budget;
    int retries = 0;
    while (take_retry(budget))
        ++retries;
    CHECK(retries == 10);
    for (int success = 0; success < 100; ++success)
        record_success(budget);
    while (take_retry(budget))
        ++retries;
    CHECK(retries >= 19);
    CHECK(retries <= 20);
}

} // namespace hawthornpin
