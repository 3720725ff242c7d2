// Request and response bodies of the caller interface.

#pragma once

#include "dispatch/messages.h"
#include "http/api_server.h"
#include "world/contract.h"

#include <optional>
#include <string>
#include <vector>

namespace hawthornpin {

// A job as a caller describes it.
struct job_request {
    // Empty if the body does not name it.
    std::string m_service;
    std::vector<std::string> m_payloads;
    task_needs m_needs;
    // Zero if the body gives no deadline.
    milliseconds m_deadline{0};

    friend bool operator==(const job_request&, const job_request&) = default;
};

// Maximum number of tickets that one request can ask for.
inline constexpr int max_tickets_per_request = 1000;

// Reads {"tasks":[{"payload":"..."}...],"deadline_ms":N,"needs":{...},"service":"..."}. Unknown members are
// refused, so that misspelt ones are detected.
std::optional<job_request> parse_job(const std::string& body, const contract& limits, reason& why);

// Reads {"count":N}; an empty body asks for one.
std::optional<int> parse_ticket_count(const std::string& body, reason& why);

// The response to a job: 200 with all answers, or a problem document.
api_response make_answer_response(const std::string& ticket, const job_answer& answer);
api_response make_pending_response(const std::string& ticket);
api_response make_cancel_response(const std::string& ticket, const outcome& result);
api_response make_tickets_response(const std::vector<std::string>& tickets, milliseconds lifetime);

// A problem document (RFC 9457) with verdict, reason and the state of the ticket.
api_response make_problem_response(const outcome& refusal, milliseconds retry_after = milliseconds(0));

// Seconds of a "Prefer: wait=N" header; zero without one.
int parse_wait_seconds(const std::string& prefer);

// The HTTP status of a refusal or failure.
unsigned to_http_status(const outcome& refusal);

} // namespace hawthornpin
