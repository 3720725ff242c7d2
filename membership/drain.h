// Draining: the steps of a graceful shutdown, as a state machine without I/O that the process advances.

#pragma once

#include "core/instant.h"

namespace hawthornpin {

// Steps in order. An agent skips `lingering`, because its own messages report to its peers that it is
// leaving.
enum class drain_step { serving, lingering, finishing, finished };

struct drain_limits {
    // How long an entry still accepts requests after its readiness check has begun to fail.
    milliseconds m_linger{2'000};
    // How long the process then waits for requests in progress before it exits regardless.
    milliseconds m_grace{30'000};
};

struct drain_state {
    drain_limits m_limits;
    drain_step m_step = drain_step::serving;
    instant m_started;
};

// Begins the drain; repeated calls change nothing.
void begin_drain(drain_state& state, instant now);

// Advances by time and by the number of requests still in progress. Returns the step to act on.
drain_step advance_drain(drain_state& state, int in_progress, instant now);

inline bool is_draining(const drain_state& state)
{
    return state.m_step != drain_step::serving;
}

} // namespace hawthornpin
