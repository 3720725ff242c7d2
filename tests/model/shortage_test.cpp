// The system recovers from a shortage of processor time: once the shortage is over, callers are served as
// before, and the number of messages that it causes stays bounded.

#include "tests/model/platform_model.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace hawthornpin::model {

namespace {

constexpr long long before_shortage_ms = 5'000;
constexpr long long recovery_ms = 2'000;
constexpr long long after_recovery_ms = 3'000;
constexpr long long second_ms = 1'000;
// A message needs 300 us of processor time, which takes 2 ms in a process that gets a seventh of a core.
// During the shortage the process gets a fifth of that.
constexpr long long step_us = 2'000;
constexpr long long shortage_factor = 5;

struct system_size {
    std::size_t m_agents;
    std::size_t m_homes;
    std::size_t m_forwarding_entries;
    // A quarter of the workers is busy.
    long long m_arrival_ms;
};

model_result run_shortage(const system_size& size, long long shortage_ms)
{
    model_settings settings;
    settings.m_seed = 9;
    settings.m_is_forwarding = true;
    settings.m_agents = size.m_agents;
    settings.m_homes = size.m_homes;
    settings.m_forwarding_entries = size.m_forwarding_entries;
    settings.m_arrival_ms = size.m_arrival_ms;
    settings.m_duration_ms = before_shortage_ms + shortage_ms + recovery_ms + after_recovery_ms;
    settings.m_processors = {step_us, before_shortage_ms, shortage_ms, shortage_factor};
    return platform_model(settings).run();
}

model_second sum_seconds(const model_result& result, long long from_ms, long long to_ms)
{
    model_second sum;
    for (long long index = from_ms / second_ms; index < to_ms / second_ms; ++index) {
        const model_second& second = result.m_seconds.at(static_cast<std::size_t>(index));
        sum.m_jobs += second.m_jobs;
        sum.m_completed += second.m_completed;
        sum.m_messages += second.m_messages;
    }
    return sum;
}

} // namespace

// Guards against a collapse that outlasts its cause. In a soak of 30 agents beside busy processes, one second
// without processor time was followed by ten seconds of refused jobs while the workers were idle.
TEST_CASE("model: a shortage of processor time has no effect after two seconds and causes few messages")
{
    constexpr system_size sizes[] = {{30, 7, 2, 10}, {160, 40, 10, 2}};
    for (const system_size& size : sizes) {
        CAPTURE(size.m_agents);
        for (const long long shortage_ms : {1'000LL, 2'000LL, 4'000LL}) {
            CAPTURE(shortage_ms);
            const model_result result = run_shortage(size, shortage_ms);
            CHECK(result.m_violation == "");
            const model_second before = sum_seconds(result, 2 * second_ms, before_shortage_ms - second_ms);
            const long long recovered_ms = before_shortage_ms + shortage_ms + recovery_ms;
            const model_second after = sum_seconds(result, recovered_ms, recovered_ms + 2 * second_ms);
            CHECK(before.m_completed * 20 >= before.m_jobs * 19);
            CHECK(1.0 * after.m_completed / after.m_jobs >= 0.9 * before.m_completed / before.m_jobs);
            const double calm_messages = 1.0 * before.m_messages / before.m_jobs;
            for (long long from_ms = before_shortage_ms; from_ms < recovered_ms; from_ms += second_ms) {
                const model_second second = sum_seconds(result, from_ms, from_ms + second_ms);
                CHECK(1.0 * second.m_messages / second.m_jobs <= 3 * calm_messages);
            }
        }
    }
}

} // namespace hawthornpin::model
