// Tests that pending input is handled before timers fire.

#include "core/event_loop.h"
#include "core/reactor.h"

#include <doctest/doctest.h>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace hawthornpin {

// Found in a soak run beside busy processes: after a pause, responses that had already arrived counted as
// late.
TEST_CASE("after a pause of the process, pending input is handled before timeouts that are due")
{
    std::array<int, 2> ends{};
    REQUIRE(::pipe2(ends.data(), O_CLOEXEC | O_NONBLOCK) == 0);
    {
        event_loop loop;
        std::vector<std::string> order;
        descriptor_watch watch(ends[0], descriptor_watch::interest::reading);
        background_tasks tasks;
        constexpr unsigned timeout_ms = 5;
        tasks.add(after_delay(timeout_ms).then([&] {
            order.emplace_back("timeout");
            loop.stop();
        }));
        tasks.add(watch.when_readable().then([&] { order.emplace_back("input"); }));
        REQUIRE(::write(ends[1], "x", 1) == 1);
        std::this_thread::sleep_for(std::chrono::milliseconds(4 * timeout_ms));
        loop.run();
        CHECK(order == std::vector<std::string>{"input", "timeout"});
    }
    ::close(ends[0]);
    ::close(ends[1]);
}

// Guards against taking new requests for old ones on a busy entry, and refusing them.
TEST_CASE("input is not taken for old while more descriptors are ready than one poll reports")
{
    constexpr std::size_t pipe_count = 100;
    constexpr int iterations = 10;
    event_loop loop;
    std::vector<std::array<int, 2>> pipes(pipe_count);
    std::vector<std::unique_ptr<descriptor_watch>> watches;
    for (auto& ends : pipes) {
        REQUIRE(::pipe2(ends.data(), O_CLOEXEC | O_NONBLOCK) == 0);
        watches.push_back(std::make_unique<descriptor_watch>(ends[0], descriptor_watch::interest::reading));
    }
    instant before_last;
    for (int count = 0; count < iterations; ++count) {
        for (const auto& ends : pipes)
            REQUIRE(::write(ends[1], "x", 1) == 1);
        before_last = boot_now();
        g_main_context_iteration(nullptr, FALSE);
    }
    for (const auto& watch : watches)
        watch->mark_drained();
    CHECK(watches.front()->unread_since() >= before_last);
    watches.clear();
    for (const auto& ends : pipes) {
        ::close(ends[0]);
        ::close(ends[1]);
    }
}

} // namespace hawthornpin
