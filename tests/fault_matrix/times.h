// Spans of virtual time.

#pragma once

#include "core/instant.h"

namespace hawthornpin::fault_matrix {

inline constexpr milliseconds link_time{1};
inline constexpr milliseconds loss_notice{150};
inline constexpr milliseconds long_delay{400};
inline constexpr milliseconds short_delay{5};
inline constexpr milliseconds overtaken_delay{25};
inline constexpr milliseconds pause_time{700};
inline constexpr milliseconds restart_time{120};
inline constexpr milliseconds lease_time{600};
inline constexpr milliseconds tick_time{50};
inline constexpr milliseconds heartbeat{200};
inline constexpr milliseconds status_time{250};
inline constexpr milliseconds run_time{9'000};

} // namespace hawthornpin::fault_matrix
