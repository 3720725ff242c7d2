// Probes and deadlines of requests that are read late.

#include "admission/request_age.h"

#include <doctest/doctest.h>

namespace hawthornpin {

namespace {

constexpr instant received{milliseconds(100'000)};
constexpr request_age age{received, received};
constexpr milliseconds resubmit_after{1'300};
constexpr milliseconds assumed{30'000};

caller_patience stated(milliseconds timeout)
{
    return {timeout, assumed, resubmit_after};
}

constexpr caller_patience unstated{std::nullopt, assumed, resubmit_after};

} // namespace

TEST_CASE("request age: a caller's deadline counts from the arrival of its request")
{
    CHECK(caller_deadline(age, stated(milliseconds(1'500))) == received + milliseconds(1'500));
    CHECK(caller_deadline(age, unstated) == received + assumed);
    // A sign of life later on, such as an acknowledgement by the caller's TCP, extends nothing.
    const request_age heard{received, received + milliseconds(700)};
    CHECK(caller_deadline(heard, stated(milliseconds(1'500))) == received + milliseconds(1'500));
}

TEST_CASE("request age: a request is abandoned from its caller's deadline on")
{
    const caller_patience patience = stated(milliseconds(1'500));
    CHECK_FALSE(may_be_abandoned(age, patience, received));
    CHECK_FALSE(may_be_abandoned(age, patience, received + milliseconds(1'499)));
    CHECK(may_be_abandoned(age, patience, received + milliseconds(1'500)));
    CHECK(may_be_abandoned(age, patience, received + milliseconds(3'000)));
}

TEST_CASE("request age: a stated deadline counts however long it is")
{
    const caller_patience patience = stated(milliseconds(20'000));
    CHECK_FALSE(may_be_abandoned(age, patience, received + milliseconds(19'999)));
    CHECK(may_be_abandoned(age, patience, received + milliseconds(20'000)));
}

// Guards against a second run of the job of a caller that waits for a shorter time than is assumed.
TEST_CASE("request age: without a stated deadline a request is abandoned once it may have been repeated")
{
    CHECK_FALSE(may_be_abandoned(age, unstated, received + resubmit_after - milliseconds(1)));
    CHECK(may_be_abandoned(age, unstated, received + resubmit_after));
}

TEST_CASE("request age: a caller is probed once it has not been heard from for caller_probe_after")
{
    CHECK_FALSE(needs_probe(age, received));
    CHECK_FALSE(needs_probe(age, received + caller_probe_after - milliseconds(1)));
    CHECK(needs_probe(age, received + caller_probe_after));
    const request_age heard{received, received + milliseconds(700)};
    CHECK_FALSE(needs_probe(heard, received + caller_probe_after));
    CHECK(needs_probe(heard, received + milliseconds(700) + caller_probe_after));
}

} // namespace hawthornpin
