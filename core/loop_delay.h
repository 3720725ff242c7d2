// Measures the delay of the process's event loop, which indicates a shortage of processor time. Reads no
// clock: callers pass in the time.

#pragma once

#include "core/instant.h"

#include <optional>

namespace hawthornpin {

// Driven by a timer that is due every `tick_interval`.
class loop_delay_meter {
public:
    explicit loop_delay_meter(milliseconds tick_interval) : m_tick_interval(tick_interval) {}

    // Records that the timer fired, and returns by how much it was late; zero for the first tick.
    microseconds record_tick(instant now);

    // Returns, at most once per second, the longest delay since the last report if it reached the tick
    // interval.
    std::optional<microseconds> take_report(instant now);

private:
    milliseconds m_tick_interval;
    std::optional<instant> m_last_tick;
    instant m_reported_at;
    microseconds m_longest{0};
};

} // namespace hawthornpin
