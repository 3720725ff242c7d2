// Tests of the agent table: choice of an agent, quarantine, and late or outdated statuses.

#include "routing/agent_table.h"

#include <doctest/doctest.h>

namespace hawthornpin {

namespace {

instant at_ms(long long value)
{
    return instant(milliseconds(1'000'000 + value));
}

class table_fixture {
public:
    agent_view& add(const std::string& id, std::int64_t free_milli = 16'000, const std::string& zone = "z")
    {
        agent_status status;
        status.m_identity = {id, 1};
        status.m_service = "svc";
        status.m_zone = zone;
        status.m_state = agent_state::serving;
        status.m_is_reconciled = true;
        status.m_capacity = {16'000, 32'768, 0};
        status.m_free = {free_milli, 32'768, 0};
        status.m_clock = 1;
        status.m_sequence = 1;
        record_status(m_table, status, at_ms(0));
        agent_view& agent = m_table.m_agents.at(id);
        agent.m_is_reconciled = true;
        record_clock(agent, status, at_ms(0));
        return agent;
    }

    std::string choose(std::int64_t cpu_milli, long long now = 1)
    {
        placement_request request;
        request.m_service = "svc";
        request.m_needs = {cpu_milli, 64, 0};
        const agent_view* agent = choose_agent(m_table, request, at_ms(now));
        return agent == nullptr ? "" : agent->m_status.m_identity.m_id;
    }

    agent_table m_table;
};

} // namespace

TEST_CASE_FIXTURE(table_fixture,
                  "a worker with room is chosen, and none if the task would have to wait there")
{
    m_table.m_zone = "z";
    add("full", 0);
    add("free", 4'000, "y");
    CHECK(choose(2'000) == "free");
    // A task that waited at a worker would run after what other homes order there.
    CHECK(choose(5'000).empty());
    CHECK(choose(7'000).empty());
}

TEST_CASE_FIXTURE(table_fixture, "a faster worker is preferred to a slow one")
{
    m_table.m_zone = "z";
    agent_view& slow = add("slow");
    add("fast", 8'000);
    for (int run = 0; run < 10; ++run)
        record_duration(slow, milliseconds(400), milliseconds(100));
    CHECK(choose(1'000) == "fast");
}

TEST_CASE_FIXTURE(table_fixture, "an agent that has not answered within the suspicion time gets no orders")
{
    add("a");
    CHECK(choose(1'000, m_table.m_limits.m_suspect_after.count()) == "a");
    CHECK(choose(1'000, m_table.m_limits.m_suspect_after.count() + 1).empty());
}

TEST_CASE_FIXTURE(table_fixture,
                  "a worker whose runs fail is quarantined, then probed with one run at a time")
{
    agent_view& bad = add("bad");
    add("good");
    record_run_failure(m_table, bad, at_ms(1));
    record_run_failure(m_table, bad, at_ms(2));
    CHECK_FALSE(is_usable(m_table, bad, at_ms(3)));
    bad.m_clock_seen_at = at_ms(600);
    CHECK(is_usable(m_table, bad, at_ms(600)));
    bad.m_runs = 1;
    CHECK_FALSE(is_usable(m_table, bad, at_ms(600)));
    SUBCASE("a success ends the probation")
    {
        record_run_success(bad);
        CHECK(is_usable(m_table, bad, at_ms(601)));
    }
    SUBCASE("a failure doubles the quarantine")
    {
        record_run_failure(m_table, bad, at_ms(601));
        CHECK(bad.m_quarantine == 2 * m_table.m_limits.m_first_quarantine);
    }
}

TEST_CASE_FIXTURE(table_fixture, "no more than a third of a service is quarantined")
{
    for (const char* id : {"a", "b", "c", "d", "e", "f"})
        add(id);
    for (auto& [id, agent] : m_table.m_agents) {
        for (int run = 0; run < 5; ++run)
            record_run_failure(m_table, agent, at_ms(1));
    }
    int usable = 0;
    for (const auto& [id, agent] : m_table.m_agents)
        usable += is_usable(m_table, agent, at_ms(2)) ? 1 : 0;
    CHECK(usable == 4);
}

TEST_CASE_FIXTURE(table_fixture, "a late status and one of an earlier incarnation change nothing")
{
    agent_view& agent = add("a");
    agent_status late = agent.m_status;
    late.m_sequence = 0;
    late.m_free = {};
    record_status(m_table, late, at_ms(5));
    CHECK(m_table.m_agents.at("a").m_status.m_free.m_cpu_milli == 16'000);
    agent_status next = agent.m_status;
    next.m_identity.m_incarnation = 2;
    record_status(m_table, next, at_ms(6));
    agent_status earlier = next;
    earlier.m_identity.m_incarnation = 1;
    earlier.m_sequence = 99;
    record_status(m_table, earlier, at_ms(7));
    CHECK(m_table.m_agents.at("a").m_status.m_identity.m_incarnation == 2);
    agent_status unknown = next;
    unknown.m_identity.m_incarnation = 3;
    unknown.m_clock = next.m_clock - 1;
    record_status(m_table, unknown, at_ms(8));
    CHECK(m_table.m_agents.at("a").m_status.m_identity.m_incarnation == 2);
    unknown.m_clock = next.m_clock + 1;
    record_status(m_table, unknown, at_ms(9));
    CHECK(m_table.m_agents.at("a").m_status.m_identity.m_incarnation == 3);
}

TEST_CASE_FIXTURE(table_fixture,
                  "an agent whose machine restarted is known again once its old runs have ended")
{
    add("a");
    agent_status restarted = m_table.m_agents.at("a").m_status;
    m_table.m_agents.at("a").m_status.m_clock = 1'000'000;
    restarted.m_identity.m_incarnation = 2;
    restarted.m_clock = 1'000;
    const long long lost_after = m_table.m_limits.m_lost_after.count();
    record_status(m_table, restarted, at_ms(lost_after));
    CHECK(m_table.m_agents.at("a").m_status.m_identity.m_incarnation == 1);
    record_status(m_table, restarted, at_ms(lost_after + 1));
    CHECK(m_table.m_agents.at("a").m_status.m_identity.m_incarnation == 2);
}

// Guards against orders to agents of an evacuated zone that have not noticed it yet, and against admitting
// jobs for their capacity.
TEST_CASE_FIXTURE(table_fixture, "agents of evacuated zones are neither usable nor capacity")
{
    add("first", 16'000, "a");
    add("second", 4'000, "b");
    add("third", 4'000, "c");
    m_table.m_evacuated_zones = {"a", "c"};
    CHECK(choose(4'000) == "second");
    CHECK(choose(5'000).empty());
    CHECK_FALSE(is_usable(m_table, m_table.m_agents.at("first"), at_ms(1)));
    CHECK_FALSE(has_room(m_table, "svc", {5'000, 64, 0}, at_ms(1)));
    CHECK(measure_service(m_table, "svc", at_ms(1)).m_capacity_milli == 16'000);
    // Whether a job could ever run does not change: an evacuation ends.
    placement_request request;
    request.m_service = "svc";
    request.m_needs = {16'000, 64, 0};
    m_table.m_evacuated_zones = {"a", "b", "c"};
    CHECK(check_feasibility(m_table, request, at_ms(1)) == feasibility::feasible);
    m_table.m_evacuated_zones.clear();
    CHECK(choose(5'000) == "first");
}

} // namespace hawthornpin
