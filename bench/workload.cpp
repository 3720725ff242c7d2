// Draws arrivals, widths and run times.

#include "bench/workload.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>

namespace hawthornpin::bench {

namespace {

using generator = std::mt19937_64;

// Log-uniform from 50 ms to 1 s; one in fifty is a straggler between 2 and 4 s.
milliseconds draw_run_time(generator& random)
{
    constexpr double straggler_share = 0.02;
    if (std::bernoulli_distribution(straggler_share)(random))
        return milliseconds(std::uniform_int_distribution<int>(2'000, 4'000)(random));
    const double shortest = std::log(50.0);
    const double longest = std::log(1'000.0);
    return milliseconds(
        static_cast<long long>(std::exp(std::uniform_real_distribution<double>(shortest, longest)(random))));
}

int draw_width(generator& random, const std::string& shape)
{
    constexpr int noop_width = 100;
    if (shape == "noop-wide")
        return noop_width;
    if (shape != "mixed")
        return 1;
    constexpr double widths[] = {70, 15, 10, 4, 1};
    switch (std::discrete_distribution<int>(std::begin(widths), std::end(widths))(random)) {
    case 0:
        return 1;
    case 1:
        return std::uniform_int_distribution<int>(2, 8)(random);
    case 2:
        return std::uniform_int_distribution<int>(9, 32)(random);
    case 3:
        return std::uniform_int_distribution<int>(33, 128)(random);
    default:
        return std::uniform_int_distribution<int>(129, 770)(random);
    }
}

trace_job draw_job(generator& random, const workload_plan& plan)
{
    trace_job job;
    const int width = draw_width(random, plan.m_shape);
    for (int task = 0; task < width; ++task)
        job.m_run_times.push_back(plan.m_shape.starts_with("noop") ? milliseconds(0) : draw_run_time(random));
    return job;
}

// Mean work of a job in slot milliseconds, estimated from a separate sample.
double mean_work(const workload_plan& plan)
{
    constexpr int sample = 20'000;
    generator random(plan.m_seed ^ 0x5bd1e995U);
    double total = 0;
    for (int index = 0; index < sample; ++index) {
        for (const milliseconds time : draw_job(random, plan).m_run_times)
            total += static_cast<double>(time.count());
    }
    return std::max(total / sample, 1.0);
}

void append_arrivals(std::vector<trace_job>& jobs, generator& random, const workload_plan& plan,
                     double jobs_per_ms, milliseconds begin, milliseconds end, bool is_burst)
{
    std::exponential_distribution<double> gap(jobs_per_ms);
    constexpr double microseconds_per_ms = 1000;
    for (double at = static_cast<double>(begin.count()) + gap(random); at < static_cast<double>(end.count());
         at += gap(random)) {
        trace_job job = draw_job(random, plan);
        job.m_arrival = microseconds(static_cast<long long>(at * microseconds_per_ms));
        job.m_team = is_burst ? 0 : std::uniform_int_distribution<std::size_t>(0, plan.m_teams - 1)(random);
        job.m_is_burst = is_burst;
        jobs.push_back(std::move(job));
    }
}

} // namespace

std::vector<trace_job> draw_workload(const workload_plan& plan)
{
    generator random(plan.m_seed);
    const double per_ms = plan.m_slots / mean_work(plan);
    std::vector<trace_job> jobs;
    append_arrivals(jobs, random, plan, per_ms * plan.m_load, milliseconds(0), plan.m_length, false);
    if (plan.m_burst_load > 0) {
        append_arrivals(jobs, random, plan, per_ms * plan.m_burst_load, plan.m_burst_begin,
                        plan.m_burst_begin + plan.m_burst_length, true);
    }
    std::stable_sort(jobs.begin(), jobs.end(), [](const trace_job& left, const trace_job& right) {
        return left.m_arrival < right.m_arrival;
    });
    return jobs;
}

milliseconds compute_response_floor(const trace_job& job, int slots)
{
    milliseconds longest{0};
    milliseconds work{0};
    for (const milliseconds time : job.m_run_times) {
        longest = std::max(longest, time);
        work += time;
    }
    return std::max(longest, work / slots);
}

} // namespace hawthornpin::bench
