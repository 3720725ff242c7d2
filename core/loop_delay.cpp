// Measurement of how late a periodic timer fires.

#include "core/loop_delay.h"

#include <algorithm>
#include <utility>

namespace hawthornpin {

microseconds loop_delay_meter::record_tick(instant now)
{
    const instant due = m_last_tick ? *m_last_tick + m_tick_interval : now;
    m_last_tick = now;
    const microseconds delay = std::max(microseconds(0), now - due);
    m_longest = std::max(m_longest, delay);
    return delay;
}

std::optional<microseconds> loop_delay_meter::take_report(instant now)
{
    constexpr milliseconds report_interval{1'000};
    if (m_reported_at + report_interval > now)
        return std::nullopt;
    m_reported_at = now;
    const microseconds longest = std::exchange(m_longest, microseconds(0));
    if (longest < m_tick_interval)
        return std::nullopt;
    return longest;
}

} // namespace hawthornpin
