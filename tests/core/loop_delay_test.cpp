// Lateness of the loop, and how often it is reported.

#include "core/loop_delay.h"

#include <doctest/doctest.h>

namespace hawthornpin {

namespace {

constexpr milliseconds pause{20};
constexpr instant start{milliseconds(1'000'000)};

} // namespace

TEST_CASE("a tick in time has no delay, and one that comes late has the rest")
{
    loop_delay_meter meter(pause);
    CHECK(meter.record_tick(start) == microseconds(0));
    CHECK(meter.record_tick(start + pause) == microseconds(0));
    CHECK(meter.record_tick(start + 3 * pause) == pause);
}

TEST_CASE("a second with a late tick is reported once, with its longest delay")
{
    loop_delay_meter meter(pause);
    meter.record_tick(start);
    CHECK(!meter.take_report(start));
    meter.record_tick(start + 4 * pause);
    meter.record_tick(start + 6 * pause);
    CHECK(!meter.take_report(start + milliseconds(999)));
    CHECK(meter.take_report(start + milliseconds(1'000)) == microseconds(3 * pause));
    CHECK(!meter.take_report(start + milliseconds(2'000)));
}

} // namespace hawthornpin
