// Routes of the operator interface.

#include "main/operator_api.h"

namespace hawthornpin {

namespace {

constexpr unsigned status_accepted = 202;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_unavailable = 503;

api_response make_text_response(unsigned status, std::string text)
{
    api_response response;
    response.m_status = status;
    response.m_body = std::move(text);
    response.m_content_type = "text/plain; version=0.0.4; charset=utf-8";
    return response;
}

api_response route_request(const operator_hooks& hooks, metrics& counts, const api_request& request)
{
    if (request.m_method == "POST" && request.m_path == "/drain") {
        hooks.m_begin_drain();
        return make_text_response(status_accepted, "draining\n");
    }
    if (request.m_method != "GET")
        return make_text_response(status_not_found, "not found\n");
    if (request.m_path == "/healthz")
        return make_text_response(200, "ok\n");
    if (request.m_path == "/readyz") {
        const std::string missing = hooks.m_explain_not_ready();
        return missing.empty() ? make_text_response(200, "ready\n")
                               : make_text_response(status_unavailable, missing + "\n");
    }
    if (request.m_path == "/metrics") {
        hooks.m_update_gauges(counts);
        return make_text_response(200, counts.to_exposition());
    }
    if (request.m_path == "/members") {
        api_response response;
        response.m_body = hooks.m_list_members();
        return response;
    }
    return make_text_response(status_not_found, "not found\n");
}

} // namespace

api_handler make_operator_handler(operator_hooks hooks, metrics& counts)
{
    return [hooks = std::move(hooks), &counts](const api_request& request) -> kj::Promise<api_response> {
        return route_request(hooks, counts, request);
    };
}

} // namespace hawthornpin
