// An accepted connection as a KJ stream with an idle timeout.

#pragma once

#include "admission/request_age.h"
#include "core/glib_stream.h"
#include "core/reactor.h"
#include "http/input_scheduler.h"

#include <kj/async-io.h>

#include <functional>

namespace hawthornpin {

class server_stream final : public kj::AsyncIoStream {
public:
    // A read or write during which nothing is transferred for the idle timeout fails. The first input arrived
    // no earlier than `unread_since`.
    server_stream(file_descriptor socket, unsigned idle_timeout_seconds, instant unread_since,
                  input_scheduler& scheduler);
    ~server_stream() noexcept(false);
    KJ_DISALLOW_COPY(server_stream);

    // Number of connections that clients have open to the HTTP servers of this process.
    static int count_open();

    kj::Promise<std::size_t> read(void* buffer, std::size_t min_bytes, std::size_t max_bytes) override;
    kj::Promise<std::size_t> tryRead(void* buffer, std::size_t min_bytes, std::size_t max_bytes) override;
    kj::Promise<void> write(const void* buffer, std::size_t size) override;
    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
    kj::Promise<void> whenWriteDisconnected() override;
    void shutdownWrite() override;
    void abortRead() override;

    // Calls `action` once the peer has closed its side or the connection has failed, immediately if that has
    // already happened. An empty action removes the callback.
    void set_hangup_callback(std::function<void()> action) { m_watch.set_hangup_callback(std::move(action)); }

    // The age of the request that was read completely since the last call. A pipelined request counts as
    // received when the connection was last read from.
    request_age take_request_age(instant now);
    // Time since anything was last received from the peer's TCP; empty if the system does not tell.
    std::optional<milliseconds> silent_for() const;

    // Whether the peer has closed its side or the connection has failed.
    bool has_hung_up() const { return m_watch.has_hung_up(); }

    // Asks the peer's TCP to acknowledge that the connection still exists. Has an effect only if nothing was
    // received for a second.
    void probe_peer();
    void end_probe();

    // No later than the arrival of the first byte of a request that is incomplete; empty if there is none.
    std::optional<instant> request_began_at() const { return m_request_began_at; }
    // The same of the last byte that was read.
    instant last_read_since() const { return m_last_read_since; }

    // Whether reads are subject to the idle timeout, as they are at first.
    void set_idle_timeout_enabled(bool is_enabled) { m_is_idle_timeout_enabled = is_enabled; }

    // From now on each read waits for a turn of the connection.
    void read_in_turns() { m_quota.set_reads(0); }

    // Discards input that waits unread, up to the size of a receive buffer. Unread input at the end of a
    // connection makes TCP discard what was sent last.
    void discard_input();
    // Sends as much of a last message as the socket takes at once.
    void send_last(const std::string& text);

    // Shuts down both directions: the peer sees the end of the connection, and pending transfers fail.
    void shut_down();

private:
    kj::Promise<std::size_t> fill(kj::byte* buffer, std::size_t min_bytes, std::size_t max_bytes,
                                  std::size_t done);
    // Calls fill() when it is this connection's turn.
    kj::Promise<std::size_t> fill_in_turn(kj::byte* buffer, std::size_t min_bytes, std::size_t max_bytes,
                                          std::size_t done);
    kj::Promise<void> within_idle_timeout(kj::Promise<void> ready) const;

    file_descriptor m_socket;
    descriptor_watch m_watch;
    unsigned m_idle_timeout_ms;
    bool m_is_idle_timeout_enabled = true;
    input_scheduler& m_scheduler;
    iteration_quota m_quota;
    // Whether the next read has waited for its turn.
    bool m_has_turn = false;
    // Whether the last read emptied the socket; another one before the socket is ready again would find
    // nothing.
    bool m_is_drained = false;
    // No later than the arrival of the first byte that was read since the last request; empty if none was.
    std::optional<instant> m_request_began_at;
    // The same of the last byte that was read.
    instant m_last_read_since;
    // Segments with data that had been received when the last request was complete.
    std::uint32_t m_request_segments = 0;
};

} // namespace hawthornpin
