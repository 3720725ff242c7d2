// Socket calls of an accepted connection.

#include "http/server_socket.h"

#include <glib.h>

#include <algorithm>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace hawthornpin {

namespace {

int open_sockets = 0;

bool is_blocked()
{
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

} // namespace

server_socket::server_socket(file_descriptor socket, unsigned idle_timeout_seconds)
    : m_socket(std::move(socket)),
      m_idle_timeout_us(static_cast<std::int64_t>(idle_timeout_seconds) * G_USEC_PER_SEC)
{
    const int enabled = 1;
    ::setsockopt(m_socket.number(), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    m_watch.emplace(m_socket.number());
    ++open_sockets;
}

server_socket::~server_socket()
{
    --open_sockets;
}

int server_socket::count_open()
{
    return open_sockets;
}

transfer_result server_socket::read(void* buffer, std::size_t size)
{
    if (!m_watch)
        return {transfer_status::failed, 0, EBADF};
    if (!m_watch->is_readable())
        return would_block(m_read_deadline);
    const ssize_t received = ::recv(m_socket.number(), buffer, size, MSG_DONTWAIT);
    if (received < 0 && !is_blocked())
        return {transfer_status::failed, 0, errno};
    // A read that did not fill the buffer has emptied the socket, but may have left the end of the stream
    // unread.
    const bool is_empty =
        received < 0 || (static_cast<std::size_t>(received) < size && !m_watch->has_hung_up());
    if (is_empty)
        m_watch->mark_read_blocked();
    if (received < 0)
        return would_block(m_read_deadline);
    m_read_deadline.reset();
    return {transfer_status::done, static_cast<std::size_t>(received), 0};
}

transfer_result server_socket::write(const void* buffer, std::size_t size)
{
    if (!m_watch)
        return {transfer_status::failed, 0, EBADF};
    if (!m_watch->is_writable())
        return would_block(m_write_deadline);
    const ssize_t sent = ::send(m_socket.number(), buffer, size, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent >= 0) {
        m_write_deadline.reset();
        return {transfer_status::done, static_cast<std::size_t>(sent), 0};
    }
    if (!is_blocked())
        return {transfer_status::failed, 0, errno};
    m_watch->mark_write_blocked();
    return would_block(m_write_deadline);
}

void server_socket::probe_peer()
{
    // Once keep-alive is on, a connection that was idle for longer than this is probed at once.
    constexpr int idle_seconds = 1;
    const int enabled = 1;
    ::setsockopt(m_socket.number(), SOL_SOCKET, SO_KEEPALIVE, &enabled, sizeof(enabled));
    ::setsockopt(m_socket.number(), IPPROTO_TCP, TCP_KEEPIDLE, &idle_seconds, sizeof(idle_seconds));
}

bool server_socket::end_probe(milliseconds span)
{
    tcp_info info{};
    socklen_t length = sizeof(info);
    const bool is_known = ::getsockopt(m_socket.number(), IPPROTO_TCP, TCP_INFO, &info, &length) == 0;
    const int disabled = 0;
    ::setsockopt(m_socket.number(), SOL_SOCKET, SO_KEEPALIVE, &disabled, sizeof(disabled));
    return !is_known || std::min(info.tcpi_last_ack_recv, info.tcpi_last_data_recv) <= span.count();
}

std::int64_t server_socket::start_timeout(deadline& expires_at) const
{
    expires_at = g_get_monotonic_time() + m_idle_timeout_us;
    return *expires_at;
}

transfer_result server_socket::would_block(const deadline& expires_at)
{
    const bool is_over = expires_at && *expires_at <= g_get_monotonic_time();
    return {is_over ? transfer_status::timed_out : transfer_status::would_block, 0, 0};
}

void server_socket::set_hangup_callback(std::function<void()> action)
{
    if (m_watch)
        m_watch->set_hangup_callback(std::move(action));
    else if (action)
        action();
}

void server_socket::shut_down()
{
    if (m_watch)
        ::shutdown(m_socket.number(), SHUT_RDWR);
}

void server_socket::close()
{
    m_watch.reset();
    m_socket = file_descriptor();
}

} // namespace hawthornpin
