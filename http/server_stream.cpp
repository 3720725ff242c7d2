// Socket calls of an accepted connection.

#include "http/server_stream.h"

#include "admission/input_limits.h"
#include "core/event_loop.h"

#include <kj/debug.h>

#include <algorithm>
#include <cerrno>
#include <cstddef>
#include <cstring>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <utility>

namespace hawthornpin {

namespace {

int open_streams = 0;

// Reads of a connection in one iteration of the event loop. A body of the platform's largest size that has
// arrived needs as many.
constexpr unsigned reads_per_iteration = 8;

bool would_block()
{
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

// What the system tells of a connection; empty if it does not tell the times.
std::optional<tcp_info> read_tcp_info(int socket)
{
    tcp_info info{};
    socklen_t length = sizeof(info);
    constexpr std::size_t needed = offsetof(tcp_info, tcpi_last_ack_recv) + sizeof(info.tcpi_last_ack_recv);
    if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &length) != 0 || length < needed)
        return std::nullopt;
    return info;
}

milliseconds time_since_heard(const tcp_info& info)
{
    return milliseconds(std::min(info.tcpi_last_ack_recv, info.tcpi_last_data_recv));
}

kj::Exception make_disconnected_error(const char* what)
{
    return KJ_EXCEPTION(DISCONNECTED, what, std::strerror(errno));
}

} // namespace

server_stream::server_stream(file_descriptor socket, unsigned idle_timeout_seconds, instant unread_since,
                             input_scheduler& scheduler)
    : m_socket(std::move(socket)), m_watch(m_socket.number()),
      m_idle_timeout_ms(idle_timeout_seconds * 1'000), m_scheduler(scheduler), m_quota(reads_per_iteration),
      m_last_read_since(unread_since)
{
    m_watch.set_unread_since(unread_since);
    const int enabled = 1;
    ::setsockopt(m_socket.number(), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    ++open_streams;
}

server_stream::~server_stream() noexcept(false)
{
    --open_streams;
}

int server_stream::count_open()
{
    return open_streams;
}

kj::Promise<void> server_stream::within_idle_timeout(kj::Promise<void> ready) const
{
    return ready.exclusiveJoin(after_delay(m_idle_timeout_ms).then([]() -> kj::Promise<void> {
        return KJ_EXCEPTION(DISCONNECTED, "the connection was idle for too long");
    }));
}

kj::Promise<std::size_t> server_stream::read(void* buffer, std::size_t min_bytes, std::size_t max_bytes)
{
    return tryRead(buffer, min_bytes, max_bytes).then([min_bytes](std::size_t count) {
        if (count < min_bytes)
            kj::throwRecoverableException(
                KJ_EXCEPTION(DISCONNECTED, "the connection ended inside a message"));
        return count;
    });
}

kj::Promise<std::size_t> server_stream::tryRead(void* buffer, std::size_t min_bytes, std::size_t max_bytes)
{
    return fill(static_cast<kj::byte*>(buffer), min_bytes, max_bytes, 0);
}

kj::Promise<std::size_t> server_stream::fill(kj::byte* buffer, std::size_t min_bytes, std::size_t max_bytes,
                                             std::size_t done)
{
    while (done < min_bytes && !std::exchange(m_is_drained, false)) {
        if (!std::exchange(m_has_turn, false) && !m_quota.take())
            return fill_in_turn(buffer, min_bytes, max_bytes, done);
        const std::size_t room = max_bytes - done;
        const instant unread_since = m_watch.unread_since();
        const ssize_t received = ::recv(m_socket.number(), buffer + done, room, MSG_DONTWAIT);
        if (received == 0)
            return done;
        if (received < 0 && !would_block())
            return make_disconnected_error("read failed");
        if (received < 0) {
            m_watch.mark_drained();
            break;
        }
        done += static_cast<std::size_t>(received);
        m_last_read_since = unread_since;
        m_request_began_at = m_request_began_at.value_or(unread_since);
        // After a hang-up no later event reports the end of the stream, so it must be read.
        m_is_drained = static_cast<std::size_t>(received) < room && !m_watch.has_hung_up();
        if (m_is_drained)
            m_watch.mark_drained();
    }
    if (done >= min_bytes)
        return done;
    auto ready = m_watch.when_readable();
    if (m_is_idle_timeout_enabled)
        ready = within_idle_timeout(kj::mv(ready));
    return ready.then(
        [this, buffer, min_bytes, max_bytes, done] { return fill(buffer, min_bytes, max_bytes, done); });
}

kj::Promise<std::size_t> server_stream::fill_in_turn(kj::byte* buffer, std::size_t min_bytes,
                                                     std::size_t max_bytes, std::size_t done)
{
    return m_scheduler.next_turn().then([this, buffer, min_bytes, max_bytes, done] {
        m_has_turn = true;
        return fill(buffer, min_bytes, max_bytes, done);
    });
}

kj::Promise<void> server_stream::write(const void* buffer, std::size_t size)
{
    const ssize_t sent = ::send(m_socket.number(), buffer, size, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent < 0 && !would_block())
        return make_disconnected_error("write failed");
    const auto done = static_cast<std::size_t>(std::max<ssize_t>(sent, 0));
    if (done == size)
        return kj::READY_NOW;
    const auto* rest = static_cast<const kj::byte*>(buffer) + done;
    return within_idle_timeout(m_watch.when_writable()).then([this, rest, left = size - done] {
        return write(rest, left);
    });
}

kj::Promise<void> server_stream::write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces)
{
    if (pieces.size() == 0)
        return kj::READY_NOW;
    return write(pieces.front().begin(), pieces.front().size()).then([this, pieces] {
        return write(pieces.slice(1, pieces.size()));
    });
}

kj::Promise<void> server_stream::whenWriteDisconnected()
{
    return kj::NEVER_DONE;
}

void server_stream::shutdownWrite()
{
    ::shutdown(m_socket.number(), SHUT_WR);
}

void server_stream::abortRead()
{
    ::shutdown(m_socket.number(), SHUT_RD);
}

void server_stream::probe_peer()
{
    // Once keep-alive is on, a connection that was idle for longer than this is probed at once.
    constexpr int idle_seconds = 1;
    const int enabled = 1;
    ::setsockopt(m_socket.number(), SOL_SOCKET, SO_KEEPALIVE, &enabled, sizeof(enabled));
    ::setsockopt(m_socket.number(), IPPROTO_TCP, TCP_KEEPIDLE, &idle_seconds, sizeof(idle_seconds));
}

void server_stream::end_probe()
{
    const int disabled = 0;
    ::setsockopt(m_socket.number(), SOL_SOCKET, SO_KEEPALIVE, &disabled, sizeof(disabled));
}

std::optional<milliseconds> server_stream::silent_for() const
{
    const auto info = read_tcp_info(m_socket.number());
    if (!info)
        return std::nullopt;
    return time_since_heard(*info);
}

request_age server_stream::take_request_age(instant now)
{
    // Resolution of the times in tcp_info, which are rounded down.
    constexpr milliseconds tcp_clock_tick{10};
    const instant began_at = std::exchange(m_request_began_at, std::nullopt).value_or(m_last_read_since);
    const auto info = read_tcp_info(m_socket.number());
    const std::uint32_t received = info ? info->tcpi_data_segs_in : 0;
    const std::uint32_t segments = received - std::exchange(m_request_segments, received);
    // The times in tcp_info do not count suspensions of the machine.
    const bool was_suspended = began_at <= reactor::instance().last_resume();
    if (!info || was_suspended)
        return {began_at, began_at};
    request_age age{began_at, now - time_since_heard(*info)};
    // The time of the last segment is that of the whole request if there was no other.
    if (segments == 1)
        age.m_received_at =
            std::max(began_at, now - milliseconds(info->tcpi_last_data_recv) - tcp_clock_tick);
    return age;
}

void server_stream::discard_input()
{
    ::recv(m_socket.number(), nullptr, 2 * socket_buffer_bytes, MSG_TRUNC | MSG_DONTWAIT);
}

void server_stream::send_last(const std::string& text)
{
    ::send(m_socket.number(), text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
}

void server_stream::shut_down()
{
    ::shutdown(m_socket.number(), SHUT_RDWR);
}

} // namespace hawthornpin
