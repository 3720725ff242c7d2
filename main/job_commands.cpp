// The subcommands that call entries and operator addresses over HTTP.

#include "core/json.h"
#include "http/caller_messages.h"
#include "main/command_line.h"
#include "platform/http_client.h"

#include <cstdlib>
#include <iostream>

namespace hawthornpin {

namespace {

constexpr unsigned command_connections = 2;
constexpr unsigned first_error_status = 400;

std::string read_caller_key(const command_call& call)
{
    if (call.m_options.count("key") != 0)
        return call.m_options["key"].as<std::string>();
    const char* variable = std::getenv("HAWTHORNPIN_KEY");
    return variable == nullptr ? "" : variable;
}

http_response send_to_entry(event_loop& loop, const command_call& call, const std::string& method,
                            const std::string& path, const std::string& body = {},
                            std::vector<http_header> headers = {})
{
    http_client client(command_connections);
    headers.push_back({"Authorization", "Bearer " + read_caller_key(call)});
    const std::string url = "http://" + call.m_options["entry"].as<std::string>() + path;
    return run_until_complete(loop, client.send({method, url, body, std::move(headers)}));
}

exit_code exit_code_for(const std::string& verdict)
{
    if (verdict == "not_run")
        return exit_code::refused;
    return verdict == "may_have_run" ? exit_code::unknown_outcome : exit_code::failure;
}

// Prints a refusal or failure; with --json, the problem document itself.
exit_code report_problem(const http_response& response, bool is_json)
{
    if (response.m_transport != http_transport::answered) {
        const bool is_not_run = is_unsent(response.m_transport);
        std::cerr
            << (is_not_run
                    ? "the entry can't be reached; nothing was sent\n"
                    : "the connection was lost; the job may have run: submit again with the same ticket\n");
        return is_not_run ? exit_code::refused : exit_code::unknown_outcome;
    }
    if (is_json)
        std::cout << response.m_body << '\n';
    reason why = reason::none;
    const auto document = json_document::parse(response.m_body, why);
    if (!document) {
        std::cerr << "unexpected answer, status " << response.m_status << '\n';
        return exit_code::failure;
    }
    const json_object root = document->root();
    const std::string verdict = root.text("verdict").value_or("may_have_run");
    if (!is_json) {
        std::cerr << "refused: " << root.text("reason").value_or("unknown") << "; verdict " << verdict
                  << ", ticket " << root.text("ticket_state").value_or("unknown");
        if (const auto wait = root.integer("retry_after_ms"))
            std::cerr << ", try again after " << *wait << " ms";
        std::cerr << '\n';
    }
    return exit_code_for(verdict);
}

bool is_failure(const http_response& response)
{
    return response.m_transport != http_transport::answered || response.m_status >= first_error_status;
}

exit_code report_answer(const http_response& response, bool is_json)
{
    if (is_failure(response))
        return report_problem(response, is_json);
    if (is_json) {
        std::cout << response.m_body << '\n';
        return exit_code::success;
    }
    reason why = reason::none;
    const auto document = json_document::parse(response.m_body, why);
    if (!document) {
        std::cerr << "unexpected answer\n";
        return exit_code::failure;
    }
    const json_object root = document->root();
    if (const auto verdict = root.text("verdict"); verdict && root.text("reason") && !root.has("answers")) {
        std::cout << "verdict " << *verdict << ", reason " << *root.text("reason") << '\n';
        return exit_code::success;
    }
    std::cout << root.text("state").value_or("") << '\n';
    std::size_t index = 0;
    for (const std::string& answer : root.texts("answers"))
        std::cout << "  task " << index++ << ": " << answer << '\n';
    return exit_code::success;
}

std::optional<std::vector<std::string>> take_tickets(event_loop& loop, const command_call& call,
                                                     const std::string& service, int count, exit_code& code)
{
    json_writer writer;
    writer.begin_object().key("count").integer(count).end_object();
    const auto response =
        send_to_entry(loop, call, "POST", "/v1/services/" + service + "/tickets", writer.to_string());
    reason why = reason::none;
    const auto document = is_failure(response) ? std::nullopt : json_document::parse(response.m_body, why);
    if (!document) {
        code = report_problem(response, call.m_is_json);
        return std::nullopt;
    }
    return document->root().texts("tickets");
}

std::string make_job(const command_call& call)
{
    json_writer writer;
    writer.begin_object().key("tasks").begin_array();
    for (std::size_t index = 1; index < call.m_arguments.size(); ++index)
        writer.begin_object().key("payload").text(call.m_arguments[index]).end_object();
    writer.end_array().key("deadline_ms").integer(call.m_options["deadline-ms"].as<int>()).end_object();
    return writer.to_string();
}

exit_code send_to_operator(event_loop& loop, const command_call& call, const std::string& method,
                           const std::string& path)
{
    if (call.m_options.count("operator") == 0) {
        std::cerr << "--operator ADDRESS is needed\n";
        return exit_code::bad_input;
    }
    http_client client(command_connections);
    const std::string url = "http://" + call.m_options["operator"].as<std::string>() + path;
    const auto response = run_until_complete(loop, client.send({method, url, "", {}}));
    if (is_failure(response)) {
        std::cerr << "no successful response from the operator address\n";
        return exit_code::failure;
    }
    std::cout << response.m_body;
    if (!response.m_body.ends_with('\n'))
        std::cout << '\n';
    return exit_code::success;
}

} // namespace

exit_code run_ticket(event_loop& loop, const command_call& call)
{
    exit_code code = exit_code::success;
    const auto tickets =
        take_tickets(loop, call, call.m_arguments[0], call.m_options["count"].as<int>(), code);
    if (!tickets)
        return code;
    if (call.m_is_json) {
        json_writer writer;
        writer.begin_object().key("tickets").begin_array();
        for (const std::string& text : *tickets)
            writer.text(text);
        writer.end_array().end_object();
        std::cout << writer.to_string() << '\n';
        return exit_code::success;
    }
    for (const std::string& text : *tickets)
        std::cout << text << '\n';
    return exit_code::success;
}

exit_code run_submit(event_loop& loop, const command_call& call)
{
    std::string ticket;
    if (call.m_options.count("ticket") != 0) {
        ticket = call.m_options["ticket"].as<std::string>();
    }
    else {
        exit_code code = exit_code::success;
        const auto tickets = take_tickets(loop, call, call.m_arguments[0], 1, code);
        if (!tickets)
            return code;
        ticket = tickets->front();
    }
    // Printed first, so that the job can be queried and repeated whatever happens next.
    std::cerr << "ticket " << ticket << '\n';
    return report_answer(send_to_entry(loop, call, "PUT", "/v1/jobs/" + ticket, make_job(call)),
                         call.m_is_json);
}

exit_code run_status(event_loop& loop, const command_call& call)
{
    const std::string wait = "wait=" + std::to_string(call.m_options["wait"].as<int>());
    return report_answer(
        send_to_entry(loop, call, "GET", "/v1/jobs/" + call.m_arguments[0], "", {{"Prefer", wait}}),
        call.m_is_json);
}

exit_code run_cancel(event_loop& loop, const command_call& call)
{
    return report_answer(send_to_entry(loop, call, "DELETE", "/v1/jobs/" + call.m_arguments[0]),
                         call.m_is_json);
}

exit_code run_drain(event_loop& loop, const command_call& call)
{
    return send_to_operator(loop, call, "POST", "/drain");
}

exit_code run_members(event_loop& loop, const command_call& call)
{
    return send_to_operator(loop, call, "GET", "/members");
}

} // namespace hawthornpin
