// Tests of priorities: the order of placement, admission, and the homes that a refused job may try.

#include "dispatch/job_admission.h"
#include "tests/dispatch/scheduler_fixture.h"

#include <doctest/doctest.h>

namespace hawthornpin {

namespace {

constexpr long long caller_timeout_ms = 1'500;

work_request make_long_request(const std::string& id, std::uint32_t tasks)
{
    work_request request = make_request(id, tasks);
    request.m_steps.front().m_estimate_ms = 900;
    return request;
}

} // namespace

TEST_CASE_FIXTURE(scheduler_fixture, "room that comes free goes to the job of the higher priority")
{
    add_agent("a", 0);
    submit(make_long_request("running", 4), 1, caller_timeout_ms, 2);
    const auto running = take_orders(1);
    REQUIRE(running.size() == 4);
    submit(make_long_request("low", 1), 2, caller_timeout_ms, 2);
    submit(make_long_request("high", 1), 3, caller_timeout_ms, 0);
    CHECK(take_answers().empty());
    report("a", 1, {{running.front().second, run_result::done, milliseconds(900)}}, 50);
    answer("a", 1, 51);
    m_scheduler.m_agents.m_agents.at("a").m_status.m_free = {4'000, 32'768, 0};
    advance(m_scheduler, at_ms(52));
    const auto orders = take_orders(52);
    REQUIRE(orders.size() == 1);
    CHECK(orders.front().second.m_task.m_job == "high");
}

TEST_CASE_FIXTURE(scheduler_fixture,
                  "demand of a higher priority that keeps arriving lengthens the expected wait")
{
    add_agent("a", 0);
    submit(make_long_request("running", 4), 1, caller_timeout_ms, 2);
    take_orders(1);
    answer("a", 1, 90);
    m_scheduler.m_agents.m_agents.at("a").m_status.m_free = {0, 32'768, 0};
    const auto refuses = [&](int priority) {
        queue_contract queue = make_queue();
        queue.m_priority = priority;
        submit_job(m_scheduler, make_long_request("probe", 1), queue, milliseconds(caller_timeout_ms),
                   at_ms(100));
        const bool is_refused = !take_answers().empty();
        cancel_job(m_scheduler, "probe");
        return is_refused;
    };
    CHECK_FALSE(refuses(1));
    for (int count = 0; count < 20; ++count)
        record_demand(m_scheduler.m_demand["svc"], 0, 4'000, at_ms(90));
    CHECK(refuses(1));
    CHECK_FALSE(refuses(0));
}

TEST_CASE_FIXTURE(scheduler_fixture, "a refused job is no demand that lower priorities wait for")
{
    add_agent("a", 0);
    const work_request request = make_long_request("high", 4);
    constexpr int jobs = 20;
    for (int index = 0; index < jobs; ++index)
        submit(make_long_request("high-" + std::to_string(index), 4), 1, caller_timeout_ms, 0);
    const auto refused = static_cast<int>(take_answers().size());
    REQUIRE(refused > 0);
    REQUIRE(refused < jobs);
    demand_meter admitted;
    for (int index = refused; index < jobs; ++index)
        record_demand(admitted, 0, initial_demand(request), at_ms(1));
    CHECK(rate_above(m_scheduler.m_demand["svc"], 1, at_ms(1)) ==
          doctest::Approx(rate_above(admitted, 1, at_ms(1))));
}

TEST_CASE("demand counts for lower priorities only, and fades")
{
    demand_meter meter;
    record_demand(meter, 1, 10'000, at_ms(0));
    CHECK(rate_above(meter, 0, at_ms(0)) == 0);
    CHECK(rate_above(meter, 1, at_ms(0)) == 0);
    CHECK(rate_above(meter, 2, at_ms(0)) == doctest::Approx(20));
    CHECK(rate_above(meter, 2, at_ms(500)) < 8);
    CHECK(rate_above(meter, 2, at_ms(5'000)) < 0.01);
}

TEST_CASE("a refused job tries at most three homes, one that was delayed twice no more")
{
    job_answer_event answer{"j", job_end::refused, job_end_reason::overload, milliseconds(0)};
    CHECK(can_try_another_home(answer, 1));
    CHECK(can_try_another_home(answer, 2));
    CHECK_FALSE(can_try_another_home(answer, 3));
    answer.m_reason = job_end_reason::hand_in_late;
    CHECK(can_try_another_home(answer, 1));
    CHECK_FALSE(can_try_another_home(answer, 2));
    // Its orders came back: the time for another home is over.
    answer.m_reason = job_end_reason::late_before_start;
    CHECK_FALSE(can_try_another_home(answer, 1));
    // It may have run.
    answer = {"j", job_end::abandoned, job_end_reason::home_lost, milliseconds(0)};
    CHECK_FALSE(can_try_another_home(answer, 1));
}

TEST_CASE_FIXTURE(scheduler_fixture, "an agent that works with another home is forgotten once it has no runs")
{
    add_agent("a", 0);
    submit(make_request("j", 1), 1);
    const auto orders = take_orders(1);
    agent_status status = make_status("a", 1, true);
    status.m_state = agent_state::assigned_elsewhere;
    on_agent_report(m_scheduler, status, {}, at_ms(10));
    advance(m_scheduler, at_ms(11));
    CHECK(m_scheduler.m_agents.m_agents.contains("a"));
    status.m_sequence = ++m_sequence;
    on_agent_report(m_scheduler, status, {{orders.at(0).second, run_result::done, milliseconds(90)}},
                    at_ms(100));
    CHECK(take_answers().at(0).m_end == job_end::completed);
    tick(100, 200);
    CHECK_FALSE(m_scheduler.m_agents.m_agents.contains("a"));
}

} // namespace hawthornpin
