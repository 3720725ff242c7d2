// Simulates a worker of the platform in virtual time: runs, leases, fencing tokens, ends of runs, and orders
// that are carried out late.

#pragma once

#include "world/run_messages.h"
#include "world/worker_report.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hawthornpin::model {

// Instants and durations are in milliseconds of virtual time.
class model_worker {
public:
    model_worker(std::string id, long long now, const resources& capacity = default_capacity)
        : m_id(std::move(id)), m_capacity(capacity)
    {
        begin_incarnation(now);
    }

    // Starts a new incarnation under the same id, without any state of the previous one.
    void begin_incarnation(long long now);
    void begin_incarnation(long long now, const resources& capacity);
    void crash() { m_is_up = false; }
    // From now on, the worker reports that it is draining.
    void begin_draining() { m_is_draining = true; }

    // Advances to `now`: ends the runs that are done, stopped or whose lease has lapsed.
    void advance(long long now);

    start_answer start(const run_order& order, std::int64_t fence, std::int64_t deadline_ms,
                       long long duration, long long now);
    void stop(const run_id& run, std::int64_t fence, long long now);
    // Extends the lease and lists the runs. Empty if the fencing token is lower than one seen before.
    std::optional<run_listing> list(const renewal& request, long long now);
    bool has_new_ends(std::int64_t last_seen) const;
    // Whether the run is listed as done and its end has not been acknowledged yet.
    bool has_completed(const run_id& run) const;

    worker_report make_report(long long now);
    std::int64_t clock_ms(long long now) const;

    const std::string& id() const { return m_id; }
    long long incarnation_started() const { return m_incarnation_started; }
    bool is_up() const { return m_is_up; }
    bool is_draining() const { return m_is_draining; }
    // Runs that occupy capacity: those that run and those that are being stopped.
    std::vector<run_id> occupying_runs() const;
    resources used() const;
    const resources& capacity() const { return m_capacity; }

    static constexpr resources default_capacity{8'000, 8'192, 0};

private:
    struct active_run {
        resources m_needs;
        long long m_started = 0;
        long long m_ends = 0;
        // When the stop was requested; set while the run is being stopped.
        std::optional<long long> m_stopped_at;
    };

    bool admit_fence(std::int64_t fence);
    void end_run(const run_id& run, run_end kind);

    std::string m_id;
    resources m_capacity;
    bool m_is_up = true;
    bool m_is_draining = false;
    long long m_incarnation_started = 0;
    std::int64_t m_report_sequence = 0;
    std::int64_t m_fence = 0;
    std::int64_t m_deadline_ms = 0;
    std::map<run_id, active_run> m_runs;
    std::vector<listed_end> m_ends;
    std::int64_t m_end_count = 0;
    // Highest run number that ended or was stopped here, by task.
    std::map<task_id, std::uint32_t> m_closed;
};

} // namespace hawthornpin::model
