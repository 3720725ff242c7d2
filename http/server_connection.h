// One client's connection to the HTTP server, spoken by KJ's HTTP library on the reactor.

#pragma once

#include "core/coalescing_stream.h"
#include "core/reactor_clock.h"
#include "http/api_headers.h"
#include "http/server_stream.h"

#include <kj/compat/http.h>

namespace hawthornpin {

// What the connections of a server share; outlives them. Not copied, because its headers refer to its limits.
struct server_context {
    server_context(api_handler handler, const api_limits& limits)
        : m_handler(std::move(handler)), m_limits(limits), m_headers(m_limits.m_extra_headers)
    {
    }

    server_context(const server_context&) = delete;
    server_context& operator=(const server_context&) = delete;

    api_handler m_handler;
    api_limits m_limits;
    api_headers m_headers;
    reactor_clock m_clock;
    // Number of requests whose response has not been passed to the connection yet.
    int m_in_progress = 0;
};

class server_connection final : private kj::HttpService,
                                private kj::HttpServerCallbacks,
                                private kj::HttpServerErrorHandler {
public:
    // The client sent nothing before `unread_since`.
    server_connection(server_context& context, file_descriptor socket, instant unread_since);

    // Serves one request after the other. Fulfilled when the connection can be closed.
    kj::Promise<void> serve();

private:
    class exchange;

    server_connection(server_context& context, kj::Own<server_stream> socket);

    kj::Promise<void> request(kj::HttpMethod method, kj::StringPtr url, const kj::HttpHeaders& headers,
                              kj::AsyncInputStream& body, Response& response) override;
    bool shouldClose() override { return m_is_closing; } // NOLINT(readability-identifier-naming)
    // NOLINTNEXTLINE(readability-identifier-naming)
    kj::Promise<void> handleClientProtocolError(kj::HttpHeaders::ProtocolError error,
                                                Response& response) override;

    // Appends the body to the request, or sets the fault if it is too large.
    kj::Promise<void> read_body(kj::AsyncInputStream& body, api_request& request) const;
    kj::Promise<void> handle(api_request request, Response& response);
    kj::Promise<void> respond(api_response&& answer, Response& response);

    server_context& m_context;
    // Owned by m_output.
    server_stream& m_socket;
    coalescing_stream m_output;
    // Whether the response that is sent next is the last one on the connection.
    bool m_is_closing = false;
    kj::HttpServer m_http;
};

} // namespace hawthornpin
