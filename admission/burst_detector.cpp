// Exponentially weighted means of the arrivals, and the share of them that is a burst.

#include "admission/burst_detector.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace hawthornpin {

namespace {

double elapsed_ms(instant from, instant to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

double decay(instant from, instant to, milliseconds averaging)
{
    return std::exp(-elapsed_ms(from, to) / static_cast<double>(averaging.count()));
}

// The mean counts the time before the first job as time without load.
double correct_start(double mean, const queue_arrivals& queue, milliseconds averaging, instant now)
{
    return mean / (1 - decay(queue.m_first_job_at, now, averaging));
}

double usual_load(const queue_arrivals& queue, const burst_limits& limits, instant now)
{
    const double mean = queue.m_usual * decay(queue.m_updated_at, now, limits.m_usual);
    return correct_start(mean, queue, limits.m_usual, now);
}

double recent_load(const queue_arrivals& queue, const burst_limits& limits, instant now)
{
    const double mean = queue.m_recent * decay(queue.m_updated_at, now, limits.m_recent);
    return correct_start(mean, queue, limits.m_recent, now);
}

bool is_known(const queue_arrivals& queue, const burst_limits& limits, instant now)
{
    return queue.m_first_job_at + limits.m_min_observed <= now;
}

// Growth of the load that all other queues share, at least 1. Empty if no other queue is known.
std::optional<double> common_growth(const burst_detector& detector, const std::string& excluded, instant now)
{
    std::optional<double> least;
    for (const auto& [name, queue] : detector.m_queues) {
        if (name == excluded || !is_known(queue, detector.m_limits, now))
            continue;
        const double usual = usual_load(queue, detector.m_limits, now);
        if (usual <= 0)
            continue;
        const double growth = recent_load(queue, detector.m_limits, now) / usual;
        least = std::min(least.value_or(growth), growth);
    }
    if (least)
        least = std::max(*least, 1.0);
    return least;
}

// Adds work that arrives now to the means.
void add_work(queue_arrivals& queue, const burst_limits& limits, double usual, double recent, instant now)
{
    queue.m_usual = queue.m_usual * decay(queue.m_updated_at, now, limits.m_usual) +
                    usual / static_cast<double>(limits.m_usual.count());
    queue.m_recent = queue.m_recent * decay(queue.m_updated_at, now, limits.m_recent) +
                     recent / static_cast<double>(limits.m_recent.count());
    queue.m_updated_at = now;
}

// Share of the queue's present jobs that are a burst, if the next one brings this work.
double burst_share(const burst_detector& detector, const std::string& name, double work, instant now)
{
    const burst_limits& limits = detector.m_limits;
    const queue_arrivals& queue = detector.m_queues.at(name);
    const auto growth = common_growth(detector, name, now);
    if (!growth || !is_known(queue, limits, now))
        return 0;
    const double usual = *growth * usual_load(queue, limits, now);
    // The mean over the last m_recent weighs as many jobs as arrive in twice that time.
    const double deviation = std::sqrt(usual * work / (2 * static_cast<double>(limits.m_recent.count())));
    const double recent = recent_load(queue, limits, now);
    return recent > usual + limits.m_tolerated_deviations * deviation ? 1 - usual / recent : 0;
}

} // namespace

bool record_arrival(burst_detector& detector, const std::string& name, double work, instant now)
{
    const burst_limits& limits = detector.m_limits;
    const auto [position, is_new] = detector.m_queues.try_emplace(name);
    queue_arrivals& queue = position->second;
    if (is_new)
        queue = {0, 0, now, now, 0};
    add_work(queue, limits, 0, work, now);
    queue.m_credit += burst_share(detector, name, work, now);
    const bool is_burst = queue.m_credit >= 1;
    if (is_burst)
        queue.m_credit -= 1;
    add_work(queue, limits, is_burst ? limits.m_burst_weight * work : work, 0, now);
    return is_burst;
}

int burst_priority(int priority)
{
    constexpr int lowest_priority = 1'000'000;
    return std::min(priority, lowest_priority) + lowest_priority;
}

} // namespace hawthornpin
