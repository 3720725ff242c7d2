// Refuses a share of the new jobs while a process is short of processor time, so that the others are served
// in time instead of all of them late. The delay that standing input waits is the signal, as in CoDel (RFC
// 8289). Reads no clock.

#pragma once

#include "core/instant.h"

namespace hawthornpin {

struct overload_limits {
    // Delay of input that the process aims for. Half of the latency target of the platform's queues is left
    // for the job's other messages.
    milliseconds m_target_delay{60};
    // Interval between two changes of the share: one heartbeat, after which the delay reflects the last
    // change.
    milliseconds m_interval{100};
    double m_increase = 0.1;
    // Factor of the share once the delay is below the target, so that little is refused when a shortage is
    // over.
    double m_decrease = 0.5;
    // Some jobs are always admitted, so that the end of the shortage is noticed.
    double m_max_share = 0.9;
};

struct overload_control {
    overload_limits m_limits;
    double m_refused_share = 0;
    // Fraction of a refusal that earlier jobs have left over.
    double m_credit = 0;
    instant m_changed_at;
};

// Adjusts the share to the delay that was just measured.
void record_delay(overload_control& control, milliseconds delay, instant now);

// Whether the next new job is refused.
bool take_refusal(overload_control& control);

} // namespace hawthornpin
