// Token buckets.

#include "admission/limits.h"

#include <algorithm>

namespace hawthornpin {

namespace {

constexpr double microseconds_per_second = 1e6;

} // namespace

bool take_tokens(token_bucket& bucket, double amount, double rate, double burst, instant now)
{
    if (rate <= 0)
        return true;
    if (!bucket.m_is_started) {
        bucket = {burst, now, true};
    }
    const double elapsed = static_cast<double>((now - bucket.m_refilled).count()) / microseconds_per_second;
    bucket.m_tokens = std::min(burst, bucket.m_tokens + std::max(0.0, elapsed) * rate);
    bucket.m_refilled = std::max(now, bucket.m_refilled);
    if (bucket.m_tokens < std::min(amount, burst))
        return false;
    bucket.m_tokens -= amount;
    return true;
}

milliseconds time_until(const token_bucket& bucket, double amount, double rate, double burst)
{
    constexpr double milliseconds_per_second = 1000;
    const double missing = std::min(amount, burst) - bucket.m_tokens;
    if (rate <= 0 || missing <= 0)
        return milliseconds(0);
    return milliseconds(static_cast<long long>(missing / rate * milliseconds_per_second) + 1);
}

retry_budget make_home_retry_budget()
{
    constexpr double tokens_per_success = 0.2;
    constexpr double max_tokens = 20;
    return {tokens_per_success, max_tokens, max_tokens};
}

void record_success(retry_budget& budget)
{
    budget.m_tokens = std::min(budget.m_max_tokens, budget.m_tokens + budget.m_tokens_per_success);
}

bool take_retry(retry_budget& budget)
{
    return take_retry(budget, 0);
}

bool take_retry(retry_budget& budget, int priority)
{
    // A quarter of the budget is kept for each higher priority, at most a half.
    constexpr int max_kept_quarters = 2;
    const double kept = budget.m_max_tokens * std::clamp(priority, 0, max_kept_quarters) / 4;
    if (budget.m_tokens < 1 + kept)
        return false;
    budget.m_tokens -= 1;
    return true;
}

} // namespace hawthornpin
