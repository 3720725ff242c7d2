// Translation between KJ's HTTP types and those of the handlers.

#include "http/api_headers.h"

#include "core/json.h"

#include <glib.h>

#include <algorithm>
#include <cctype>
#include <map>
#include <memory>

namespace hawthornpin {

namespace {

struct glib_free {
    void operator()(char* text) const { g_free(text); }
};

// The path and query of a request target, which may also be a complete URL.
std::string strip_origin(std::string target)
{
    const std::size_t scheme_end = target.find("://");
    if (target.starts_with('/') || scheme_end == std::string::npos)
        return target;
    const std::size_t path = target.find('/', scheme_end + 3);
    return path == std::string::npos ? "/" : target.substr(path);
}

// Left as it is if the encoding is invalid; no handler knows such a path.
std::string decode_path(const std::string& path)
{
    const std::unique_ptr<char, glib_free> decoded(g_uri_unescape_string(path.c_str(), nullptr));
    return decoded ? decoded.get() : path;
}

bool contains_ignoring_case(kj::StringPtr text, const std::string& word)
{
    const auto is_same = [](char left, char right) {
        return std::tolower(static_cast<unsigned char>(left)) == right;
    };
    return std::search(text.begin(), text.end(), word.begin(), word.end(), is_same) != text.end();
}

} // namespace

api_headers::api_headers(const std::vector<std::string>& extra_headers)
{
    kj::HttpHeaderTable::Builder builder;
    m_authorization = builder.add("Authorization");
    m_prefer = builder.add("Prefer");
    m_budget = builder.add("Hawthornpin-Budget-Ms");
    m_expect = builder.add("Expect");
    m_server = builder.add("Server");
    m_verdict = builder.add("Hawthornpin-Verdict");
    m_retry_after = builder.add("Retry-After");
    for (const std::string& name : extra_headers)
        m_extra.push_back(builder.add(kj::StringPtr(name.c_str(), name.size())));
    m_table = builder.build();
}

std::string api_headers::text(const kj::HttpHeaders& headers, kj::HttpHeaderId id) const
{
    KJ_IF_MAYBE (value, headers.get(id))
        return {value->begin(), value->size()};
    return {};
}

api_request api_headers::read_head(kj::HttpMethod method, kj::StringPtr url,
                                   const kj::HttpHeaders& headers) const
{
    api_request request;
    request.m_method = kj::str(method).cStr();
    std::string target = strip_origin(url.cStr());
    target.resize(std::min(target.find('#'), target.size()));
    const std::size_t path_end = std::min(target.find('?'), target.size());
    request.m_path = decode_path(target.substr(0, path_end));
    if (path_end < target.size())
        request.m_query = target.substr(path_end + 1);
    request.m_authorization = text(headers, m_authorization);
    request.m_prefer = text(headers, m_prefer);
    request.m_budget_ms = text(headers, m_budget);
    request.m_host = text(headers, kj::HttpHeaderId::HOST);
    for (const kj::HttpHeaderId& id : m_extra)
        request.m_extra_headers.push_back(text(headers, id));
    return request;
}

bool api_headers::expects_continue(const kj::HttpHeaders& headers) const
{
    KJ_IF_MAYBE (value, headers.get(m_expect))
        return contains_ignoring_case(*value, "100-continue");
    return false;
}

kj::HttpHeaders api_headers::make_headers(const api_response& response) const
{
    kj::HttpHeaders headers(*m_table);
    headers.set(m_server, kj::StringPtr("hawthornpin"));
    headers.set(kj::HttpHeaderId::CONTENT_TYPE, kj::StringPtr(response.m_content_type.c_str()));
    if (!response.m_verdict.empty())
        headers.set(m_verdict, kj::StringPtr(response.m_verdict.c_str()));
    if (!response.m_retry_after.empty())
        headers.set(m_retry_after, kj::StringPtr(response.m_retry_after.c_str()));
    return headers;
}

std::string write_last_response(const api_response& response)
{
    std::string text = "HTTP/1.1 " + std::to_string(response.m_status) + ' ' +
                       reason_phrase(response.m_status) + "\r\nConnection: close\r\nServer: hawthornpin" +
                       "\r\nContent-Type: " + response.m_content_type +
                       "\r\nHawthornpin-Verdict: " + response.m_verdict;
    if (!response.m_retry_after.empty())
        text += "\r\nRetry-After: " + response.m_retry_after;
    text += "\r\nContent-Length: " + std::to_string(response.m_body.size()) + "\r\n\r\n";
    return text + response.m_body;
}

api_response make_input_refusal(const api_limits& limits, reason why)
{
    constexpr unsigned status_timeout = 408;
    constexpr unsigned status_unavailable = 503;
    // Bodies that take the memory are evicted or time out within seconds.
    constexpr milliseconds unavailable_for{1'000};
    const bool is_timeout = why == reason::body_stalled || why == reason::body_too_slow;
    if (limits.m_make_refusal)
        return limits.m_make_refusal(why, is_timeout ? milliseconds(0) : unavailable_for);
    api_response response;
    response.m_status = is_timeout ? status_timeout : status_unavailable;
    response.m_body = json_writer().begin_object().key("error").text(to_text(why)).end_object().to_string();
    response.m_verdict = "not_run";
    response.m_retry_after = is_timeout ? "0" : "1";
    return response;
}

std::size_t count_header_bytes(const kj::HttpHeaders& headers)
{
    std::size_t bytes = 0;
    headers.forEach([&](kj::StringPtr name, kj::StringPtr value) { bytes += name.size() + value.size(); });
    return bytes;
}

bool asks_to_close(const kj::HttpHeaders& headers)
{
    KJ_IF_MAYBE (value, headers.get(kj::HttpHeaderId::CONNECTION))
        return contains_ignoring_case(*value, "close");
    return false;
}

const char* reason_phrase(unsigned status)
{
    static const std::map<unsigned, const char*> phrases = {
        {200, "OK"},
        {201, "Created"},
        {202, "Accepted"},
        {204, "No Content"},
        {400, "Bad Request"},
        {401, "Unauthorized"},
        {403, "Forbidden"},
        {404, "Not Found"},
        {405, "Method Not Allowed"},
        {408, "Request Timeout"},
        {409, "Conflict"},
        {410, "Gone"},
        {413, "Payload Too Large"},
        {421, "Misdirected Request"},
        {422, "Unprocessable Entity"},
        {428, "Precondition Required"},
        {429, "Too Many Requests"},
        {431, "Request Header Fields Too Large"},
        {500, "Internal Server Error"},
        {501, "Not Implemented"},
        {502, "Bad Gateway"},
        {503, "Service Unavailable"},
        {504, "Gateway Timeout"},
    };
    const auto phrase = phrases.find(status);
    return phrase == phrases.end() ? "Unknown" : phrase->second;
}

} // namespace hawthornpin
