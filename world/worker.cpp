// Validation of workers.

#include "world/worker.h"

namespace hawthornpin {

namespace {

constexpr int max_slots = 4096;

} // namespace

worker_builder::worker_builder(agent_identity identity, std::string service)
{
    m_worker.m_identity = std::move(identity);
    m_worker.m_service = std::move(service);
}

worker_builder& worker_builder::set_place(place where)
{
    m_worker.m_place = std::move(where);
    return *this;
}

worker_builder& worker_builder::set_address(std::string address)
{
    m_worker.m_address = std::move(address);
    return *this;
}

worker_builder& worker_builder::set_capacity(int slots, int memory_mib, int accelerators)
{
    m_worker.m_slots = slots;
    m_worker.m_memory_mib = memory_mib;
    m_worker.m_accelerators = accelerators;
    return *this;
}

std::optional<worker> worker_builder::build(last_reason& why) const
{
    if (!is_valid_name(m_worker.m_identity.m_id) || !is_valid_name(m_worker.m_service)) {
        why.set("worker id or service name is not valid");
        return std::nullopt;
    }
    if (m_worker.m_slots < 1 || m_worker.m_slots > max_slots) {
        why.set("worker " + m_worker.m_identity.m_id + " must have 1 to 4096 slots");
        return std::nullopt;
    }
    if (m_worker.m_address.empty()) {
        why.set("worker " + m_worker.m_identity.m_id + " has no address");
        return std::nullopt;
    }
    return m_worker;
}

} // namespace hawthornpin
