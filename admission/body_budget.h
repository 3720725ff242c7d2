// Memory and time limits of the request bodies that a process is receiving. Decides which body ends when the
// memory is exhausted, so that clients that don't complete their bodies can't keep others from being served.
// Reads no clock.

#pragma once

#include "core/instant.h"
#include "core/verdict.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace hawthornpin {

struct body_limits {
    // Memory of all bodies in progress.
    std::size_t m_max_bytes = std::size_t{64} * 1024 * 1024;
    // Ordinary bodies are complete within milliseconds; a body that is younger than this is not evicted.
    milliseconds m_protected_for{100};
    // Longest time without input of a body: several retransmission timeouts of TCP.
    milliseconds m_stall_timeout{10'000};
    // Longest time until a body is complete: no caller is assumed to wait longer for its answer.
    milliseconds m_total_timeout{30'000};

    friend bool operator==(const body_limits&, const body_limits&) = default;
};

// Time during which the process was running, as far as it is observed. A gap between two observations counts
// as a second at most, so that a process that was suspended or stopped does not take its own pause for
// silence of its clients.
class activity_clock {
public:
    // The running time at `now`.
    instant observe(instant now);

private:
    std::optional<instant> m_observed_at;
    instant m_running_time;
};

// A body that is being received. Times are running times.
struct body_in_progress {
    std::size_t m_bytes = 0;
    instant m_began_at;
    instant m_progressed_at;
};

struct body_budget {
    body_limits m_limits;
    activity_clock m_clock;
    // By id, and therefore in the order in which they began.
    std::map<std::uint64_t, body_in_progress> m_bodies;
    // Sum over the bodies.
    std::size_t m_bytes = 0;
    std::uint64_t m_next_id = 1;
};

// What a reservation led to. Evicted bodies have left the budget.
struct reservation {
    bool m_is_granted = false;
    std::vector<std::uint64_t> m_evicted;

    friend bool operator==(const reservation&, const reservation&) = default;
};

// A body that has exceeded a time limit: body_stalled or body_too_slow.
struct overdue_body {
    std::uint64_t m_id = 0;
    reason m_reason = reason::none;

    friend bool operator==(const overdue_body&, const overdue_body&) = default;
};

// Adds a body without memory and returns its id.
std::uint64_t begin_body(body_budget& budget, instant now);

// Raises the memory of a body to `bytes` and evicts older bodies if it does not fit. A body that is alone is
// always granted its memory, because the size of a single body is limited elsewhere.
reservation reserve_body(body_budget& budget, std::uint64_t id, std::size_t bytes, instant now);

// Records that input of the body arrived. No effect if the body has left the budget.
void record_body_progress(body_budget& budget, std::uint64_t id, instant now);

// Releases the memory of a body. No effect if the body has left the budget.
void end_body(body_budget& budget, std::uint64_t id);

// Removes the bodies that have exceeded a time limit and returns them.
std::vector<overdue_body> take_overdue_bodies(body_budget& budget, instant now);

} // namespace hawthornpin
