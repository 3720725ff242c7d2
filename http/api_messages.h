// Requests and responses of the HTTP server, and the limits of what it accepts.

#pragma once

#include "admission/request_age.h"
#include "core/instant.h"
#include "core/verdict.h"

#include <kj/async.h>

#include <functional>
#include <string>
#include <vector>

namespace hawthornpin {

struct api_request {
    std::string m_method;
    // Without the percent encoding.
    std::string m_path;
    std::string m_query;
    std::string m_body;
    std::string m_authorization;
    std::string m_prefer;
    std::string m_budget_ms;
    std::string m_host;
    // Values of the headers in api_limits::m_extra_headers, in that order; empty for missing headers.
    std::vector<std::string> m_extra_headers;
    request_age m_age;
    // Set if the input exceeded a limit of the server; the body is then empty.
    reason m_input_fault = reason::none;
};

struct api_response {
    unsigned m_status = 200;
    std::string m_body;
    std::string m_content_type = "application/json";
    // Values of further headers; empty ones are not sent.
    std::string m_verdict;
    std::string m_retry_after;
    // Closes the connection without a response: the client has disconnected, or a stand-in simulates a fault.
    bool m_is_connection_dropped = false;
    // Asks the client to send further requests over another connection.
    bool m_is_last_on_connection = false;
};

struct api_limits {
    std::size_t m_max_body_bytes = 16 * 1024 * 1024;
    std::size_t m_max_header_bytes = 8 * 1024;
    // A connection on which nothing is transferred for this long is closed, unless a request is being
    // handled.
    unsigned m_idle_timeout_seconds = 30;
    // Names of further request headers that the handler needs.
    std::vector<std::string> m_extra_headers;
    // Cancels the handler's promise when the client closes its connection, instead of letting it finish.
    bool m_is_cancelled_on_disconnect = false;
    // Makes the response to a request that the server ends before it reaches the handler; by default a JSON
    // object with the reason. The response may be sent at any time, also without a request.
    std::function<api_response(reason, milliseconds retry_after)> m_make_refusal;
};

// Largest body on ports whose requests need none.
inline constexpr std::size_t bodyless_port_max_body_bytes = 64 * 1024;

// The limits of a port whose requests need no body.
inline api_limits bodyless_port_limits()
{
    api_limits limits;
    limits.m_max_body_bytes = bodyless_port_max_body_bytes;
    return limits;
}

using api_handler = std::function<kj::Promise<api_response>(api_request)>;

} // namespace hawthornpin
