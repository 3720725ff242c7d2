// libsoup server callbacks and their translation.

#include "http/api_server.h"

#include "core/reactor.h"

#include <gio/gio.h>
#include <sys/socket.h>

#include <cerrno>
#include <optional>

namespace hawthornpin {

namespace {

constexpr const char* fault_key = "hawthornpin-fault";

std::string header(SoupMessageHeaders* headers, const char* name)
{
    const char* value = soup_message_headers_get_one(headers, name);
    return value == nullptr ? "" : value;
}

std::size_t count_header_bytes(SoupMessageHeaders* headers)
{
    std::size_t bytes = 0;
    soup_message_headers_foreach(
        headers,
        [](const char* name, const char* value, gpointer data) {
            *static_cast<std::size_t*>(data) +=
                std::char_traits<char>::length(name) + std::char_traits<char>::length(value);
        },
        &bytes);
    return bytes;
}

void note_fault(SoupServerMessage* message, reason why)
{
    soup_message_body_set_accumulate(soup_server_message_get_request_body(message), FALSE);
    g_object_set_data(G_OBJECT(message), fault_key, GINT_TO_POINTER(static_cast<int>(why)));
}

reason noted_fault(SoupServerMessage* message)
{
    return static_cast<reason>(GPOINTER_TO_INT(g_object_get_data(G_OBJECT(message), fault_key)));
}

// Counts the body of a request without a declared length.
struct body_meter {
    std::size_t m_left;
};

void on_chunk(SoupServerMessage* message, GBytes* chunk, gpointer data)
{
    auto* meter = static_cast<body_meter*>(data);
    const gsize size = g_bytes_get_size(chunk);
    if (size > meter->m_left)
        note_fault(message, reason::body_too_large);
    meter->m_left -= std::min<std::size_t>(size, meter->m_left);
}

api_request read_request(SoupServerMessage* message, const char* path, const api_limits& limits)
{
    SoupMessageHeaders* headers = soup_server_message_get_request_headers(message);
    api_request request;
    request.m_method = soup_server_message_get_method(message);
    request.m_path = path;
    const char* query = g_uri_get_query(soup_server_message_get_uri(message));
    request.m_query = query == nullptr ? "" : query;
    request.m_authorization = header(headers, "Authorization");
    request.m_prefer = header(headers, "Prefer");
    request.m_budget_ms = header(headers, "Hawthornpin-Budget-Ms");
    request.m_host = header(headers, "Host");
    for (const std::string& name : limits.m_kept_headers)
        request.m_kept_headers.push_back(header(headers, name.c_str()));
    request.m_input_fault = noted_fault(message);
    if (request.m_input_fault != reason::none)
        return request;
    GBytes* body = soup_message_body_flatten(soup_server_message_get_request_body(message));
    gsize size = 0;
    const auto* content = static_cast<const char*>(g_bytes_get_data(body, &size));
    request.m_body.assign(content == nullptr ? "" : content, size);
    g_bytes_unref(body);
    return request;
}

} // namespace

api_server::api_server(api_handler handler, api_limits limits)
    : m_handler(std::move(handler)), m_limits(limits),
      m_server(soup_server_new("server-header", "hawthornpin", nullptr))
{
    soup_server_add_early_handler(m_server, nullptr, on_early, this, nullptr);
    soup_server_add_handler(m_server, nullptr, on_request, this, nullptr);
}

api_server::~api_server()
{
    soup_server_disconnect(m_server);
    g_object_unref(m_server);
}

bool api_server::listen(const std::string& address, last_reason& why)
{
    const std::size_t colon = address.rfind(':');
    const auto port = static_cast<guint>(std::strtoul(address.c_str() + colon + 1, nullptr, 10));
    const std::unique_ptr<GSocketAddress, void (*)(gpointer)> parsed(
        g_inet_socket_address_new_from_string(address.substr(0, colon).c_str(), port), g_object_unref);
    GError* error = nullptr;
    if (parsed &&
        soup_server_listen(m_server, parsed.get(), static_cast<SoupServerListenOptions>(0), &error) != FALSE)
        return true;
    why.set("can't listen on " + address + (error == nullptr ? "" : std::string(": ") + error->message));
    g_clear_error(&error);
    return false;
}

void api_server::stop_listening()
{
    GSList* listeners = soup_server_get_listeners(m_server);
    for (GSList* item = listeners; item != nullptr; item = item->next)
        g_socket_close(G_SOCKET(item->data), nullptr);
    g_slist_free(listeners);
}

std::string api_server::address() const
{
    GSList* uris = soup_server_get_uris(m_server);
    std::string text;
    if (uris != nullptr) {
        auto* uri = static_cast<GUri*>(uris->data);
        text = std::string(g_uri_get_host(uri)) + ":" + std::to_string(g_uri_get_port(uri));
    }
    g_slist_free_full(uris, [](gpointer uri) { g_uri_unref(static_cast<GUri*>(uri)); });
    return text;
}

void api_server::on_early(SoupServer* /*server*/, SoupServerMessage* message, const char* /*path*/,
                          GHashTable* /*query*/, gpointer data)
{
    auto* self = static_cast<api_server*>(data);
    SoupMessageHeaders* headers = soup_server_message_get_request_headers(message);
    if (GSocket* socket = soup_server_message_get_socket(message))
        g_socket_set_timeout(socket, self->m_limits.m_idle_seconds);
    if (count_header_bytes(headers) > self->m_limits.m_max_header_bytes)
        note_fault(message, reason::header_too_large);
    else if (soup_message_headers_get_content_length(headers) >
             static_cast<goffset>(self->m_limits.m_max_body_bytes))
        note_fault(message, reason::body_too_large);
    auto* meter = new body_meter{self->m_limits.m_max_body_bytes};
    g_signal_connect_data(
        message, "got-chunk", G_CALLBACK(on_chunk), meter,
        [](gpointer meter_data, GClosure*) { delete static_cast<body_meter*>(meter_data); },
        static_cast<GConnectFlags>(0));
}

// Keeps the message alive and counted until its response is written.
struct api_server::exchange {
    exchange(api_server& server, SoupServerMessage* message)
        : m_server(server), m_message(SOUP_SERVER_MESSAGE(g_object_ref(message)))
    {
        ++m_server.m_in_progress;
        m_finished = g_signal_connect(message, "finished", G_CALLBACK(+[](SoupServerMessage*, gpointer data) {
                                          auto* self = static_cast<exchange*>(data);
                                          self->m_is_over = true;
                                          self->m_gone.fulfiller->fulfill();
                                      }),
                                      this);
        if (server.m_limits.m_is_abandoned_on_close)
            watch_socket();
    }
    ~exchange()
    {
        g_signal_handler_disconnect(m_message, m_finished);
        g_object_unref(m_message);
        --m_server.m_in_progress;
    }
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;

    // Fulfilled when the client is gone. Call once.
    kj::Promise<void> when_gone() { return kj::mv(m_gone.promise); }

    // libsoup does not look at a connection whose request is being handled.
    void watch_socket()
    {
        GSocket* socket = soup_server_message_get_socket(m_message);
        if (socket == nullptr)
            return;
        m_watch.emplace(g_socket_get_fd(socket), descriptor_watch::interest::reading);
        m_closed = watch_for_close(g_socket_get_fd(socket)).eagerlyEvaluate(nullptr);
    }
    // Ends when the client has closed the connection, or has sent its next request, which is read after this
    // one's response.
    kj::Promise<void> watch_for_close(int descriptor)
    {
        return m_watch->when_readable().then([this, descriptor]() -> kj::Promise<void> {
            char byte = 0;
            const ssize_t size = ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
            const bool is_spurious = size < 0 && (errno == EAGAIN || errno == EINTR);
            if (is_spurious)
                return watch_for_close(descriptor);
            if (size <= 0)
                m_gone.fulfiller->fulfill();
            return kj::READY_NOW;
        });
    }

    api_server& m_server;
    SoupServerMessage* m_message;
    std::optional<descriptor_watch> m_watch;
    kj::Promise<void> m_closed = nullptr;
    kj::PromiseFulfillerPair<void> m_gone = kj::newPromiseAndFulfiller<void>();
    gulong m_finished = 0;
    // Set when the client went away before the response.
    bool m_is_over = false;
};

void api_server::on_request(SoupServer* /*server*/, SoupServerMessage* message, const char* path,
                            GHashTable* /*query*/, gpointer data)
{
    auto* self = static_cast<api_server*>(data);
    soup_server_message_pause(message);
    auto current = kj::heap<exchange>(*self, message);
    exchange& open = *current;
    auto answered = kj::evalNow([&] { return self->m_handler(read_request(message, path, self->m_limits)); });
    if (self->m_limits.m_is_abandoned_on_close) {
        answered = answered.exclusiveJoin(open.when_gone().then([] {
            api_response dropped;
            dropped.m_is_dropped = true;
            return dropped;
        }));
    }
    auto written = answered.then(
        [self, &open](api_response&& response) {
            if (!open.m_is_over)
                self->respond(open.m_message, response);
        },
        [self, &open](kj::Exception&& failure) {
            if (!open.m_is_over)
                self->respond(open.m_message, {500, "", "text/plain", "may_have_run", "", false});
            kj::throwRecoverableException(kj::mv(failure));
        });
    self->m_tasks.add(written.attach(kj::mv(current)));
}

void api_server::respond(SoupServerMessage* message, const api_response& response)
{
    if (response.m_is_dropped) {
        if (GSocket* socket = soup_server_message_get_socket(message))
            g_socket_shutdown(socket, TRUE, TRUE, nullptr);
        soup_server_message_unpause(message);
        return;
    }
    soup_server_message_set_status(message, response.m_status, nullptr);
    SoupMessageHeaders* headers = soup_server_message_get_response_headers(message);
    if (!response.m_verdict.empty())
        soup_message_headers_replace(headers, "Hawthornpin-Verdict", response.m_verdict.c_str());
    if (response.m_is_last_on_connection)
        soup_message_headers_replace(headers, "Connection", "close");
    if (!response.m_retry_after.empty())
        soup_message_headers_replace(headers, "Retry-After", response.m_retry_after.c_str());
    soup_server_message_set_response(message, response.m_content_type.c_str(), SOUP_MEMORY_COPY,
                                     response.m_body.data(), response.m_body.size());
    soup_server_message_unpause(message);
}

std::string query_value(const std::string& query, const char* key)
{
    const std::unique_ptr<GHashTable, void (*)(GHashTable*)> values(soup_form_decode(query.c_str()),
                                                                    g_hash_table_unref);
    const auto* value = static_cast<const char*>(g_hash_table_lookup(values.get(), key));
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
