// The process clock: wall time at process start plus the monotonic time since then.

#include "core/instant.h"

#include <ctime>

namespace hawthornpin {

process_clock::process_clock()
    : m_started_wall(std::chrono::time_point_cast<microseconds>(std::chrono::system_clock::now())),
      m_started_steady(std::chrono::steady_clock::now())
{
}

instant process_clock::now() const
{
    const auto elapsed = std::chrono::steady_clock::now() - m_started_steady;
    return m_started_wall + std::chrono::duration_cast<microseconds>(elapsed);
}

namespace {

microseconds read_clock(clockid_t clock)
{
    timespec now{};
    clock_gettime(clock, &now);
    return std::chrono::seconds(now.tv_sec) +
           std::chrono::duration_cast<microseconds>(std::chrono::nanoseconds(now.tv_nsec));
}

} // namespace

instant boot_now()
{
    return instant(read_clock(CLOCK_BOOTTIME));
}

microseconds suspended_time()
{
    const microseconds steady = read_clock(CLOCK_MONOTONIC);
    return read_clock(CLOCK_BOOTTIME) - steady;
}

instant suspension_detector::last_resume(microseconds suspended, instant now)
{
    // The process may be delayed between its readings of the two clocks.
    constexpr milliseconds tolerance{10};
    if (suspended > m_suspended + tolerance)
        m_resumed_at = now;
    m_suspended = suspended;
    return m_resumed_at;
}

} // namespace hawthornpin
