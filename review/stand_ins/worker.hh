// Stand-in for a worker: runs tasks whose `spec` is "CPU DURATION_MS", under leases and fences, and reports
// to its agent. It starts whatever it is told to start (`enforces_capacity` false).

#pragma once

#include "support.hh"

#include <algorithm>
#include <memory>

namespace review {

// One run of a task, as a worker saw it.
struct observed_run {
    std::string m_worker;
    std::string m_task;
    long long m_number = 0;
    std::string m_spec;
    long long m_begin = 0;
    // -1 while it runs.
    long long m_end = -1;
    std::string m_how;
    // Processors in use on the worker after this start, and what it has.
    long long m_used = 0;
    long long m_capacity = 0;
};

// What all workers of a case saw.
class observer {
public:
    explicit observer(record& to) : m_record(to) {}

    std::size_t begin(observed_run run);
    void end(std::size_t index, const std::string& how);
    std::vector<observed_run> runs() const;
    record& lines() { return m_record; }

private:
    record& m_record;
    mutable std::mutex m_mutex;
    std::vector<observed_run> m_runs;
};

struct worker_settings {
    std::string m_id;
    std::string m_service = "svc";
    // Where the agent calls this worker, and where this worker reports.
    std::string m_address;
    std::string m_report_address;
    std::string m_zone = "z";
    long long m_cpu = 16000;
    std::vector<std::string> m_labels = {"a", "r1"};
    long long m_heartbeat_ms = 1500;
    // From the start of the worker to its first heartbeat.
    long long m_first_heartbeat_ms = 0;
};

class worker {
public:
    // Decides about a call before the worker handles it: a response to give instead, or nothing.
    using interceptor =
        std::function<std::optional<std::string>(const http_message& request, connection& from)>;

    worker(worker_settings settings, observer& seen);
    ~worker();
    worker(const worker&) = delete;
    worker& operator=(const worker&) = delete;

    bool start();
    // Ends at once; everything that runs ends with it.
    void crash();
    // Starts again after crash(), with other settings. It knows nothing of before.
    bool restart(worker_settings settings);
    // Reports that it is draining, at once and from now on; the time of the acknowledgement, or -1.
    long long drain();
    // Sends the deregistration; the status of the answer, 0 if there was none.
    int deregister(bool is_connection_reset);
    void set_interceptor(interceptor intercept);
    // For how long the newest `hold` call will still wait for an end; 0 if none does.
    long long hold_left() const { return std::max(0LL, m_hold_until - now_ms()); }
    // Carries out a run-start call and returns the response.
    std::string run_start(const std::string& body);

private:
    struct running_task {
        long long m_number = 0;
        long long m_cpu = 0;
        long long m_begin = 0;
        long long m_duration = 0;
        long long m_stopped_at = -1;
        std::size_t m_observed = 0;
    };
    struct listed_end {
        long long m_sequence = 0;
        std::string m_task;
        long long m_run = 0;
        std::string m_how;
    };

    std::string handle(const http_message& request, connection& from);
    std::string run_stop(const std::string& body);
    std::string hold(const std::string& body);
    std::string list(long long last_seen);
    std::string refusal(const char* reason) const;
    std::string head() const;
    long long clock_ms() const;
    bool admit_fence(const std::string& body);
    void extend_lease(const std::string& body);
    void end_run(const std::string& task, const std::string& how);
    void advance();
    void tick_forever();
    void report_forever();
    int report();

    worker_settings m_settings;
    observer& m_seen;
    interceptor m_intercept;
    mutable std::mutex m_mutex;
    std::atomic<long long> m_hold_until{0};
    long long m_started_at = 0;
    long long m_born = 0;
    long long m_fence = 0;
    long long m_deadline = 0;
    long long m_sequence = 0;
    std::mutex m_report_mutex;
    std::atomic<bool> m_is_draining{false};
    long long m_end_count = 0;
    std::map<std::string, running_task> m_running;
    std::vector<listed_end> m_ends;
    // Highest run that was stopped or ended, by task.
    std::map<std::string, long long> m_closed;
    std::atomic<bool> m_is_up{false};
    std::unique_ptr<http_server> m_server;
    std::thread m_ticker;
    std::thread m_reporter;
};

} // namespace review
