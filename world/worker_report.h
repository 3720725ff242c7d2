// What a worker says of itself, and what it lists of its runs.

#pragma once

#include "core/instant.h"
#include "world/work_request.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hawthornpin {

// One life of a worker.
struct worker_incarnation {
    std::string m_id;
    // Start of this life in Unix milliseconds; tells two lives under one id apart.
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
    // The kind and the rack of its machine among others.
    std::vector<std::string> m_labels;
    bool m_is_draining = false;
    // Least time left while draining.
    milliseconds m_remaining{0};
    // Rises with each report of one life.
    std::int64_t m_sequence = 0;

    friend bool operator==(const worker_report&, const worker_report&) = default;
};

// How a run ended on its worker.
enum class run_end { done, failed, stopped, lapsed, broken, alone };

// A run that a worker lists as running.
struct listed_run {
    run_id m_run;
    // Progress, 0 to 100.
    int m_percent = 0;

    friend bool operator==(const listed_run&, const listed_run&) = default;
};

// An end that a worker lists until it is acknowledged by number.
struct listed_end {
    std::int64_t m_number = 0;
    run_id m_run;
    run_end m_end_kind = run_end::done;

    friend bool operator==(const listed_end&, const listed_end&) = default;
};

// A worker's answer to a renewal of its lease.
struct run_listing {
    // The worker's own clock, in its milliseconds.
    std::int64_t m_worker_clock_ms = 0;
    // Absent in answers of a worker that does not say it.
    std::optional<std::int64_t> m_started_unix_ms;
    std::vector<listed_run> m_running;
    std::vector<listed_end> m_ended;

    friend bool operator==(const run_listing&, const run_listing&) = default;
};

// The worker's answer to a start.
enum class start_answer {
    started,
    // Refusals; nothing was done.
    fenced,
    run_too_old,
    deadline_passed,
    no_room,
    other_life,
    unhealthy,
    malformed,
    // No answer; the start may have been carried out, or may be later.
    unanswered,
};

const char* to_text(start_answer answer);

// What to ask the worker next: ends since m_last_seen, and a longer lease if there is a deadline.
struct renewal {
    std::int64_t m_fence = 0;
    std::int64_t m_last_seen = 0;
    // On the worker's clock.
    std::optional<std::int64_t> m_deadline_ms;
    milliseconds m_wait{0};
    instant m_asked_at;
};
// How a renewal ended.
enum class renewal_status {
    listed,
    // The worker has seen a higher fence.
    fenced,
    // Another worker or another life of it runs at the address.
    other_life,
    unanswered,
};

struct renewal_answer {
    renewal_status m_status = renewal_status::unanswered;
    // Meaningful when listed.
    run_listing m_listing;
};

} // namespace hawthornpin
