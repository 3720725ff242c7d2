// Tests of the job scheduler: correct answers, repetition of runs only after proof that they ended, and
// behaviour under load.

#include "dispatch/job_admission.h"
#include "tests/dispatch/scheduler_fixture.h"

#include <doctest/doctest.h>

#include <map>

namespace hawthornpin {

TEST_CASE_FIXTURE(scheduler_fixture, "a job is completed when all of its tasks are done, and answered once")
{
    add_agent("a", 0);
    submit(make_request("j", 2), 1);
    const auto orders = take_orders(1);
    REQUIRE(orders.size() == 2);
    report("a", 1, {{orders[0].second, run_result::done, milliseconds(90)}}, 100);
    CHECK(take_answers().empty());
    report("a", 1, {{orders[1].second, run_result::done, milliseconds(95)}}, 101);
    report("a", 1, {{orders[1].second, run_result::done, milliseconds(95)}}, 102);
    const auto answers = take_answers();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].m_end == job_end::completed);
}

TEST_CASE_FIXTURE(scheduler_fixture,
                  "a job fails only after as many failed runs of a task as its queue allows")
{
    add_agent("a", 0);
    submit(make_request("j", 1), 1);
    auto orders = take_orders(1);
    report("a", 1, {{orders.at(0).second, run_result::failed, milliseconds(5)}}, 10);
    CHECK(take_answers().empty());
    answer("a", 1, 11);
    advance(m_scheduler, at_ms(12));
    orders = take_orders(12);
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].second.m_number == 2);
    report("a", 1, {{orders[0].second, run_result::failed, milliseconds(5)}}, 20);
    REQUIRE(take_answers().at(0).m_end == job_end::failed);
}

TEST_CASE_FIXTURE(scheduler_fixture, "a job whose caller deadline has passed is abandoned, not failed")
{
    add_agent("a", 0);
    submit(make_request("j", 1), 1, 500);
    REQUIRE(take_orders(1).size() == 1);
    advance(m_scheduler, at_ms(502));
    const auto answers = take_answers();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].m_end == job_end::abandoned);
}

// Guards against two runs of a task at the same time: an entry that was suspended forwarded a job whose
// caller had submitted it again elsewhere.
TEST_CASE_FIXTURE(scheduler_fixture, "a job whose caller does not wait any longer is refused and not begun")
{
    add_agent("a", 0);
    submit(make_request("j", 1), 1, 1);
    CHECK(take_orders(1).empty());
    const auto answers = take_answers();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].m_end == job_end::refused);
    CHECK(answers[0].m_reason == job_end_reason::caller_deadline);
    CHECK_FALSE(can_try_another_home(answers[0], 1));
    answer("a", 1, 2);
    submit(make_request("k", 1), 2, 25);
    CHECK(take_orders(2).size() == 1);
}

TEST_CASE_FIXTURE(scheduler_fixture, "a job is refused as not run when its orders were returned unstarted")
{
    add_agent("a", 0);
    submit(make_request("j", 1), 1);
    const auto orders = take_orders(1);
    report("a", 1, {{orders.at(0).second, run_result::not_started, milliseconds(0), verdict::not_run}}, 300);
    advance(m_scheduler, at_ms(300));
    const auto answers = take_answers();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].m_end == job_end::refused);
    CHECK(answers[0].m_reason == job_end_reason::late_before_start);
}

TEST_CASE_FIXTURE(scheduler_fixture,
                  "a job that fits no worker fails at once, but not before the workers are known")
{
    SUBCASE("known for long enough")
    {
        add_agent("a", 0);
        submit(make_request("j", 1, 20'000), 1);
        CHECK(take_answers().at(0).m_reason == job_end_reason::never_fits);
    }
    SUBCASE("just after the start")
    {
        m_scheduler.m_agents.m_started = at_ms(0);
        add_agent("a", 0);
        submit(make_request("j", 1, 20'000), 1);
        CHECK(take_answers().at(0).m_end == job_end::refused);
    }
    SUBCASE("a worker has not reported yet")
    {
        add_agent("a", 0);
        agent_status unreported = make_status("b", 1, false);
        unreported.m_capacity = {};
        on_agent_report(m_scheduler, unreported, {}, at_ms(0));
        submit(make_request("j", 1, 20'000), 1);
        CHECK(take_answers().at(0).m_end == job_end::refused);
    }
}

TEST_CASE_FIXTURE(scheduler_fixture,
                  "the tasks of a job are placed on few agents, up to the limit of consecutive tasks at each")
{
    for (const char* agent : {"a", "b", "c", "d"})
        add_agent(agent, 0);
    submit(make_request("j", 4), 1);
    std::map<std::string, std::size_t> tasks_by_agent;
    for (const auto& [agent, run] : take_orders(1))
        ++tasks_by_agent[agent];
    CHECK(tasks_by_agent.size() == 4 / m_scheduler.m_limits.m_max_consecutive_tasks);
}

TEST_CASE_FIXTURE(scheduler_fixture, "tasks wait at the home, not at a full worker")
{
    add_agent("a", 0);
    submit(make_request("full", 4), 1, 5'000);
    REQUIRE(take_orders(1).size() == 4);
    submit(make_request("urgent", 1, 1'000), 2, 5'000);
    CHECK(take_orders(2).empty());
    // The first free slot goes to the job that is the most urgent at that time.
    CHECK(m_scheduler.m_ready.size() == 1);
}

TEST_CASE_FIXTURE(scheduler_fixture, "a step starts when all steps that it depends on are done")
{
    add_agent("a", 0);
    work_request request = make_request("j", 1);
    request.m_steps.push_back(request.m_steps[0]);
    request.m_steps.push_back(request.m_steps[0]);
    request.m_steps[2].m_depends_on = {0, 1};
    submit(request, 1, 5'000);
    const auto orders = take_orders(1);
    REQUIRE(orders.size() == 2);
    report("a", 1, {{orders[0].second, run_result::done, milliseconds(50)}}, 50);
    answer("a", 1, 51);
    advance(m_scheduler, at_ms(52));
    CHECK(take_orders(52).empty());
    report("a", 1, {{orders[1].second, run_result::done, milliseconds(60)}}, 60);
    answer("a", 1, 61);
    advance(m_scheduler, at_ms(62));
    CHECK(take_orders(62).at(0).second.m_task.m_step == 2);
}

TEST_CASE_FIXTURE(scheduler_fixture,
                  "a request of an unsupported kind is refused and none of its tasks is ordered")
{
    add_agent("a", 0);
    work_request stored = make_request("j", 1);
    stored.m_is_best_effort = false;
    submit(stored, 1);
    work_request gang = make_request("k", 2);
    gang.m_steps[0].m_is_gang = true;
    submit(gang, 1);
    for (const job_answer_event& answer : take_answers()) {
        CHECK(answer.m_end == job_end::refused);
        CHECK(answer.m_reason == job_end_reason::unsupported);
    }
    CHECK(take_orders(1).empty());
}

TEST_CASE_FIXTURE(scheduler_fixture, "a worker gets no more tasks of a step than the step's limit per worker")
{
    add_agent("a", 0);
    add_agent("b", 0);
    work_request request = make_request("j", 3);
    request.m_steps[0].m_max_per_worker = 1;
    submit(request, 1);
    const auto orders = take_orders(1);
    REQUIRE(orders.size() == 2);
    CHECK(orders[0].first != orders[1].first);
}

// Simulates arrivals of one-task jobs of 4 cores and 100 ms at one worker of 16 cores, which serves 40 a
// second.
TEST_CASE_FIXTURE(scheduler_fixture,
                  "jobs above capacity are refused at arrival and the admitted jobs are on time")
{
    add_agent("a", 0);
    struct ending {
        long long m_at;
        run_id m_run;
    };
    std::vector<ending> running;
    std::vector<run_id> waiting;
    std::map<std::string, long long> arrived;
    int completed = 0;
    int late = 0;
    int refused_after_waiting = 0;
    constexpr long long interval_ms = 12;
    constexpr long long on_time_limit_ms = 220;
    for (long long now = 1; now < 4'000; ++now) {
        if (now % interval_ms == 0) {
            const std::string id = "j" + std::to_string(now);
            arrived[id] = now;
            submit(make_request(id, 1), now);
        }
        std::vector<run_outcome> ended;
        std::erase_if(running, [&](const ending& item) {
            if (item.m_at <= now)
                ended.push_back({item.m_run, run_result::done, milliseconds(100)});
            return item.m_at <= now;
        });
        for (const auto& [agent, run] : take_orders(now))
            waiting.push_back(run);
        while (running.size() < 4 && !waiting.empty()) {
            running.push_back({now + 100, waiting.front()});
            waiting.erase(waiting.begin());
        }
        agent_status status = make_status("a", 1, true);
        status.m_free.m_cpu_milli -= 4'000 * static_cast<long long>(running.size() + waiting.size());
        on_batch_answered(m_scheduler, "a", m_last_batch["a"], status, at_ms(now));
        on_agent_report(m_scheduler, status, ended, at_ms(now));
        advance(m_scheduler, at_ms(now));
        for (const job_answer_event& answer : take_answers()) {
            const long long took = now - arrived[answer.m_job];
            completed += answer.m_end == job_end::completed ? 1 : 0;
            late += answer.m_end == job_end::completed && took > on_time_limit_ms ? 1 : 0;
            refused_after_waiting +=
                answer.m_end != job_end::completed && took > on_time_limit_ms / 4 ? 1 : 0;
        }
    }
    // The worker can complete 160 jobs in the four seconds.
    CHECK(completed > 140);
    CHECK(late * 20 < completed);
    CHECK(refused_after_waiting * 20 < completed);
}

// Guards against agents that are not told of an evacuation, and against orders to those that have returned
// them because of one.
TEST_CASE_FIXTURE(scheduler_fixture, "a home tells its agents the evacuated zones and orders elsewhere")
{
    add_agent("a", 0);
    evacuation_view view;
    view.m_limits = evacuation_limits{};
    merge_evacuation(view, {7, {"z"}}, at_ms(0), at_ms(0));
    set_evacuation(m_scheduler, view);
    const auto batches = take_batches(m_scheduler, at_ms(100));
    REQUIRE(batches.size() == 1);
    CHECK(batches[0].m_batch.m_evacuation == evacuation_report{{7, {"z"}}, milliseconds(100)});
    m_last_batch["a"] = batches[0].m_batch.m_number;
    answer("a", 1, 101);
    submit(make_request("job", 1), 101);
    REQUIRE(take_orders(101).size() == 1);
    agent_status evacuated = make_status("a", 1, true);
    evacuated.m_state = agent_state::evacuated;
    on_agent_report(m_scheduler, evacuated,
                    {{{{"job", 0, 0, 0}, 1}, run_result::not_started, milliseconds(0), verdict::not_run}},
                    at_ms(105));
    add_agent("b", 106);
    tick(106, 110);
    const auto orders = take_orders(110);
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].first == "b");
}

} // namespace hawthornpin
