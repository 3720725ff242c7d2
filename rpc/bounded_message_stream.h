// RPC messages on a connection, with bounds on what is read from the peer.

#pragma once

#include "core/glib_stream.h"
#include "rpc/incomplete_messages.h"

#include <capnp/message.h>
#include <capnp/serialize-async.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace hawthornpin {

// Largest message that is accepted. A job of 770 payloads has at most 16 MiB (the default of `limits.body`),
// a directory that entries share a few MiB, an order for a job of the platform 256 KiB.
inline constexpr std::size_t max_rpc_message_bytes = 20 * 1024 * 1024;

struct message_limits {
    // What a peer may send in total until it is authenticated. The handshake takes less than 700 bytes in
    // either direction.
    std::size_t m_max_unauthenticated_bytes = 4 * 1024;
    // Memory for the incomplete messages of all connections on the platform: two jobs of 770 payloads of the
    // default maximum (12 MiB each), or 100 orders for the platform's largest jobs, and a quarter of an
    // agent's memory. The allocator may keep about twice as much.
    std::size_t m_max_incomplete_bytes = 32 * 1024 * 1024;
};

// Reader options for both ends of a connection.
capnp::ReaderOptions rpc_reader_options();

// Reads messages into memory that grows with what has arrived, since Cap'n Proto's own reader allocates what
// the peer announces. A peer that exceeds a limit is disconnected.
class bounded_message_stream final : public capnp::MessageStream {
public:
    bounded_message_stream(glib_stream& stream, incomplete_messages& incomplete, message_limits limits);

    // Allows messages of any accepted size from now on.
    void set_authenticated() { m_is_authenticated = true; }

    // Called once when the peer has exceeded a limit or its message was evicted from the budget.
    void set_violation_callback(std::function<void()> action) { m_on_violation = std::move(action); }

    kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>>
    tryReadMessage(kj::ArrayPtr<kj::AutoCloseFd> fd_space, capnp::ReaderOptions options,
                   kj::ArrayPtr<capnp::word> scratch) override;
    kj::Promise<void> writeMessage(kj::ArrayPtr<const int> fds,
                                   kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments) override;
    kj::Promise<void>
    writeMessages(kj::ArrayPtr<kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>> messages) override;
    kj::Maybe<int> getSendBufferSize() override;
    kj::Promise<void> end() override;

private:
    // The message that is being read.
    struct incoming;

    kj::Promise<void> read_exactly(void* buffer, std::size_t bytes);
    kj::Promise<void> read_table(incoming& message);
    kj::Promise<void> read_content(incoming& message);
    void check_announced(const incoming& message);
    // Ends the connection to a peer that exceeded a limit.
    void disconnect_peer();

    glib_stream& m_stream;
    capnp::AsyncIoMessageStream m_messages;
    incomplete_messages& m_incomplete;
    message_limits m_limits;
    bool m_is_authenticated = false;
    bool m_has_violated = false;
    // What the peer has announced or sent before its authentication.
    std::uint64_t m_unauthenticated_bytes = 0;
    std::function<void()> m_on_violation;
};

} // namespace hawthornpin
