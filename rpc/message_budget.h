// Bound on the memory for RPC messages that have not arrived completely.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace hawthornpin {

// The memory held for incomplete messages. When it exceeds the bound, the messages that have been incomplete
// longest are evicted: messages of peers that transfer without stalling are complete within milliseconds, so
// a peer that sends a byte now and then gains nothing.
class message_budget {
public:
    // Ascending in the order in which the messages began.
    using message_id = std::uint64_t;

    explicit message_budget(std::size_t max_bytes) : m_max_bytes(max_bytes) {}

    message_id begin();
    // Sets the memory held for a message. Returns the evicted messages, which may include this one.
    // They are no longer counted.
    std::vector<message_id> resize(message_id message, std::size_t bytes);
    // The message is complete or was given up. Without effect for one that was evicted.
    void end(message_id message);

    std::size_t bytes() const { return m_bytes; }

private:
    std::size_t m_max_bytes;
    std::size_t m_bytes = 0;
    message_id m_last_message = 0;
    std::map<message_id, std::size_t> m_messages;
};

} // namespace hawthornpin
