// Points in time and the clocks that give them.
//
// A process reads the wall clock once, at start, and then only adds monotonic time to it. A ledger that
// dropped an expired record can therefore never see the same ticket become valid again.

#pragma once

#include <chrono>

namespace hawthornpin {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// Microseconds since the Unix epoch; never goes back within one process.
using instant = std::chrono::sys_time<microseconds>;

// Clock of this process.
class process_clock {
public:
    process_clock();

    instant now() const;

private:
    instant m_started_wall;
    std::chrono::steady_clock::time_point m_started_steady;
};

// Time since the machine started, including any time in which it was suspended; never goes back. Only to be
// compared with other values of boot_now() on the same machine.
instant boot_now();

// Time for which the machine has been suspended since it started, which steady clocks do not count.
microseconds suspended_time();

// Notices suspensions of the machine.
class suspension_detector {
public:
    explicit suspension_detector(microseconds suspended) : m_suspended(suspended) {}

    // No earlier than the end of the last suspension; the epoch if there was none since the construction.
    // `suspended` is the value of suspended_time().
    instant last_resume(microseconds suspended, instant now);

private:
    microseconds m_suspended;
    instant m_resumed_at;
};

// Whole milliseconds since the Unix epoch.
inline long long to_unix_ms(instant when)
{
    return std::chrono::duration_cast<milliseconds>(when.time_since_epoch()).count();
}

inline instant from_unix_ms(long long value)
{
    return instant(milliseconds(value));
}

} // namespace hawthornpin
