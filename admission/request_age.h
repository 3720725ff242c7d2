// The age of a caller's request when it is read, and what follows from it: a process that was suspended or is
// short of processor time reads requests whose callers have stopped waiting, and submitted them again
// elsewhere.
//
// Pure: time is an argument.

#pragma once

#include "core/instant.h"

#include <compare>
#include <optional>

namespace hawthornpin {

// By the clock of boot_now().
struct request_age {
    // No later than the arrival of the request's first byte.
    instant m_received_at;
    // When the caller's connection was last known to be alive.
    instant m_heard_at;

    friend auto operator<=>(const request_age&, const request_age&) = default;
};

// How long a caller waits for the response to a request.
struct caller_patience {
    // Empty if the caller did not state it.
    std::optional<milliseconds> m_stated;
    // Assumed in that case.
    milliseconds m_default{0};
    // Time after which a caller that got no response submits its job again.
    milliseconds m_resubmit_after{0};
};

// When the caller stops waiting.
instant caller_deadline(const request_age& age, const caller_patience& patience);

// Whether the caller may have stopped waiting before the request was read. If it does not state how long it
// waits, it may have submitted the job again after m_resubmit_after.
bool may_be_abandoned(const request_age& age, const caller_patience& patience, instant now);

} // namespace hawthornpin
