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

void record_success(retry_budget& budget)
{
    budget.m_tokens = std::min(budget.m_max_tokens, budget.m_tokens + budget.m_tokens_per_success);
}

bool take_retry(retry_budget& budget)
{
    if (budget.m_tokens < 1)
        return false;
    budget.m_tokens -= 1;
    return true;
}

} // namespace hawthornpin
