// Accepts the connections of an HTTP server.

#include "http/api_server.h"

#include <glib.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <memory>

namespace hawthornpin {

api_server::api_server(api_handler handler, const api_limits& limits, input_guard& guard)
    : m_context(std::move(handler), limits, guard)
{
}

api_server::api_server(api_handler handler, const api_limits& limits)
    : m_own_guard(std::make_unique<input_guard>(input_limits())),
      m_context(std::move(handler), limits, *m_own_guard)
{
}

bool api_server::listen(const std::string& address, last_reason& why)
{
    auto listener = listen_on(address, why);
    if (!listener)
        return false;
    m_listener = std::move(*listener);
    if (m_context.m_guard.limits().m_has_small_socket_buffers) {
        // Accepted sockets inherit the sizes, and TCP does not enlarge a buffer that was set.
        const int bytes = socket_buffer_bytes;
        ::setsockopt(m_listener.number(), SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
        ::setsockopt(m_listener.number(), SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes));
    }
    m_listener_watch.emplace(m_listener.number(), descriptor_watch::interest::reading);
    m_accepting = run_accept_loop().eagerlyEvaluate(nullptr);
    return true;
}

void api_server::stop_listening()
{
    m_accepting = nullptr;
    m_listener_watch.reset();
    m_listener = file_descriptor();
}

std::string api_server::address() const
{
    return local_address(m_listener);
}

kj::Promise<void> api_server::run_accept_loop()
{
    return m_listener_watch->when_readable().then([this] { return accept_pending(); }).then([this] {
        return run_accept_loop();
    });
}

kj::Promise<void> api_server::accept_pending()
{
    // Retries until descriptors or memory are free again, because the watch reports only new connections, not
    // those that still wait.
    constexpr unsigned retry_ms = 100;
    const accept_result result = accept_batch();
    if (result == accept_result::nothing_left)
        return kj::READY_NOW;
    // Between two batches, other input is checked and the connections that were ended are closed.
    return after_delay(result == accept_result::batch_done ? 0 : retry_ms).then([this] {
        return accept_pending();
    });
}

api_server::accept_result api_server::accept_batch()
{
    // Bounds the descriptors in use beyond the limit on connections.
    constexpr int max_batch = 64;
    const instant unread_since = m_listener_watch->unread_since();
    for (int count = 0; count < max_batch; ++count) {
        file_descriptor accepted(
            ::accept4(m_listener.number(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (accepted.is_open())
            serve(std::move(accepted), unread_since);
        else if (errno == EAGAIN || errno == EWOULDBLOCK) {
            m_listener_watch->mark_drained();
            return accept_result::nothing_left;
        }
        else if (errno != ECONNABORTED && errno != EINTR)
            return accept_result::out_of_resources;
    }
    return accept_result::batch_done;
}

void api_server::serve(file_descriptor socket, instant unread_since)
{
    if (!m_context.m_guard.make_room()) {
        const std::string text =
            write_last_response(make_input_refusal(m_context.m_limits, reason::too_many_connections));
        ::send(socket.number(), text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        return;
    }
    auto connection = kj::heap<server_connection>(m_context, std::move(socket), unread_since);
    auto served = connection->serve();
    m_tasks.add(served.attach(kj::mv(connection)));
}

std::string query_value(const std::string& query, const char* key)
{
    const std::unique_ptr<GHashTable, void (*)(GHashTable*)> values(
        g_uri_parse_params(query.c_str(), -1, "&", G_URI_PARAMS_WWW_FORM, nullptr), g_hash_table_unref);
    const auto* value = values ? static_cast<const char*>(g_hash_table_lookup(values.get(), key)) : nullptr;
    return value == nullptr ? "" : value;
}

std::vector<std::string> split_path(const std::string& path)
{
    std::vector<std::string> segments;
    std::size_t begin = 0;
    while (begin < path.size()) {
        const std::size_t end = std::min(path.find('/', begin), path.size());
        if (end > begin)
            segments.push_back(path.substr(begin, end - begin));
        begin = end + 1;
    }
    return segments;
}

} // namespace hawthornpin
