// Messages of a worker: reports about itself, the list of its runs, and answers to starts and renewals.

#pragma once

#include "core/instant.h"
#include "world/work_request.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hawthornpin {

// One incarnation of a worker.
struct worker_incarnation {
    std::string m_id;
    // Start time in Unix milliseconds; distinguishes incarnations with the same id.
    std::int64_t m_started_unix_ms = 0;

    friend auto operator<=>(const worker_incarnation&, const worker_incarnation&) = default;
};

// A worker's report about itself.
struct worker_report {
    worker_incarnation m_identity;
    std::string m_service;
    std::string m_address;
    std::string m_zone;
    resources m_capacity;
    // Labels, among them the class and the rack of its machine.
    std::vector<std::string> m_labels;
    bool m_is_draining = false;
    // Minimum time left until the worker stops, while it is draining.
    milliseconds m_remaining{0};
    // Increases with each report of one incarnation.
    std::int64_t m_sequence = 0;

    friend bool operator==(const worker_report&, const worker_report&) = default;
};

// How a run ended on its worker. lapsed, broken and alone count as lost.
enum class run_end { done, failed, stopped, lapsed, broken, alone };

// A run that a worker lists as running.
struct listed_run {
    run_id m_run;
    // Progress, 0 to 100.
    int m_percent = 0;

    friend bool operator==(const listed_run&, const listed_run&) = default;
};

// An ended run that a worker lists until its number is acknowledged.
struct listed_end {
    std::int64_t m_number = 0;
    run_id m_run;
    run_end m_end_kind = run_end::done;

    friend bool operator==(const listed_end&, const listed_end&) = default;
};

// A worker's answer to a renewal of its lease.
struct run_listing {
    // The worker's own clock, in milliseconds of that clock.
    std::int64_t m_worker_clock_ms = 0;
    // Start time of the worker's incarnation; absent if the worker does not report it.
    std::optional<std::int64_t> m_started_unix_ms;
    std::vector<listed_run> m_running;
    std::vector<listed_end> m_ended;

    friend bool operator==(const run_listing&, const run_listing&) = default;
};

// The worker's answer to a start.
enum class start_answer {
    started,
    // Refusals from fenced to malformed: nothing was started.
    fenced,
    run_too_old,
    deadline_passed,
    no_room,
    other_life,
    unhealthy,
    malformed,
    // The three below: the start was not sent. No connection to the worker was made.
    unreachable,
    // Another incarnation than the intended one answers at the worker's address.
    other_incarnation,
    // The worker did not name its incarnation in time, or there was no free connection.
    not_sent,
    // An answer that the protocol does not name: the run may have been started.
    unexpected,
    // The connection ended without an answer: the run may have been started.
    disconnected,
    // No answer in time: the run may have been started, or may still be started later.
    unanswered,
};

const char* to_text(start_answer answer);

// A request to a worker for the ends after number m_last_seen, and for a renewal of the lease if
// m_deadline_ms is set.
struct renewal {
    std::int64_t m_fence = 0;
    std::int64_t m_last_seen = 0;
    // End of the renewed lease on the worker's clock.
    std::optional<std::int64_t> m_deadline_ms;
    milliseconds m_wait{0};
    instant m_asked_at;
    // Start time of the incarnation that is meant. Another one is sent neither the lease nor m_last_seen, and
    // lists its runs all the same. Unset if no incarnation is known.
    std::optional<std::int64_t> m_worker_started;
};

// Result of a renewal.
enum class renewal_status {
    listed,
    // The worker has received a higher fence.
    fenced,
    // Another worker or another incarnation runs at the address.
    other_life,
    // No connection to the worker was made.
    unreachable,
    // The connection ended without an answer.
    disconnected,
    unanswered,
};

const char* to_text(renewal_status status);

struct renewal_answer {
    renewal_status m_status = renewal_status::unanswered;
    // Valid only if m_status is listed.
    run_listing m_listing;
};

} // namespace hawthornpin
