// Durations in virtual time.

#pragma once

#include "core/instant.h"

namespace hawthornpin::fault_matrix {

// Latency of a message without faults.
inline constexpr milliseconds link_latency{1};
// Time after which the sender of a lost message notices the loss.
inline constexpr milliseconds loss_detection_time{150};
// Longer than loss_detection_time, so that the message arrives after its sender has handled the loss.
inline constexpr milliseconds long_delay{400};
inline constexpr milliseconds short_delay{5};
// Long enough for later messages to arrive first.
inline constexpr milliseconds reordering_delay{25};
// How long a process is suspended, or the log is down or slow.
inline constexpr milliseconds pause_duration{700};
inline constexpr milliseconds restart_delay{120};
// After this time the target stops the tasks of an agent that has ended.
inline constexpr milliseconds lease_duration{600};
inline constexpr milliseconds tick_interval{50};
inline constexpr milliseconds heartbeat_interval{200};
inline constexpr milliseconds status_interval{250};
// Simulated time of one run.
inline constexpr milliseconds total_time{9'000};

} // namespace hawthornpin::fault_matrix
