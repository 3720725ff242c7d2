// What callers of each kind of jobs get from a large service that is busy or saturated.

#include "tests/model/platform_model.h"

#include <doctest/doctest.h>

namespace hawthornpin::model {

namespace {

const std::string wide_and_short = "wide and short";
const std::string medium = "medium";
const std::string long_running = "long";

// 59 workers of 16 cores; the kinds of jobs of a site use four fifths of them.
model_settings make_busy_service()
{
    model_settings settings;
    settings.m_is_forwarding = true;
    settings.m_agents = 59;
    settings.m_homes = 14;
    settings.m_forwarding_entries = 10;
    settings.m_worker_capacity = {16'000, 65'536, 0};
    settings.m_duration_ms = 8'000;
    settings.m_job_kinds = {{wide_and_short, 0, 223, 8, 60, 1'400},
                            {medium, 1, 648, 2, 200, 1'400},
                            {long_running, 2, 50.7, 4, 900, 1'400}};
    // A message needs 150 us of processor time, which takes 1 ms in a process that gets a seventh of a core.
    settings.m_processors.m_message_cost_us = 1'000;
    return settings;
}

model_result run_load(const model_settings& settings)
{
    model_result result = platform_model(settings).run();
    CHECK(result.m_violation == "");
    for (const auto& [name, kind] : result.m_kinds) {
        MESSAGE(name << ": " << kind.m_jobs << " jobs, " << kind.m_on_time << " on time, " << kind.m_late
                     << " late, " << kind.m_refused_on_arrival << " refused on arrival and "
                     << kind.m_refused_later << " later, " << kind.m_refused_with_room
                     << " of them while workers had room");
    }
    return result;
}

double share_on_time(const model_result& result, const std::string& kind)
{
    const model_kind_result& counts = result.m_kinds.at(kind);
    return 1.0 * counts.m_on_time / counts.m_jobs;
}

} // namespace

// Guards against an admission that refuses jobs because one home has no room, whatever room others have.
TEST_CASE("model: a busy service refuses no kind of jobs while workers have room")
{
    const model_result result = run_load(make_busy_service());
    for (const auto& item : result.m_kinds) {
        const std::string& name = item.first;
        const model_kind_result& kind = item.second;
        CAPTURE(name);
        CHECK(kind.m_refused_with_room * 100 <= kind.m_jobs);
        CHECK(kind.m_late * 20 <= kind.m_jobs);
    }
}

// Guards against starvation of the kind of jobs that tolerates the shortest wait, though its priority is the
// highest.
TEST_CASE("model: a burst of long jobs takes no room from jobs of higher priority")
{
    constexpr double most_of_it = 0.9;
    model_settings settings = make_busy_service();
    const model_result calm = run_load(settings);
    model_job_kind& bursting = settings.m_job_kinds.back();
    REQUIRE(bursting.m_name == long_running);
    bursting.m_burst_factor = 1.8;
    bursting.m_burst_start_ms = 1'000;
    bursting.m_burst_length_ms = 6'000;
    const model_result burst = run_load(settings);
    for (const std::string& kind : {wide_and_short, medium}) {
        CAPTURE(kind);
        CHECK(share_on_time(burst, kind) >= most_of_it * share_on_time(calm, kind));
    }
}

// Guards against a burst that takes the share of jobs whose priority is lower but whose load is as usual.
TEST_CASE("model: one kind's burst does not starve jobs of lower priority")
{
    constexpr double most_of_it = 0.9;
    model_settings settings = make_busy_service();
    settings.m_duration_ms = 9'000;
    const model_result calm = run_load(settings);
    model_job_kind& bursting = settings.m_job_kinds.at(1);
    REQUIRE(bursting.m_name == medium);
    bursting.m_burst_factor = 1.8;
    bursting.m_burst_start_ms = 4'000;
    bursting.m_burst_length_ms = 4'000;
    const model_result burst = run_load(settings);
    for (const std::string& kind : {wide_and_short, long_running}) {
        CAPTURE(kind);
        CHECK(share_on_time(burst, kind) >= most_of_it * share_on_time(calm, kind));
    }
}

} // namespace hawthornpin::model
