// The process clock: wall time at start plus monotonic time since.

#include "core/instant.h"

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

} // namespace hawthornpin
