// Requests to the target and the verdicts derived from its responses.

#include "http/target_client.h"

#include "core/event_loop.h"
#include "core/json.h"

namespace hawthornpin {

namespace {

constexpr unsigned control_connections = 2;
// Calls that the target answers at once; its tasks may take as long as their budget.
constexpr unsigned control_timeout_ms = 1'000;
constexpr unsigned status_ok = 200;
constexpr unsigned status_conflict = 409;
constexpr unsigned status_gone = 410;
constexpr unsigned status_unavailable = 503;

task_end failed(verdict value, reason why)
{
    return {{value, why, ticket_state::closed}, {}};
}

task_end read_task_end(http_response&& response)
{
    if (is_unsent(response.m_transport))
        return failed(verdict::not_run, reason::target_unreachable);
    if (response.m_transport != http_transport::answered)
        return failed(verdict::may_have_run, reason::target_connection_lost);
    // An answer that is not valid UTF-8 can't be part of a JSON document, but the task has run.
    const bool is_text =
        g_utf8_validate_len(response.m_body.data(), response.m_body.size(), nullptr) != FALSE;
    if (response.m_status == status_ok && is_text)
        return {{verdict::ran, reason::none, ticket_state::closed}, std::move(response.m_body)};
    if (response.m_status == status_unavailable && response.m_verdict == "not-run")
        return failed(verdict::not_run, reason::target_refused);
    if (response.m_status == status_gone)
        return failed(verdict::may_have_run, reason::lease_lapsed);
    if (response.m_status == status_conflict)
        return failed(verdict::may_have_run, reason::cancelled);
    return failed(verdict::ran, reason::task_failed);
}

std::optional<target_status> parse_status(const std::string& text)
{
    reason why = reason::none;
    const auto document = json_document::parse(text, why);
    if (!document)
        return std::nullopt;
    const json_object root = document->root();
    const auto slots = root.integer("slots");
    const auto running = root.integer("running");
    if (!slots || !running)
        return std::nullopt;
    target_status status;
    status.m_slots = static_cast<int>(*slots);
    status.m_running = static_cast<int>(*running);
    status.m_memory_mib = static_cast<int>(root.integer("memory_mib").value_or(0));
    status.m_accelerators = static_cast<int>(root.integer("accelerators").value_or(0));
    status.m_is_leaving = root.flag("leaving").value_or(false);
    status.m_is_throttled = root.flag("throttled").value_or(false);
    status.m_grants = root.texts("grants");
    return status;
}

} // namespace

target_client::target_client(const std::string& address, unsigned slots)
    : m_url("http://" + address), m_tasks(slots), m_control(control_connections)
{
}

kj::Promise<task_end> target_client::start(const grant_id& id, const std::string& payload,
                                           milliseconds budget, milliseconds lease)
{
    http_request request{"POST", m_url + "/tasks/" + to_text(id), payload, {}};
    request.m_headers.push_back({"Hawthornpin-Budget-Ms", std::to_string(budget.count())});
    request.m_headers.push_back({"Hawthornpin-Lease-Ms", std::to_string(lease.count())});
    request.m_can_reuse_connection = true;
    return m_tasks.send(request).then(
        [](http_response&& response) { return read_task_end(std::move(response)); });
}

kj::Promise<void> target_client::stop(const std::string& grant)
{
    return m_control.send_within({"DELETE", m_url + "/tasks/" + grant, "", {}}, control_timeout_ms)
        .ignoreResult();
}

kj::Promise<void> target_client::renew(const std::vector<std::string>& grants, milliseconds lease)
{
    json_writer writer;
    writer.begin_object().key("lease_ms").integer(lease.count()).key("grants").begin_array();
    for (const std::string& grant : grants)
        writer.text(grant);
    writer.end_array().end_object();
    return m_control.send_within({"POST", m_url + "/lease", writer.to_string(), {}}, control_timeout_ms)
        .ignoreResult();
}

kj::Promise<std::optional<target_status>> target_client::status()
{
    return m_control.send_within({"GET", m_url + "/status", "", {}}, control_timeout_ms)
        .then([](http_response&& response) {
            const bool is_ok =
                response.m_transport == http_transport::answered && response.m_status == status_ok;
            return is_ok ? parse_status(response.m_body) : std::optional<target_status>();
        });
}

} // namespace hawthornpin
