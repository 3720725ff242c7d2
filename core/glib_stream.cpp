// Socket input and output on the GLib loop.

#include "core/glib_stream.h"

#include "core/network_address.h"

#include <gio/gio.h>
#include <glib-unix.h>
#include <kj/debug.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/timerfd.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

namespace hawthornpin {

namespace {

// Fits several messages of the usual size. Kept small because a process of a large system has hundreds of
// connections.
constexpr std::size_t read_buffer_bytes = 8 * 1024;
// The kernel's maximum. TCP retries a connection that finds the queue full only after a second.
constexpr int listen_backlog = SOMAXCONN;

struct object_unref {
    template <typename Object>
    void operator()(Object* object) const
    {
        g_object_unref(object);
    }
};
using socket_address = std::unique_ptr<GSocketAddress, object_unref>;

// A native address with its length.
struct native_address {
    sockaddr_storage m_storage{};
    socklen_t m_length = 0;

    const sockaddr* get() const { return reinterpret_cast<const sockaddr*>(&m_storage); }
};

std::optional<native_address> parse_address(const std::string& text)
{
    if (!is_network_address(text))
        return std::nullopt;
    const std::size_t colon = text.rfind(':');
    const auto port = static_cast<guint>(std::strtoul(text.c_str() + colon + 1, nullptr, 10));
    const socket_address parsed(g_inet_socket_address_new_from_string(text.substr(0, colon).c_str(), port));
    if (!parsed)
        return std::nullopt;
    native_address native;
    native.m_length = static_cast<socklen_t>(g_socket_address_get_native_size(parsed.get()));
    if (g_socket_address_to_native(parsed.get(), &native.m_storage, sizeof(native.m_storage), nullptr) ==
        FALSE)
        return std::nullopt;
    return native;
}

file_descriptor open_socket(const native_address& address)
{
    return file_descriptor(::socket(address.get()->sa_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

microseconds link_delay{0};

kj::Array<kj::byte> concatenate(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces, std::size_t total)
{
    auto all = kj::heapArray<kj::byte>(total);
    std::size_t position = 0;
    for (const auto& piece : pieces) {
        std::memcpy(all.begin() + position, piece.begin(), piece.size());
        position += piece.size();
    }
    return all;
}

kj::Promise<void> when_readable(int descriptor)
{
    auto watch = kj::heap<descriptor_watch>(descriptor);
    auto ready = watch->when_readable();
    return ready.attach(kj::mv(watch));
}

// Waits with a timer descriptor, because the event loop's own timers have a resolution of whole milliseconds.
kj::Promise<void> wait_for(std::chrono::nanoseconds span)
{
    if (span.count() <= 0)
        return kj::READY_NOW;
    file_descriptor timer_descriptor(::timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC));
    itimerspec spec{};
    spec.it_value.tv_nsec = span.count();
    ::timerfd_settime(timer_descriptor.number(), 0, &spec, nullptr);
    const int number = timer_descriptor.number();
    return when_readable(number).attach(std::move(timer_descriptor));
}

bool would_block()
{
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

kj::Exception make_disconnected_error(const char* what)
{
    return KJ_EXCEPTION(DISCONNECTED, what, std::strerror(errno));
}

void set_no_delay(int descriptor)
{
    const int enabled = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
}

} // namespace

file_descriptor::~file_descriptor()
{
    if (is_open())
        ::close(m_number);
}

file_descriptor::file_descriptor(file_descriptor&& other) noexcept
    : m_number(std::exchange(other.m_number, -1))
{
}

file_descriptor& file_descriptor::operator=(file_descriptor&& other) noexcept
{
    std::swap(m_number, other.m_number);
    return *this;
}

void set_process_link_delay(microseconds delay)
{
    // wait_for() only sets the nanoseconds of its timer, which must be less than a second.
    constexpr microseconds max_delay{900'000};
    link_delay = std::min(delay, max_delay);
}

stream_totals& process_stream_totals()
{
    static stream_totals totals;
    return totals;
}

glib_stream::glib_stream(file_descriptor socket)
    : m_socket(std::move(socket)), m_watch(m_socket.number()), m_buffer(read_buffer_bytes)
{
    set_no_delay(m_socket.number());
}

glib_stream::~glib_stream() noexcept(false) = default;

std::size_t glib_stream::take_buffered(void* buffer, std::size_t max_bytes)
{
    const std::size_t taken = std::min(max_bytes, m_end - m_begin);
    std::memcpy(buffer, m_buffer.data() + m_begin, taken);
    m_begin += taken;
    return taken;
}

kj::Promise<std::size_t> glib_stream::read(void* buffer, std::size_t min_bytes, std::size_t max_bytes)
{
    return tryRead(buffer, min_bytes, max_bytes).then([min_bytes](std::size_t count) {
        if (count < min_bytes)
            kj::throwRecoverableException(
                KJ_EXCEPTION(DISCONNECTED, "the connection ended inside a message"));
        return count;
    });
}

kj::Promise<std::size_t> glib_stream::tryRead(void* buffer, std::size_t min_bytes, std::size_t max_bytes)
{
    return fill(static_cast<kj::byte*>(buffer), min_bytes, max_bytes, 0);
}

kj::Promise<std::size_t> glib_stream::fill(kj::byte* buffer, std::size_t min_bytes, std::size_t max_bytes,
                                           std::size_t done)
{
    while (true) {
        done += take_buffered(buffer + done, max_bytes - done);
        if (done >= min_bytes)
            return done;
        if (std::exchange(m_is_drained, false))
            break;
        const ssize_t received = ::recv(m_socket.number(), m_buffer.data(), m_buffer.size(), 0);
        if (received == 0)
            return done;
        if (received < 0 && !would_block())
            return make_disconnected_error("read failed");
        if (received < 0)
            break;
        process_stream_totals().m_bytes_in += static_cast<std::uint64_t>(received);
        m_begin = 0;
        m_end = static_cast<std::size_t>(received);
        m_is_drained = m_end < m_buffer.size() && !m_watch.has_hung_up();
    }
    return m_watch.when_readable().then(
        [this, buffer, min_bytes, max_bytes, done] { return fill(buffer, min_bytes, max_bytes, done); });
}

kj::Promise<void> glib_stream::write(const void* buffer, std::size_t size)
{
    const kj::ArrayPtr<const kj::byte> piece(static_cast<const kj::byte*>(buffer), size);
    return write(kj::arrayPtr(&piece, 1));
}

kj::Promise<void> glib_stream::write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces)
{
    if (link_delay.count() == 0)
        return write_now(pieces);
    std::size_t total = 0;
    for (const auto& piece : pieces)
        total += piece.size();
    write_later(concatenate(pieces, total));
    return kj::READY_NOW;
}

void glib_stream::write_later(kj::Array<kj::byte> message)
{
    m_delayed.push_back({std::chrono::steady_clock::now() + link_delay, kj::mv(message)});
    if (m_is_flushing)
        return;
    m_is_flushing = true;
    m_flush = flush_delayed().eagerlyEvaluate([this](kj::Exception&&) { m_delayed.clear(); });
}

kj::Promise<void> glib_stream::flush_delayed()
{
    if (m_delayed.empty()) {
        m_is_flushing = false;
        return kj::READY_NOW;
    }
    const auto left = m_delayed.front().m_due - std::chrono::steady_clock::now();
    return wait_for(left).then([this] {
        auto bytes = kj::mv(m_delayed.front().m_bytes);
        m_delayed.pop_front();
        const kj::ArrayPtr<const kj::byte> piece = bytes;
        auto written = write_now(kj::arrayPtr(&piece, 1));
        return written.attach(kj::mv(bytes)).then([this] { return flush_delayed(); });
    });
}

kj::Promise<void> glib_stream::write_now(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces)
{
    std::vector<iovec> vectors;
    std::size_t total = 0;
    for (const auto& piece : pieces) {
        vectors.push_back({const_cast<kj::byte*>(piece.begin()), piece.size()});
        total += piece.size();
    }
    ++process_stream_totals().m_messages_out;
    msghdr message{};
    message.msg_iov = vectors.data();
    message.msg_iovlen = vectors.size();
    ssize_t sent = ::sendmsg(m_socket.number(), &message, MSG_NOSIGNAL);
    if (sent < 0 && !would_block())
        return make_disconnected_error("write failed");
    sent = std::max<ssize_t>(sent, 0);
    process_stream_totals().m_bytes_out += static_cast<std::uint64_t>(sent);
    if (static_cast<std::size_t>(sent) == total)
        return kj::READY_NOW;
    auto all = concatenate(pieces, total);
    return send_rest(kj::mv(all), static_cast<std::size_t>(sent));
}

kj::Promise<void> glib_stream::send_rest(kj::Array<kj::byte> rest, std::size_t sent)
{
    return m_watch.when_writable().then([this, rest = kj::mv(rest), sent]() mutable -> kj::Promise<void> {
        const ssize_t count =
            ::send(m_socket.number(), rest.begin() + sent, rest.size() - sent, MSG_NOSIGNAL);
        if (count < 0 && !would_block())
            return make_disconnected_error("write failed");
        const std::size_t now_sent = sent + static_cast<std::size_t>(std::max<ssize_t>(count, 0));
        process_stream_totals().m_bytes_out += now_sent - sent;
        if (now_sent == rest.size())
            return kj::READY_NOW;
        return send_rest(kj::mv(rest), now_sent);
    });
}

kj::Promise<void> glib_stream::whenWriteDisconnected()
{
    return kj::NEVER_DONE;
}

void glib_stream::shutdownWrite()
{
    ::shutdown(m_socket.number(), SHUT_WR);
}

void glib_stream::abortRead()
{
    ::shutdown(m_socket.number(), SHUT_RD);
}

kj::Promise<kj::Own<glib_stream>> connect_stream(const std::string& address)
{
    const auto native = parse_address(address);
    if (!native)
        return KJ_EXCEPTION(DISCONNECTED, "not an IP address and port");
    file_descriptor socket = open_socket(*native);
    if (::connect(socket.number(), native->get(), native->m_length) != 0 && errno != EINPROGRESS)
        return make_disconnected_error("connect failed");
    const int number = socket.number();
    auto stream = kj::heap<glib_stream>(std::move(socket));
    auto connected = stream->when_connected();
    return connected.then([number, stream = kj::mv(stream)]() mutable {
        int error = 0;
        socklen_t length = sizeof(error);
        ::getsockopt(number, SOL_SOCKET, SO_ERROR, &error, &length);
        if (error != 0) {
            errno = error;
            kj::throwRecoverableException(make_disconnected_error("connect failed"));
        }
        return kj::mv(stream);
    });
}

std::optional<file_descriptor> listen_on(const std::string& address, last_reason& why)
{
    const auto native = parse_address(address);
    if (!native) {
        why.set(address + " is not an IP address and port");
        return std::nullopt;
    }
    file_descriptor socket = open_socket(*native);
    const int enabled = 1;
    ::setsockopt(socket.number(), SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    const bool is_listening = ::bind(socket.number(), native->get(), native->m_length) == 0 &&
                              ::listen(socket.number(), listen_backlog) == 0;
    if (!is_listening) {
        why.set("can't listen on " + address + ": " + std::strerror(errno));
        return std::nullopt;
    }
    return socket;
}

std::string local_address(const file_descriptor& socket)
{
    sockaddr_storage storage{};
    socklen_t length = sizeof(storage);
    if (::getsockname(socket.number(), reinterpret_cast<sockaddr*>(&storage), &length) != 0)
        return {};
    const socket_address parsed(g_socket_address_new_from_native(&storage, length));
    auto* inet = G_INET_SOCKET_ADDRESS(parsed.get());
    const std::unique_ptr<char, decltype(&g_free)> ip(
        g_inet_address_to_string(g_inet_socket_address_get_address(inet)), g_free);
    return std::string(ip.get()) + ":" + std::to_string(g_inet_socket_address_get_port(inet));
}

} // namespace hawthornpin
