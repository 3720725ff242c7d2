// Parsing and writing of the caller interface's JSON.

#include "http/caller_messages.h"

#include "core/ids.h"
#include "core/json.h"

#include <algorithm>
#include <charconv>

namespace hawthornpin {

namespace {

constexpr std::int64_t max_resource_amount = 1 << 24;
constexpr std::int64_t milliseconds_per_second = 1000;

bool has_only_members(const json_object& object, std::initializer_list<std::string_view> allowed)
{
    const auto names = object.names();
    return std::all_of(names.begin(), names.end(), [&](const std::string& name) {
        return std::find(allowed.begin(), allowed.end(), name) != allowed.end();
    });
}

// Reads an optional whole number in [0, maximum], by default 0; empty if its type or range is wrong.
std::optional<std::int64_t> read_number(const json_object& object, const char* name, std::int64_t maximum)
{
    if (!object.has(name))
        return 0;
    const auto value = object.integer(name);
    if (!value || *value < 0 || *value > maximum)
        return std::nullopt;
    return value;
}

std::optional<task_needs> parse_needs(const json_object& root)
{
    if (!root.has("needs"))
        return task_needs();
    const auto needs = root.object("needs");
    if (!needs || !has_only_members(*needs, {"memory_mib", "accelerators"}))
        return std::nullopt;
    const auto memory = read_number(*needs, "memory_mib", max_resource_amount);
    const auto accelerators = read_number(*needs, "accelerators", max_resource_amount);
    if (!memory || !accelerators)
        return std::nullopt;
    return task_needs{static_cast<int>(*memory), static_cast<int>(*accelerators)};
}

reason parse_tasks(const json_object& root, const contract& limits, std::vector<std::string>& payloads)
{
    const auto count = root.count("tasks");
    if (!count)
        return reason::bad_request;
    if (*count == 0)
        return reason::no_tasks;
    if (*count > static_cast<std::size_t>(limits.max_tasks()))
        return reason::too_many_tasks;
    const auto tasks = root.objects("tasks");
    if (tasks.size() != *count)
        return reason::bad_request;
    for (const json_object& task : tasks) {
        auto payload = task.text("payload");
        if (!payload || !has_only_members(task, {"payload"}))
            return reason::bad_request;
        if (payload->size() > limits.max_payload_bytes())
            return reason::payload_too_large;
        payloads.push_back(std::move(*payload));
    }
    return reason::none;
}

void write_outcome(json_writer& writer, const outcome& value)
{
    writer.key("verdict").text(to_text(value.m_verdict));
    writer.key("reason").text(to_text(value.m_reason));
    writer.key("ticket_state").text(to_text(value.m_ticket));
}

std::string retry_after_seconds(milliseconds wait)
{
    if (wait.count() <= 0)
        return {};
    return std::to_string((wait.count() + milliseconds_per_second - 1) / milliseconds_per_second);
}

} // namespace

std::optional<job_request> parse_job(const std::string& body, const contract& limits, reason& why)
{
    const auto document = json_document::parse(body, why);
    if (!document)
        return std::nullopt;
    const json_object root = document->root();
    why = reason::bad_request;
    if (!has_only_members(root, {"service", "tasks", "needs", "deadline_ms"}))
        return std::nullopt;
    const auto needs = parse_needs(root);
    const auto deadline = read_number(root, "deadline_ms", limits.job_time_limit().count());
    if (!needs || !deadline || (root.has("service") && !root.text("service")))
        return std::nullopt;
    job_request job;
    job.m_service = root.text("service").value_or("");
    job.m_needs = *needs;
    job.m_deadline = milliseconds(*deadline);
    if (!job.m_service.empty() && !is_valid_name(job.m_service)) {
        why = reason::bad_name;
        return std::nullopt;
    }
    why = parse_tasks(root, limits, job.m_payloads);
    if (why != reason::none)
        return std::nullopt;
    return job;
}

std::optional<int> parse_ticket_count(const std::string& body, reason& why)
{
    if (body.empty())
        return 1;
    const auto document = json_document::parse(body, why);
    if (!document)
        return std::nullopt;
    why = reason::bad_request;
    const json_object root = document->root();
    const auto count = root.has("count") ? root.integer("count") : std::optional<std::int64_t>(1);
    if (!count || *count < 1 || *count > max_tickets_per_request || !has_only_members(root, {"count"}))
        return std::nullopt;
    return static_cast<int>(*count);
}

api_response make_answer_response(const std::string& ticket, const job_answer& answer)
{
    if (!is_success(answer.m_outcome))
        return make_problem_response(answer.m_outcome, answer.m_retry_after);
    json_writer writer;
    writer.begin_object().key("ticket").text(ticket).key("state").text("complete");
    writer.key("verdict").text(to_text(answer.m_outcome.m_verdict)).key("answers").begin_array();
    for (const std::string& text : answer.m_answers)
        writer.text(text);
    writer.end_array().end_object();
    api_response response;
    response.m_body = writer.to_string();
    response.m_verdict = to_text(answer.m_outcome.m_verdict);
    return response;
}

api_response make_pending_response(const std::string& ticket)
{
    json_writer writer;
    writer.begin_object().key("ticket").text(ticket).key("state").text("running").end_object();
    constexpr unsigned status_accepted = 202;
    api_response response;
    response.m_status = status_accepted;
    response.m_body = writer.to_string();
    return response;
}

api_response make_cancel_response(const std::string& ticket, const outcome& result)
{
    json_writer writer;
    writer.begin_object().key("ticket").text(ticket).key("state").text("ended");
    write_outcome(writer, result);
    writer.end_object();
    api_response response;
    response.m_body = writer.to_string();
    response.m_verdict = to_text(result.m_verdict);
    return response;
}

api_response make_tickets_response(const std::vector<std::string>& tickets, milliseconds lifetime)
{
    json_writer writer;
    writer.begin_object().key("expires_in_ms").integer(lifetime.count()).key("tickets").begin_array();
    for (const std::string& text : tickets)
        writer.text(text);
    writer.end_array().end_object();
    constexpr unsigned status_created = 201;
    api_response response;
    response.m_status = status_created;
    response.m_body = writer.to_string();
    return response;
}

api_response make_problem_response(const outcome& refusal, milliseconds retry_after)
{
    api_response response;
    response.m_status = to_http_status(refusal);
    json_writer writer;
    writer.begin_object().key("type").text("about:blank").key("title").text(to_text(refusal.m_reason));
    writer.key("status").integer(response.m_status);
    write_outcome(writer, refusal);
    if (retry_after.count() > 0)
        writer.key("retry_after_ms").integer(retry_after.count());
    writer.end_object();
    response.m_body = writer.to_string();
    response.m_content_type = "application/problem+json";
    response.m_verdict = to_text(refusal.m_verdict);
    response.m_retry_after = retry_after_seconds(retry_after);
    return response;
}

int parse_wait_seconds(const std::string& prefer)
{
    constexpr std::string_view key = "wait=";
    constexpr int max_wait_seconds = 60;
    const std::size_t found = prefer.find(key);
    if (found == std::string::npos)
        return 0;
    int seconds = 0;
    const char* begin = prefer.data() + found + key.size();
    std::from_chars(begin, prefer.data() + prefer.size(), seconds);
    return std::clamp(seconds, 0, max_wait_seconds);
}

unsigned to_http_status(const outcome& refusal)
{
    switch (refusal.m_reason) {
    case reason::bad_request:
    case reason::bad_json:
    case reason::duplicate_key:
    case reason::no_tasks:
    case reason::bad_name:
    case reason::ticket_malformed:
    case reason::ticket_other_service:
        return 400;
    case reason::unauthorized:
        return 401;
    case reason::ticket_forged:
        return 403;
    case reason::unknown_service:
    case reason::unknown_ticket:
        return 404;
    case reason::body_stalled:
    case reason::body_too_slow:
        return 408;
    case reason::body_differs:
    case reason::cancelled:
        return 409;
    case reason::ticket_expired:
        return 410;
    case reason::body_too_large:
    case reason::payload_too_large:
    case reason::too_many_tasks:
        return 413;
    case reason::never_fits:
    case reason::ticket_too_far_ahead:
        return 422;
    case reason::not_repeatable:
        return 428;
    case reason::team_rate:
        return 429;
    case reason::header_too_large:
        return 431;
    case reason::task_failed:
    case reason::answer_too_large:
        return 500;
    case reason::deadline_passed:
        return 504;
    default:
        return refusal.m_verdict == verdict::not_run ? 503 : 502;
    }
}

} // namespace hawthornpin
