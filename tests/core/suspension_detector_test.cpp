// Tests that suspensions of the machine are noticed, and delays of the process are not taken for them.

#include "core/instant.h"

#include <doctest/doctest.h>

namespace hawthornpin {

namespace {

instant at_ms(long long value)
{
    return instant(milliseconds(value));
}

} // namespace

// Guards against taking a request that waited during a suspension for a new one.
TEST_CASE("a suspension of the machine is noticed by what its steady clock did not count")
{
    suspension_detector detector(milliseconds(500));
    CHECK(detector.last_resume(milliseconds(500), at_ms(1'000)) == instant());
    CHECK(detector.last_resume(milliseconds(3'000), at_ms(4'000)) == at_ms(4'000));
    CHECK(detector.last_resume(milliseconds(3'000), at_ms(5'000)) == at_ms(4'000));
}

TEST_CASE("a short delay between the readings of both clocks is not taken for a suspension")
{
    suspension_detector detector(milliseconds(500));
    CHECK(detector.last_resume(milliseconds(505), at_ms(1'000)) == instant());
    CHECK(detector.last_resume(milliseconds(500), at_ms(2'000)) == instant());
    CHECK(detector.last_resume(milliseconds(600), at_ms(3'000)) == at_ms(3'000));
}

} // namespace hawthornpin
