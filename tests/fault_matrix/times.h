// Spans of virtual time.

#pragma once

#include "core/instant.h"

namespace hawthornpin::fault_matrix {

inline constexpr milliseconds link_latency{1};
inline constexpr milliseconds loss_detection_time{150};
inline constexpr milliseconds long_delay{400};
inline constexpr milliseconds short_delay{5};
inline constexpr milliseconds reordering_delay{25};
inline constexpr milliseconds pause_duration{700};
inline constexpr milliseconds restart_delay{120};
inline constexpr milliseconds lease_duration{600};
inline constexpr milliseconds tick_interval{50};
inline constexpr milliseconds heartbeat_interval{200};
inline constexpr milliseconds status_interval{250};
inline constexpr milliseconds total_time{9'000};

} // namespace hawthornpin::fault_matrix
