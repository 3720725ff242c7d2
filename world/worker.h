// A worker: the machine that a target runs on, as announced by its agent.

#pragma once

#include "core/ids.h"
#include "core/last_reason.h"
#include "world/availability_zone.h"
#include "world/contract.h"

#include <optional>
#include <string>

namespace hawthornpin {

// Maximum total number of connections of a worker: target, entries and peers together.
inline constexpr int max_connections_per_worker = 64;

// Immutable; made by worker_builder.
class worker {
public:
    const agent_identity& identity() const { return m_identity; }
    const std::string& service() const { return m_service; }
    const place& where() const { return m_place; }
    // RPC address of the agent, as IP:port.
    const std::string& address() const { return m_address; }
    // Number of tasks that the target runs concurrently.
    int slots() const { return m_slots; }
    int memory_mib() const { return m_memory_mib; }
    int accelerators() const { return m_accelerators; }

    friend bool operator==(const worker&, const worker&) = default;

private:
    friend class worker_builder;
    agent_identity m_identity;
    std::string m_service;
    place m_place;
    std::string m_address;
    int m_slots = 0;
    int m_memory_mib = 0;
    int m_accelerators = 0;
};

// Whether one task with these needs could ever run on the worker.
inline bool fits(const worker& candidate, const task_needs& needs)
{
    return needs.m_memory_mib <= candidate.memory_mib() && needs.m_accelerators <= candidate.accelerators();
}

// Collects the parts of a worker; build() validates them.
class worker_builder {
public:
    worker_builder(agent_identity identity, std::string service);
    worker_builder& set_place(place where);
    worker_builder& set_address(std::string address);
    worker_builder& set_capacity(int slots, int memory_mib, int accelerators);

    std::optional<worker> build(last_reason& why) const;

private:
    worker m_worker;
};

} // namespace hawthornpin
