// One client's connection to the HTTP server, spoken by KJ's HTTP library on the reactor.

#pragma once

#include "core/coalescing_stream.h"
#include "core/reactor_clock.h"
#include "http/api_headers.h"
#include "http/body_reader.h"
#include "http/input_guard.h"
#include "http/server_stream.h"

#include <kj/compat/http.h>

#include <optional>

namespace hawthornpin {

// What the connections of a server share; outlives them. Not copied, because its headers refer to its limits.
struct server_context {
    server_context(api_handler handler, const api_limits& limits, input_guard& guard)
        : m_handler(std::move(handler)), m_limits(limits), m_headers(m_limits.m_extra_headers), m_guard(guard)
    {
    }

    server_context(const server_context&) = delete;
    server_context& operator=(const server_context&) = delete;

    api_handler m_handler;
    api_limits m_limits;
    api_headers m_headers;
    reactor_clock m_clock;
    // Shared by the servers of the process.
    input_guard& m_guard;
    // Number of requests whose response has not been passed to the connection yet.
    int m_in_progress = 0;
};

class server_connection final : public guarded_connection,
                                private kj::HttpService,
                                private kj::HttpServerCallbacks,
                                private kj::HttpServerErrorHandler {
public:
    // The client sent nothing before `unread_since`.
    server_connection(server_context& context, file_descriptor socket, instant unread_since);

    ~server_connection() noexcept(false);
    server_connection(const server_connection&) = delete;
    server_connection& operator=(const server_connection&) = delete;

    connection_state state() const override;
    // Answers an incomplete request if the socket takes the response at once. The promise of serve() is then
    // fulfilled.
    void end(reason why) override;

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

    // The reason why the body can't be received; none if the request has it.
    kj::Promise<reason> read_body(kj::AsyncInputStream& body, api_request& request);
    kj::Promise<void> handle(api_request request, Response& response);
    // Answers a request for which there is no memory. The rest of its body is discarded.
    kj::Promise<void> refuse(reason why, Response& response);
    kj::Promise<void> respond(api_response&& answer, Response& response);

    server_context& m_context;
    // Owned by m_output.
    server_stream& m_socket;
    coalescing_stream m_output;
    // Empty once the connection has been ended.
    std::optional<input_guard::connection_list::iterator> m_registration;
    kj::PromiseFulfillerPair<void> m_ended = kj::newPromiseAndFulfiller<void>();
    iteration_quota m_request_quota;
    // Whether the handler has a request that is not answered yet.
    bool m_is_handling = false;
    // The body of the request that is being read.
    kj::Own<body_reader> m_body;
    // Whether the response that is sent next is the last one on the connection.
    bool m_is_closing = false;
    kj::HttpServer m_http;
};

} // namespace hawthornpin
