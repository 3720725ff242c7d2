// The header fields that the HTTP server reads and writes, and the translation of messages.

#pragma once

#include "http/api_messages.h"

#include <kj/compat/http.h>

#include <string>
#include <vector>

namespace hawthornpin {

class api_headers {
public:
    // `extra_headers` are the names of further request headers to read; they must outlive this object.
    explicit api_headers(const std::vector<std::string>& extra_headers);

    const kj::HttpHeaderTable& table() const { return *m_table; }

    // The head of a request, whose body is still to be read.
    api_request read_head(kj::HttpMethod method, kj::StringPtr url, const kj::HttpHeaders& headers) const;
    // Whether the client waits for permission to send the body.
    bool expects_continue(const kj::HttpHeaders& headers) const;

    // Refers to strings of the response, which must outlive the result.
    kj::HttpHeaders make_headers(const api_response& response) const;

private:
    std::string text(const kj::HttpHeaders& headers, kj::HttpHeaderId id) const;

    kj::HttpHeaderId m_authorization;
    kj::HttpHeaderId m_prefer;
    kj::HttpHeaderId m_budget;
    kj::HttpHeaderId m_expect;
    kj::HttpHeaderId m_server;
    kj::HttpHeaderId m_verdict;
    kj::HttpHeaderId m_retry_after;
    std::vector<kj::HttpHeaderId> m_extra;
    kj::Own<kj::HttpHeaderTable> m_table;
};

// A whole response in text form, after which the connection is closed.
std::string write_last_response(const api_response& response);

// The response to a request that the server ends before it reaches the handler.
api_response make_input_refusal(const api_limits& limits, reason why);

// Number of bytes of the names and values of a request's headers.
std::size_t count_header_bytes(const kj::HttpHeaders& headers);

// Whether the client sends no further request on the connection.
bool asks_to_close(const kj::HttpHeaders& headers);

// The reason phrase of a status.
const char* reason_phrase(unsigned status);

} // namespace hawthornpin
