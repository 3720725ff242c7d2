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

instant boot_now()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return instant(std::chrono::seconds(now.tv_sec) +
                   std::chrono::duration_cast<microseconds>(std::chrono::nanoseconds(now.tv_nsec)));
}

} // namespace hawthornpin
