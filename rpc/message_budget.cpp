// Accounting of incomplete messages.

#include "rpc/message_budget.h"

namespace hawthornpin {

message_budget::message_id message_budget::begin()
{
    m_messages.emplace(++m_last_message, 0);
    return m_last_message;
}

std::vector<message_budget::message_id> message_budget::resize(message_id message, std::size_t bytes)
{
    std::vector<message_id> evicted;
    const auto found = m_messages.find(message);
    if (found == m_messages.end())
        return evicted;
    m_bytes = m_bytes - found->second + bytes;
    found->second = bytes;
    while (m_bytes > m_max_bytes) {
        evicted.push_back(m_messages.begin()->first);
        end(evicted.back());
    }
    return evicted;
}

void message_budget::end(message_id message)
{
    const auto found = m_messages.find(message);
    if (found == m_messages.end())
        return;
    m_bytes -= found->second;
    m_messages.erase(found);
}

} // namespace hawthornpin
