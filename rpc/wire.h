// Translation between the wire schema and the types of the decision code.

#pragma once

#include "config/config_state.h"
#include "dispatch/messages.h"
#include "rpc/hawthornpin.capnp.h"

namespace hawthornpin {

void write_wire(wire::AgentIdentity::Builder to, const agent_identity& from);
void write_wire(wire::Ticket::Builder to, const ticket& from);
void write_wire(wire::GrantId::Builder to, const grant_id& from);
void write_wire(wire::Outcome::Builder to, const outcome& from);
void write_wire(wire::Load::Builder to, const worker_load& from);
void write_wire(wire::Submission::Builder to, const submission& from);
void write_wire(wire::JobAnswer::Builder to, const job_answer& from);
void write_wire(wire::Grant::Builder to, const grant& from, instant now);
void write_wire(wire::TaskEnd::Builder to, const task_end& from);
void write_wire(wire::Announcement::Builder to, const announcement& from, milliseconds age);
void write_wire(wire::Heartbeat::Builder to, const heartbeat& from, milliseconds age);
void write_wire(wire::EntryInfo::Builder to, const entry_member& from, milliseconds age);
void write_wire(wire::ConfigUpdate::Builder to, log_offset version,
                const std::map<std::string, published_file>& files);

agent_identity read_wire(wire::AgentIdentity::Reader from);
ticket read_wire(wire::Ticket::Reader from);
grant_id read_wire(wire::GrantId::Reader from);
outcome read_wire(wire::Outcome::Reader from);
worker_load read_wire(wire::Load::Reader from);
submission read_wire(wire::Submission::Reader from);
job_answer read_wire(wire::JobAnswer::Reader from);
grant read_wire(wire::Grant::Reader from, instant now);
task_end read_wire(wire::TaskEnd::Reader from);
// Empty if the announcement does not describe a valid worker.
std::optional<announcement> read_wire(wire::Announcement::Reader from);
heartbeat read_wire(wire::Heartbeat::Reader from);
std::map<std::string, published_file> read_wire(wire::ConfigUpdate::Reader from);

} // namespace hawthornpin
