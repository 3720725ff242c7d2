// An accepted connection whose readiness comes from the reactor, so that a connection without input costs a
// turn of the loop nothing.

#pragma once

#include "core/reactor.h"
#include "rpc/glib_stream.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>

namespace hawthornpin {

// How a read or write that does not block ended.
enum class transfer_status {
    // Some bytes were transferred; a read of none means that the peer has ended its side.
    done,
    would_block,
    // Nothing could be transferred for as long as the connection may be idle.
    timed_out,
    failed,
};

struct transfer_result {
    transfer_status m_status = transfer_status::failed;
    std::size_t m_size = 0;
    // Of a failed one.
    int m_error_number = 0;
};

class server_socket {
public:
    server_socket(file_descriptor socket, unsigned idle_timeout_seconds);

    transfer_result read(void* buffer, std::size_t size);
    transfer_result write(const void* buffer, std::size_t size);

    // Whether a call would not block, as far as is known without making it. True once closed.
    bool is_readable() const { return !m_watch || m_watch->is_readable(); }
    bool is_writable() const { return !m_watch || m_watch->is_writable(); }

    // Begins a wait for input or for room; gives the microseconds of the steady clock at which it times out.
    std::int64_t start_read_timeout() { return start_timeout(m_read_deadline); }
    std::int64_t start_write_timeout() { return start_timeout(m_write_deadline); }

    // Calls `action` once the peer has closed its side or the connection has failed, at once if it has
    // already. An empty action ends that.
    void set_hangup_callback(std::function<void()> action);

    // The peer sees the end of the connection; what is under way fails.
    void shut_down();
    void close();

private:
    using deadline = std::optional<std::int64_t>;

    std::int64_t start_timeout(deadline& expires_at) const;
    // The result of a call that could not be made or would have blocked.
    static transfer_result would_block(const deadline& expires_at);

    file_descriptor m_socket;
    std::int64_t m_idle_timeout_us;
    // Empty once closed.
    std::optional<descriptor_watch> m_watch;
    // Set while a wait lasts: until something was transferred.
    deadline m_read_deadline;
    deadline m_write_deadline;
};

} // namespace hawthornpin
