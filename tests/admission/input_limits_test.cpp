// Tests the limits that follow from a process's resources, and which connection is closed first.

#include "admission/input_limits.h"

#include <doctest/doctest.h>

namespace hawthornpin {

namespace {

constexpr std::size_t megabyte = 1'000'000;

instant at_ms(long long value)
{
    return instant(milliseconds(value));
}

} // namespace

TEST_CASE("without known resources, only the memory of bodies in progress is limited")
{
    const input_limits limits = derive_input_limits({});
    CHECK(limits == input_limits());
    CHECK(limits.m_bodies.m_max_bytes == 64u * 1024 * 1024);
}

// The smallest entries of the platform, which have up to 300 callers. Guards against a limit that they reach.
TEST_CASE("the limits of a small process leave room for its callers")
{
    const input_limits limits = derive_input_limits({120 * megabyte, 3'075});
    CHECK(limits.m_bodies.m_max_bytes == 15 * megabyte);
    CHECK(limits.m_max_connections > 400);
    CHECK(limits.m_max_connections * 2 * socket_buffer_bytes < 60 * megabyte);
    CHECK(limits.m_has_small_socket_buffers);
}

// Guards against HTTP clients that take the descriptors which calls to agents, workers and the store need.
TEST_CASE("at most half of the descriptors that are not reserved go to HTTP connections")
{
    CHECK(derive_input_limits({4'000 * megabyte, 3'075}).m_max_connections == (3'075 - 200) / 2);
    const input_limits limits = derive_input_limits({std::nullopt, 1'000});
    CHECK(limits.m_max_connections == 400);
    CHECK_FALSE(limits.m_has_small_socket_buffers);
}

TEST_CASE("some connections are served whatever the settings are")
{
    CHECK(derive_input_limits({megabyte, 10}).m_max_connections == 16);
}

TEST_CASE("the oldest incomplete request is closed first, then the connection that has been idle longest")
{
    const connection_state old_request{connection_phase::receiving, at_ms(10)};
    const connection_state new_request{connection_phase::receiving, at_ms(20)};
    const connection_state long_idle{connection_phase::idle, at_ms(1)};
    const connection_state just_idle{connection_phase::idle, at_ms(30)};
    const connection_state handling{connection_phase::handling, at_ms(0)};
    const connection_state order[] = {old_request, new_request, long_idle, just_idle, handling};
    for (std::size_t left = 0; left < std::size(order); ++left) {
        for (std::size_t right = 0; right < std::size(order); ++right)
            CHECK(is_closed_before(order[left], order[right]) == (left < right));
    }
}

} // namespace hawthornpin
