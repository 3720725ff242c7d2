// Submits the trace's jobs, repeats submissions, and checks the answers.

#include "bench/load_client.h"

#include "core/json.h"

#include <algorithm>

namespace hawthornpin::bench {

namespace {

constexpr unsigned connections_per_client = 100;
constexpr std::size_t client_count = 64;
constexpr unsigned repeat_pause_ms = 100;
constexpr unsigned arrival_check_ms = 1;
constexpr unsigned status_error = 400;
constexpr int ticket_batch = 50;

std::string make_echo(std::size_t job, std::size_t task)
{
    return std::to_string(job) + "." + std::to_string(task);
}

} // namespace

load_client::load_client(event_loop& loop, client_plan plan, std::vector<trace_job> jobs)
    : m_loop(loop), m_plan(std::move(plan)), m_jobs(std::move(jobs)), m_results(m_jobs.size())
{
    for (std::size_t index = 0; index < client_count; ++index)
        m_clients.push_back(std::make_unique<http_client>(connections_per_client));
}

void load_client::run()
{
    m_begin = m_clock.now();
    m_timer = std::make_unique<timer>(arrival_check_ms, [this] {
        while (m_next < m_jobs.size() && m_clock.now() >= m_begin + m_jobs[m_next].m_arrival)
            start_job(m_next++);
        if (m_next == m_jobs.size() && m_open_jobs == 0)
            m_loop.stop();
        return true;
    });
    m_loop.run();
    m_timer.reset();
}

const std::string& load_client::entry_for(std::size_t job, int attempts) const
{
    return m_plan.m_entries[(job + static_cast<std::size_t>(attempts)) % m_plan.m_entries.size()];
}

void load_client::start_job(std::size_t job)
{
    ++m_open_jobs;
    m_tasks.add(run_job(job).then([this] { --m_open_jobs; }));
}

kj::Promise<void> load_client::run_job(std::size_t job)
{
    return request_ticket(job, 0).then([this, job] {
        return m_results[job].m_ticket.empty() ? kj::Promise<void>(kj::READY_NOW) : submit_job(job, 0);
    });
}

// Tickets are requested in batches, ahead of need, as callers are allowed to.
kj::Promise<void> load_client::request_ticket(std::size_t job, int attempts)
{
    auto& available = m_tickets[m_jobs[job].m_team];
    if (!available.empty()) {
        m_results[job].m_ticket = std::move(available.back());
        available.pop_back();
        return kj::READY_NOW;
    }
    const std::string& key = m_plan.m_keys[m_jobs[job].m_team % m_plan.m_keys.size()];
    http_request request{"POST",
                         "http://" + entry_for(job, attempts) + "/v1/services/" + m_plan.m_service +
                             "/tickets",
                         "{\"count\":" + std::to_string(ticket_batch) + "}",
                         {{"Authorization", "Bearer " + key}}};
    return client_for(job).send(request).then(
        [this, job, attempts](http_response response) -> kj::Promise<void> {
            reason why = reason::none;
            const bool is_answered =
                response.m_transport == http_transport::answered && response.m_status < status_error;
            const auto document = is_answered ? json_document::parse(response.m_body, why) : std::nullopt;
            if (document) {
                auto received = document->root().texts("tickets");
                m_results[job].m_ticket = std::move(received.back());
                received.pop_back();
                auto& unused = m_tickets[m_jobs[job].m_team];
                std::move(received.begin(), received.end(), std::back_inserter(unused));
                return kj::READY_NOW;
            }
            if (attempts >= m_plan.m_max_repeats) {
                m_results[job].m_verdict = "not_run";
                m_results[job].m_reason = "no_ticket";
                return kj::READY_NOW;
            }
            return after_delay(repeat_pause_ms).then([this, job, attempts] {
                return request_ticket(job, attempts + 1);
            });
        });
}

std::string load_client::make_body(std::size_t job) const
{
    std::string body = "{\"deadline_ms\":" + std::to_string(m_plan.m_deadline.count()) + ",\"tasks\":[";
    for (std::size_t task = 0; task < m_jobs[job].m_run_times.size(); ++task) {
        body += task == 0 ? "" : ",";
        body += "{\"payload\":\"{\\\"run_ms\\\":" + std::to_string(m_jobs[job].m_run_times[task].count()) +
                ",\\\"echo\\\":\\\"" + make_echo(job, task) + "\\\"}\"}";
    }
    return body + "]}";
}

kj::Promise<void> load_client::submit_job(std::size_t job, int attempts)
{
    const std::string& key = m_plan.m_keys[m_jobs[job].m_team % m_plan.m_keys.size()];
    http_request request{"PUT",
                         "http://" + entry_for(job, attempts) + "/v1/jobs/" + m_results[job].m_ticket,
                         make_body(job),
                         {{"Authorization", "Bearer " + key}}};
    return client_for(job).send(request).then(
        [this, job, attempts](http_response response) -> kj::Promise<void> {
            // A ticket that is still open may be submitted again unchanged.
            const bool is_lost = response.m_transport != http_transport::answered;
            const bool is_open = response.m_body.find("\"ticket_state\":\"open\"") != std::string::npos;
            const bool is_refused_for_load = response.m_verdict == "not_run";
            const bool is_worth_repeating =
                is_lost || (is_open && !is_refused_for_load) ||
                (is_open && response.m_body.find("home_unreachable") != std::string::npos);
            if (is_worth_repeating && attempts < m_plan.m_max_repeats) {
                ++m_results[job].m_repeats;
                return after_delay(repeat_pause_ms).then([this, job, attempts] {
                    return submit_job(job, attempts + 1);
                });
            }
            record_result(job, response);
            return kj::READY_NOW;
        });
}

void load_client::record_result(std::size_t job, const http_response& response)
{
    job_result& result = m_results[job];
    const auto elapsed = m_clock.now() - m_begin - m_jobs[job].m_arrival + m_plan.m_client_link * 2;
    result.m_response = std::chrono::duration_cast<milliseconds>(elapsed);
    if (response.m_transport != http_transport::answered) {
        result.m_verdict = "may_have_run";
        result.m_reason = "no_answer";
        return;
    }
    reason why = reason::none;
    const auto document = json_document::parse(response.m_body, why);
    if (!document) {
        result.m_verdict = "unreadable";
        return;
    }
    const json_object root = document->root();
    result.m_verdict = root.text("verdict").value_or("");
    result.m_reason = root.text("reason").value_or("");
    result.m_has_retry_after = root.has("retry_after_ms");
    result.m_is_ticket_open = root.text("ticket_state") == "open";
    if (response.m_status >= status_error)
        return;
    result.m_is_complete = true;
    const auto answers = root.texts("answers");
    result.m_is_correct = answers.size() == m_jobs[job].m_run_times.size();
    for (std::size_t task = 0; result.m_is_correct && task < answers.size(); ++task)
        result.m_is_correct = answers[task] == make_echo(job, task);
}

} // namespace hawthornpin::bench
