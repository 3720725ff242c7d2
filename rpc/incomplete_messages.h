// The incomplete messages of all connections that share a budget.

#pragma once

#include "rpc/message_budget.h"

#include <functional>
#include <map>

namespace hawthornpin {

class incomplete_messages {
public:
    explicit incomplete_messages(std::size_t max_bytes) : m_budget(max_bytes) {}

    // One message, for as long as it is incomplete.
    class entry {
    public:
        // `on_evicted` is called when the message is evicted.
        entry(incomplete_messages& owner, std::function<void()> on_evicted);
        ~entry();
        entry(const entry&) = delete;
        entry& operator=(const entry&) = delete;

        // Sets the memory held for the message. Evicts messages if the budget is exceeded.
        void resize(std::size_t bytes) { m_owner.resize(m_id, bytes); }

    private:
        incomplete_messages& m_owner;
        message_budget::message_id m_id;
    };

    std::size_t bytes() const { return m_budget.bytes(); }

private:
    void resize(message_budget::message_id message, std::size_t bytes);

    message_budget m_budget;
    std::map<message_budget::message_id, std::function<void()>> m_on_evicted;
};

} // namespace hawthornpin
