// Registration and eviction of incomplete messages.

#include "rpc/incomplete_messages.h"

#include "core/metrics.h"

namespace hawthornpin {

incomplete_messages::entry::entry(incomplete_messages& owner, std::function<void()> on_evicted)
    : m_owner(owner), m_id(owner.m_budget.begin())
{
    m_owner.m_on_evicted.emplace(m_id, std::move(on_evicted));
}

incomplete_messages::entry::~entry()
{
    m_owner.m_budget.end(m_id);
    m_owner.m_on_evicted.erase(m_id);
}

void incomplete_messages::resize(message_budget::message_id message, std::size_t bytes)
{
    for (const message_budget::message_id evicted : m_budget.resize(message, bytes)) {
        count_in_process(counter::rpc_incomplete_messages_evicted);
        const auto action = m_on_evicted.at(evicted);
        action();
    }
}

} // namespace hawthornpin
