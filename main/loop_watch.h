// Reports the delay of a daemon's event loop: a distribution, and one log line for each second in which a
// tick was late by at least the tick interval, which indicates a shortage of processor time.

#pragma once

#include "core/loop_delay.h"
#include "core/metrics.h"

namespace hawthornpin {

class loop_watch {
public:
    // `tick` is the interval of the timer that calls on_tick().
    loop_watch(milliseconds tick, metrics& counts) : m_meter(tick), m_metrics(counts) {}

    void on_tick(instant now);

private:
    loop_delay_meter m_meter;
    metrics& m_metrics;
};

} // namespace hawthornpin
