// Tests of placement by estimated load and of quarantine.

#include "routing/placement.h"

#include <doctest/doctest.h>

namespace hawthornpin {

namespace {

load_view make_view(int workers)
{
    load_view view;
    for (int index = 0; index < workers; ++index) {
        last_reason why;
        const std::string id = "agent-" + std::to_string(index);
        const auto built = worker_builder({id, incarnation_id{1}}, "circles")
                               .set_place({"r", "zone-" + std::to_string(index % 3), "rack"})
                               .set_address("127.0.0.1:1")
                               .set_capacity(8, 1024, 0)
                               .build(why);
        worker_view known;
        known.m_worker = *built;
        view.emplace(id, known);
    }
    return view;
}

} // namespace

TEST_CASE("the least loaded worker is chosen, and a near one at about equal load")
{
    load_view view = make_view(6);
    placement_state state;
    state.m_own_place = {"r", "zone-1", "rack"};
    random_source random(1);
    for (auto& [id, worker] : view)
        worker.m_load.m_running = 4;
    for (int round = 0; round < 20; ++round) {
        const auto chosen = choose_home(state, view, {}, {}, random);
        CHECK((chosen == "agent-1" || chosen == "agent-4"));
    }
    view.at("agent-0").m_load.m_running = 0;
    CHECK(choose_home(state, view, {}, {}, random) == "agent-0");
}

TEST_CASE("a worker estimated to be full gets no grant until its report has counted the tasks sent")
{
    load_view view = make_view(1);
    placement_state state;
    random_source random(1);
    const agent_identity worker{"agent-0", incarnation_id{1}};
    for (int task = 0; task < 8; ++task) {
        REQUIRE(choose_worker(state, view, "self", {}, {}, random));
        record_sent(view, worker, 1);
    }
    CHECK_FALSE(choose_worker(state, view, "self", {}, {}, random));
    // A report that has counted only five of the eight tasks leaves three to be added to the estimate.
    worker_load load;
    load.m_running = 5;
    record_report(view, worker, {load, 5}, {});
    CHECK_FALSE(choose_worker(state, view, "self", {}, {}, random));
    load.m_running = 7;
    record_report(view, worker, {load, 8}, {});
    CHECK(choose_worker(state, view, "self", {}, {}, random));
}

TEST_CASE("a job that fits no worker has no home")
{
    load_view view = make_view(3);
    placement_state state;
    random_source random(1);
    CHECK_FALSE(choose_home(state, view, {2048, 0}, {}, random));
    CHECK_FALSE(can_ever_fit(view, {0, 1}));
    CHECK(can_ever_fit(view, {1024, 0}));
}

TEST_CASE("a worker that fails all its tasks gets only probes until its tasks succeed again")
{
    load_view view = make_view(11);
    placement_state state;
    random_source random(1);
    failure_rate rate;
    for (int task = 0; task < 5; ++task)
        record_task_end(rate, true);
    view.at("agent-3").m_load.m_failures_per_mille = to_per_mille(rate);
    refresh_quarantine(state, view);
    CHECK(state.m_quarantined == std::set<std::string>{"agent-3"});
    int chosen = 0;
    instant now{milliseconds(100'000)};
    constexpr int seconds = 60;
    for (int tenth = 0; tenth < seconds * 10; ++tenth) {
        now += milliseconds(100);
        // The failing worker reports no load, so it would be chosen if it were not quarantined.
        for (auto& [id, worker] : view)
            worker.m_load.m_running = id == "agent-3" ? 0 : 6;
        chosen += choose_home(state, view, {}, now, random) == "agent-3" ? 1 : 0;
    }
    CHECK(chosen <= seconds / 5 + 1);
    for (int task = 0; task < 12; ++task)
        record_task_end(rate, false);
    view.at("agent-3").m_load.m_failures_per_mille = to_per_mille(rate);
    refresh_quarantine(state, view);
    CHECK(state.m_quarantined.empty());
}

TEST_CASE("at most a third of a service is quarantined, and none when all fail at the same rate")
{
    load_view view = make_view(11);
    for (int index = 0; index < 5; ++index)
        view.at("agent-" + std::to_string(index)).m_load.m_failures_per_mille = 900 + index;
    CHECK(find_quarantined(view, {}) == std::set<std::string>{"agent-2", "agent-3", "agent-4"});
    for (auto& [id, worker] : view)
        worker.m_load.m_failures_per_mille = 600;
    CHECK(find_quarantined(view, {}).empty());
}

} // namespace hawthornpin
