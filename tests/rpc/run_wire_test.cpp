// Tests of messages about runs on the wire.

#include "rpc/home_session_wire.h"
#include "rpc/run_wire.h"

#include <capnp/message.h>
#include <doctest/doctest.h>

namespace hawthornpin {

namespace {

run_order make_order(std::uint32_t step, std::uint32_t index)
{
    run_order order;
    order.m_run = {{"5c0e7a21d94b36f8", 0, step, index}, 3};
    order.m_specification = "text";
    order.m_needs = {1'600, 64, 1};
    order.m_required_label = step == 0 ? "a" : "";
    order.m_estimate = milliseconds(60);
    order.m_start_within = milliseconds(20);
    order.m_slack = milliseconds(-5);
    return order;
}

} // namespace

// Guards against fields of an order that do not reach the agent, which decides by them.
TEST_CASE("a batch of orders is the same after it was sent")
{
    order_batch batch;
    batch.m_home = {"entry-1", 7};
    batch.m_home_address = "127.0.0.1:7720";
    batch.m_agent_incarnation = 8;
    batch.m_clock_seen = 9;
    batch.m_number = 10;
    batch.m_starts = {make_order(0, 0), make_order(0, 1), make_order(1, 0)};
    batch.m_stops = {make_order(0, 2).m_run};
    batch.m_entries = {"127.0.0.1:7721"};
    batch.m_evacuation = evacuation_report{{11, {"z1", "z2"}}, milliseconds(12)};
    capnp::MallocMessageBuilder message;
    write_wire(message.initRoot<wire::OrderBatch>(), batch);
    CHECK(read_wire(message.getRoot<wire::OrderBatch>().asReader()) == batch);
}

// Guards against fields of a status that do not reach the home, which decides by them.
TEST_CASE("an agent's status is the same after it was sent")
{
    agent_status status;
    status.m_identity = {"side-1", 7};
    status.m_address = "127.0.0.1:7720";
    status.m_zone = "z1";
    status.m_service = "svc";
    status.m_labels = {"a", "r1-1"};
    status.m_state = agent_state::serving;
    status.m_is_reconciled = true;
    status.m_capacity = {16'000, 64, 1};
    status.m_free = {-1'600, 32, 0};
    status.m_clock = 8;
    status.m_receiver = {"entry-1", 9};
    status.m_orders_seen = 10;
    status.m_sequence = 11;
    capnp::MallocMessageBuilder message;
    write_wire(message.initRoot<wire::AgentStatus>(), status);
    CHECK(read_wire(message.getRoot<wire::AgentStatus>().asReader()) == status);
}

// Guards against taking a message of an older build, or of a process without a state, for one that tells that
// no zone is evacuated.
TEST_CASE("a batch without a state of the evacuated zones is read as one that tells none")
{
    order_batch batch;
    batch.m_home = {"entry-1", 7};
    capnp::MallocMessageBuilder message;
    write_wire(message.initRoot<wire::OrderBatch>(), batch);
    CHECK_FALSE(read_wire(message.getRoot<wire::OrderBatch>().asReader()).m_evacuation);
    capnp::MallocMessageBuilder heartbeat;
    write_wire(heartbeat.initRoot<wire::EntryPresence>(), entry_heartbeat());
    CHECK_FALSE(read_wire(heartbeat.getRoot<wire::EntryPresence>().asReader()).m_evacuation);
}

TEST_CASE("an entry's heartbeat is the same after it was sent")
{
    entry_heartbeat sent{{"entry-1", 7}, 8, 9, evacuation_report{{11, {}}, milliseconds(0)}};
    capnp::MallocMessageBuilder message;
    write_wire(message.initRoot<wire::EntryPresence>(), sent);
    CHECK(read_wire(message.getRoot<wire::EntryPresence>().asReader()) == sent);
}

// Guards against orders to an agent whose state the receiver does not know.
TEST_CASE("an agent state of a newer version is read as preparing")
{
    capnp::MallocMessageBuilder message;
    auto status = message.initRoot<wire::AgentStatus>();
    status.setState(agent_state_count);
    CHECK(read_wire(status.asReader()).m_state == agent_state::preparing);
}

} // namespace hawthornpin
