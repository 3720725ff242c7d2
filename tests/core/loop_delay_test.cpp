// Tests the measured delay of the event loop and how often it is reported.

#include "core/loop_delay.h"

#include <doctest/doctest.h>

namespace hawthornpin {

namespace {

constexpr milliseconds tick_interval{20};
constexpr instant start{milliseconds(1'000'000)};

} // namespace

TEST_CASE("a tick on time has no delay, and a late one has the time since it was due")
{
    loop_delay_meter meter(tick_interval);
    CHECK(meter.record_tick(start) == microseconds(0));
    CHECK(meter.record_tick(start + tick_interval) == microseconds(0));
    CHECK(meter.record_tick(start + 3 * tick_interval) == tick_interval);
}

TEST_CASE("a second with a late tick is reported once, with its longest delay")
{
    loop_delay_meter meter(tick_interval);
    meter.record_tick(start);
    CHECK(!meter.take_report(start));
    meter.record_tick(start + 4 * tick_interval);
    meter.record_tick(start + 6 * tick_interval);
    CHECK(!meter.take_report(start + milliseconds(999)));
    CHECK(meter.take_report(start + milliseconds(1'000)) == microseconds(3 * tick_interval));
    CHECK(!meter.take_report(start + milliseconds(2'000)));
}

} // namespace hawthornpin
