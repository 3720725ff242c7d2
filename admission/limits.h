// Team rates at the entries and the retry budget: token buckets on the caller's time line.

#pragma once

#include "core/instant.h"

#include <map>
#include <string>

namespace hawthornpin {

// Tokens that refill with time. A rate of zero means unlimited.
struct token_bucket {
    double m_tokens = 0;
    instant m_refilled;
    bool m_is_started = false;
};

// Takes `amount` tokens at `rate` a second with a burst of `burst` tokens. An amount above the burst is
// admitted from a full bucket and leaves it in debt, so that wide jobs pay their whole price.
// On refusal nothing is taken.
bool take_tokens(token_bucket& bucket, double amount, double rate, double burst, instant now);

// Time until `amount` tokens would be there.
milliseconds time_until(const token_bucket& bucket, double amount, double rate, double burst);

// Retries as a share of recent successes, per service.
struct retry_budget {
    double m_tokens_per_success = 0.1;
    double m_max_tokens = 100;
    double m_tokens = 10;
};

void record_success(retry_budget& budget);

// Takes one retry; false when the budget is spent.
bool take_retry(retry_budget& budget);

} // namespace hawthornpin
