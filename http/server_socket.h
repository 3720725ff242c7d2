// An accepted connection whose readiness comes from the reactor, so that connections without input add no
// cost to an iteration of the event loop.

#pragma once

#include "core/glib_stream.h"
#include "core/reactor.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>

namespace hawthornpin {

// Result of a non-blocking read or write.
enum class transfer_status {
    // Bytes were transferred; a read of none means that the peer has closed its side.
    done,
    would_block,
    // Nothing could be transferred within the idle timeout.
    timed_out,
    failed,
};

struct transfer_result {
    transfer_status m_status = transfer_status::failed;
    std::size_t m_size = 0;
    // The errno of a failed transfer.
    int m_error_number = 0;
};

class server_socket {
public:
    server_socket(file_descriptor socket, unsigned idle_timeout_seconds);
    ~server_socket();
    server_socket(const server_socket&) = delete;
    server_socket& operator=(const server_socket&) = delete;

    // Number of connections that clients have open to the HTTP servers of this process.
    static int count_open();

    transfer_result read(void* buffer, std::size_t size);
    transfer_result write(const void* buffer, std::size_t size);

    // Whether a call is expected not to block; makes no system call. True once closed.
    bool is_readable() const { return !m_watch || m_watch->is_readable(); }
    bool is_writable() const { return !m_watch || m_watch->is_writable(); }

    // Starts the idle timeout of a wait for input or for buffer space. Returns when it expires, in
    // microseconds of the monotonic clock.
    std::int64_t start_read_timeout() { return start_timeout(m_read_deadline); }
    std::int64_t start_write_timeout() { return start_timeout(m_write_deadline); }

    // Calls `action` once the peer has closed its side or the connection has failed, immediately if that has
    // already happened or close() was called. An empty action removes the callback.
    void set_hangup_callback(std::function<void()> action);

    // Asks the peer's TCP to acknowledge that the connection still exists. Has an effect only if nothing was
    // received for a second.
    void probe_peer();
    // Ends the probe. Whether the peer has been heard within `span`; true if the system does not tell.
    bool end_probe(milliseconds span);

    // Shuts down both directions: the peer sees the end of the connection, and pending transfers fail.
    void shut_down();
    void close();

private:
    using deadline = std::optional<std::int64_t>;

    std::int64_t start_timeout(deadline& expires_at) const;
    // Result of a call that was not made or would have blocked; `timed_out` if the deadline has passed.
    static transfer_result would_block(const deadline& expires_at);

    file_descriptor m_socket;
    std::int64_t m_idle_timeout_us;
    // Empty once closed.
    std::optional<descriptor_watch> m_watch;
    // When the current waits time out; empty once something was transferred.
    deadline m_read_deadline;
    deadline m_write_deadline;
};

} // namespace hawthornpin
