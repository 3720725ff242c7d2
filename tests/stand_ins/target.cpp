// Runs tasks, ends those whose lease has lapsed, and counts starts.

#include "tests/stand_ins/target.h"

#include "core/json.h"

namespace hawthornpin::stand_ins {

namespace {

constexpr unsigned status_conflict = 409;
constexpr unsigned status_gone = 410;
constexpr unsigned status_failed = 500;
constexpr unsigned status_unavailable = 503;
constexpr unsigned lease_check_ms = 100;

api_response make_response(unsigned status)
{
    api_response response;
    response.m_status = status;
    return response;
}

// Behaviour that a payload requests; a payload that is not JSON is echoed at once.
struct instructions {
    unsigned m_run_ms = 0;
    std::string m_echo;
    bool m_fails = false;
    bool m_drops = false;
    bool m_refuses = false;
};

instructions parse_instructions(const std::string& payload)
{
    instructions parsed;
    reason why = reason::none;
    const auto document = json_document::parse(payload, why);
    if (!document) {
        parsed.m_echo = payload;
        return parsed;
    }
    const json_object root = document->root();
    parsed.m_run_ms = static_cast<unsigned>(root.integer("run_ms").value_or(0));
    parsed.m_echo = root.text("echo").value_or("done");
    parsed.m_fails = root.flag("fail").value_or(false);
    parsed.m_drops = root.flag("drop").value_or(false);
    parsed.m_refuses = root.flag("refuse").value_or(false);
    return parsed;
}

} // namespace

kj::Promise<api_response> target::handle(const api_request& request)
{
    const auto path = split_path(request.m_path);
    if (path.size() == 2 && path[0] == "tasks" && request.m_method == "POST")
        return start(path[1], request);
    if (path.size() == 2 && path[0] == "tasks" && request.m_method == "DELETE") {
        const auto found = m_running.find(path[1]);
        if (found != m_running.end())
            found->second.m_stop->fulfill(unsigned(status_conflict));
        return make_response(200);
    }
    if (request.m_path == "/lease") {
        renew(request.m_body);
        return make_response(200);
    }
    if (request.m_path == "/status")
        return status();
    if (request.m_path == "/starts")
        return starts();
    if (request.m_path == "/control")
        return control(request.m_body);
    return make_response(404);
}

kj::Promise<api_response> target::start(const std::string& grant, const api_request& request)
{
    const instructions requested = parse_instructions(request.m_body);
    const bool is_full = static_cast<int>(m_running.size()) >= m_slots;
    if (is_full || m_is_leaving || requested.m_refuses) {
        api_response refusal = make_response(status_unavailable);
        refusal.m_verdict = "not-run";
        return refusal;
    }
    ++m_starts[grant];
    ++m_total_starts;
    if (requested.m_drops) {
        api_response drop;
        drop.m_is_connection_dropped = true;
        return drop;
    }
    if (!m_lease_check) {
        m_lease_check = std::make_unique<timer>(lease_check_ms, [this] {
            check_leases();
            return true;
        });
    }
    const unsigned end_status = requested.m_fails || m_fails_all ? status_failed : 200;
    // A worker that fails all tasks ends them at once, so it looks idle.
    const unsigned run_ms = m_fails_all ? 0 : requested.m_run_ms * m_slow_factor;
    if (run_ms == 0)
        return finish(grant, end_status, requested.m_echo);
    auto pair = kj::newPromiseAndFulfiller<unsigned>();
    constexpr milliseconds default_lease{3'000};
    m_running[grant] = {kj::mv(pair.fulfiller), m_clock.now() + default_lease};
    auto ended = after_delay(run_ms).then([end_status] { return end_status; });
    return ended.exclusiveJoin(kj::mv(pair.promise))
        .then(
            [this, grant, echo = requested.m_echo](unsigned result) { return finish(grant, result, echo); });
}

api_response target::finish(const std::string& grant, unsigned status, const std::string& echo)
{
    m_running.erase(grant);
    api_response response = make_response(status);
    response.m_body = status == 200 ? echo : "";
    response.m_content_type = "text/plain";
    return response;
}

void target::renew(const std::string& body)
{
    reason why = reason::none;
    const auto document = json_document::parse(body, why);
    if (!document)
        return;
    const milliseconds lease(document->root().integer("lease_ms").value_or(0));
    for (const std::string& grant : document->root().texts("grants")) {
        const auto found = m_running.find(grant);
        if (found != m_running.end())
            found->second.m_lease_until = m_clock.now() + lease;
    }
}

void target::check_leases()
{
    for (auto& [grant, task] : m_running) {
        if (task.m_lease_until <= m_clock.now())
            task.m_stop->fulfill(unsigned(status_gone));
    }
}

api_response target::control(const std::string& body)
{
    reason why = reason::none;
    const auto document = json_document::parse(body, why);
    if (!document)
        return make_response(400);
    const json_object root = document->root();
    m_fails_all = root.flag("fail_all").value_or(m_fails_all);
    m_is_leaving = root.flag("leaving").value_or(m_is_leaving);
    m_is_throttled = root.flag("throttled").value_or(m_is_throttled);
    m_slow_factor = static_cast<unsigned>(root.integer("slow_factor").value_or(m_slow_factor));
    return make_response(200);
}

api_response target::status() const
{
    constexpr int memory_mib = 64 * 1024;
    json_writer writer;
    writer.begin_object().key("slots").integer(m_slots);
    writer.key("running").integer(static_cast<std::int64_t>(m_running.size()));
    writer.key("memory_mib").integer(memory_mib).key("accelerators").integer(0);
    writer.key("leaving")
        .flag(m_is_leaving)
        .key("throttled")
        .flag(m_is_throttled)
        .key("grants")
        .begin_array();
    for (const auto& [grant, task] : m_running)
        writer.text(grant);
    writer.end_array().end_object();
    api_response response;
    response.m_body = writer.to_string();
    return response;
}

api_response target::starts() const
{
    json_writer writer;
    writer.begin_object()
        .key("total")
        .integer(static_cast<std::int64_t>(m_total_starts))
        .key("starts")
        .begin_object();
    for (const auto& [grant, count] : m_starts)
        writer.key(grant.c_str()).integer(count);
    writer.end_object().end_object();
    api_response response;
    response.m_body = writer.to_string();
    return response;
}

} // namespace hawthornpin::stand_ins
