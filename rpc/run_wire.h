// Translation of messages about runs between the wire schema and the types of the decision code.

#pragma once

#include "rpc/hawthornpin.capnp.h"
#include "world/run_messages.h"

#include <optional>
#include <vector>

namespace hawthornpin {

void write_wire(wire::Resources::Builder to, const resources& from);
resources read_wire(wire::Resources::Reader from);

// Writes nothing without a report; a receiver then reads none.
void write_wire(wire::Evacuation::Builder to, const std::optional<evacuation_report>& from);
std::optional<evacuation_report> read_wire(wire::Evacuation::Reader from);

void write_wire(wire::OrderBatch::Builder to, const order_batch& from);
order_batch read_wire(wire::OrderBatch::Reader from);

void write_wire(wire::AgentStatus::Builder to, const agent_status& from);
agent_status read_wire(wire::AgentStatus::Reader from);

void write_wire(capnp::List<wire::RunOutcome>::Builder to, const std::vector<run_outcome>& from);
std::vector<run_outcome> read_wire(capnp::List<wire::RunOutcome>::Reader from);

void write_wire(capnp::List<capnp::Text>::Builder to, const std::vector<std::string>& from);
std::vector<std::string> read_wire(capnp::List<capnp::Text>::Reader from);

} // namespace hawthornpin
