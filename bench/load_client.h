// Load generator: simulates callers of the entries in an open loop and records the answers.

#pragma once

#include "bench/workload.h"
#include "core/event_loop.h"
#include "platform/http_client.h"

#include <map>
#include <memory>

namespace hawthornpin::bench {

// Behaviour of the simulated callers.
struct client_plan {
    std::vector<std::string> m_entries;
    std::string m_service = "circles";
    // Keys of the teams, in the order of the trace's team numbers.
    std::vector<std::string> m_keys;
    milliseconds m_deadline{30'000};
    // One-way latency between callers and entries, added in both directions.
    microseconds m_client_link{0};
    // How often a caller repeats a ticket request, or submits the same ticket again, after a lost answer.
    int m_max_repeats = 10;
};

// Result of one job.
struct job_result {
    bool m_is_complete = false;
    // The answer holds the echo of every task, in order.
    bool m_is_correct = false;
    std::string m_verdict;
    std::string m_reason;
    milliseconds m_response{0};
    int m_repeats = 0;
    bool m_has_retry_after = false;
    bool m_is_ticket_open = false;
    std::string m_ticket;
};

class load_client {
public:
    load_client(event_loop& loop, client_plan plan, std::vector<trace_job> jobs);

    // Runs the whole trace and waits for the last answer.
    void run();

    const std::vector<job_result>& results() const { return m_results; }

private:
    void start_job(std::size_t job);
    kj::Promise<void> run_job(std::size_t job);
    kj::Promise<void> request_ticket(std::size_t job, int attempts);
    kj::Promise<void> submit_job(std::size_t job, int attempts);
    void record_result(std::size_t job, const http_response& response);
    std::string make_body(std::size_t job) const;
    http_client& client_for(std::size_t job) { return *m_clients[job % m_clients.size()]; }
    const std::string& entry_for(std::size_t job, int attempts) const;

    event_loop& m_loop;
    client_plan m_plan;
    std::vector<trace_job> m_jobs;
    std::vector<job_result> m_results;
    std::map<std::size_t, std::vector<std::string>> m_tickets;
    // Several clients, because a single one slows down with thousands of requests in progress.
    std::vector<std::unique_ptr<http_client>> m_clients;
    process_clock m_clock;
    instant m_begin;
    std::size_t m_next = 0;
    std::size_t m_open_jobs = 0;
    background_tasks m_tasks;
    std::unique_ptr<timer> m_timer;
};

} // namespace hawthornpin::bench
