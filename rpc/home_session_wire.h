// Translation of the messages between entries and homes: forwarded jobs, entry heartbeats and home statuses.

#pragma once

#include "config/service_directory.h"
#include "dispatch/job_scheduler.h"
#include "rpc/hawthornpin.capnp.h"
#include "world/home_session.h"

#include <optional>

namespace hawthornpin {

void write_wire(wire::WorkRequest::Builder to, const work_request& from);
work_request read_wire(wire::WorkRequest::Reader from);

// Includes only what a home needs; a queue's addresses are not sent.
void write_wire(wire::QueueContract::Builder to, const queue_contract& from);
queue_contract read_wire(wire::QueueContract::Reader from);

void write_wire(wire::EntryPresence::Builder to, const entry_heartbeat& from);
entry_heartbeat read_wire(wire::EntryPresence::Reader from);

void write_wire(wire::HomeStatus::Builder to, const home_status& from);
home_status read_wire(wire::HomeStatus::Reader from);

void write_wire(wire::JobEnd::Builder to, const job_answer_event& from);
// Empty if the end or the reason is unknown, as those of a peer with a newer version may be.
std::optional<job_answer_event> read_wire(wire::JobEnd::Reader from, const std::string& job);

} // namespace hawthornpin
