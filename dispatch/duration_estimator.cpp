// Running means of the logarithms of durations.

#include "dispatch/duration_estimator.h"

#include <algorithm>
#include <cmath>

namespace hawthornpin {

namespace {

// Number of observations from which the observed durations are used.
constexpr std::uint32_t min_observations = 20;
// Approximate number of newest observations that the means reflect.
constexpr double averaging_window = 200;
// Estimate without a declared duration and without enough observations.
constexpr milliseconds default_duration{200};

double log_ms(milliseconds duration)
{
    return std::log(std::max(1.0, static_cast<double>(duration.count())));
}

} // namespace

milliseconds estimate_duration(const duration_estimator& estimator, const std::string& queue,
                               std::uint32_t step, milliseconds declared)
{
    const auto found = estimator.m_steps.find({queue, step});
    const bool has_history = found != estimator.m_steps.end() && found->second.m_count >= min_observations;
    if (!has_history)
        return declared.count() > 0 ? declared : default_duration;
    const observed_durations& observed = found->second;
    if (declared.count() == 0)
        return milliseconds(static_cast<std::int64_t>(std::exp(observed.m_mean_log_ms)));
    const double corrected = log_ms(declared) + observed.m_mean_log_ratio;
    return milliseconds(static_cast<std::int64_t>(std::exp((corrected + observed.m_mean_log_ms) / 2)));
}

void record_duration(duration_estimator& estimator, const std::string& queue, std::uint32_t step,
                     milliseconds declared, milliseconds observed)
{
    observed_durations& known = estimator.m_steps[{queue, step}];
    ++known.m_count;
    const double weight = 1 / std::min(averaging_window, static_cast<double>(known.m_count));
    known.m_mean_log_ms += weight * (log_ms(observed) - known.m_mean_log_ms);
    const double ratio = declared.count() > 0 ? log_ms(observed) - log_ms(declared) : 0;
    known.m_mean_log_ratio += weight * (ratio - known.m_mean_log_ratio);
}

} // namespace hawthornpin
