// How late the process's loop comes round, which shows a shortage of processor time. Pure.

#pragma once

#include "core/instant.h"

#include <optional>

namespace hawthornpin {

// Fed by a timer that is due every `pause`.
class loop_delay_meter {
public:
    explicit loop_delay_meter(milliseconds tick_interval) : m_tick_interval(tick_interval) {}

    // How much later than due the timer fired; zero for the first time.
    microseconds record_tick(instant now);

    // The longest delay of the second that has passed, once for each second in which one reached the pause.
    std::optional<microseconds> take_report(instant now);

private:
    milliseconds m_tick_interval;
    std::optional<instant> m_last_tick;
    instant m_reported_at;
    microseconds m_longest{0};
};

} // namespace hawthornpin
