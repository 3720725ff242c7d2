// KJ's timer interface on the reactor.

#include "core/reactor_clock.h"

#include "core/event_loop.h"

#include <glib.h>

#include <algorithm>

namespace hawthornpin {

kj::TimePoint reactor_clock::now() const
{
    return kj::origin<kj::TimePoint>() + g_get_monotonic_time() * kj::MICROSECONDS;
}

kj::Promise<void> reactor_clock::atTime(kj::TimePoint time)
{
    return afterDelay(std::max(time - now(), 0 * kj::SECONDS));
}

kj::Promise<void> reactor_clock::afterDelay(kj::Duration delay)
{
    return after_delay(static_cast<unsigned>(delay / kj::MILLISECONDS));
}

} // namespace hawthornpin
