// Metric and log line of the event loop's delay.

#include "main/loop_watch.h"

#include "core/logging.h"

namespace hawthornpin {

void loop_watch::on_tick(instant now)
{
    const std::chrono::duration<double> delay = m_meter.record_tick(now);
    m_metrics.observe(distribution::loop_delay, delay.count());
    if (const auto longest = m_meter.take_report(now)) {
        const auto longest_ms = std::chrono::duration_cast<milliseconds>(*longest).count();
        log_event(log_level::info, "loop_delayed", {{"longest_ms", std::to_string(longest_ms)}});
    }
}

} // namespace hawthornpin
