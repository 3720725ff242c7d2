// Rate limits of teams at the entries, and the retry budget. Token buckets; the caller passes the time.

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

// Takes `amount` tokens from a bucket that refills at `rate` tokens a second up to `burst`. An amount above
// the burst is admitted from a full bucket and leaves it negative, so that wide jobs count with all their
// tasks. On refusal nothing is taken.
bool take_tokens(token_bucket& bucket, double amount, double rate, double burst, instant now);

// Time until the bucket would admit `amount` tokens.
milliseconds time_until(const token_bucket& bucket, double amount, double rate, double burst);

// Limits the retries of a service to a share of its recent successes.
struct retry_budget {
    double m_tokens_per_success = 0.1;
    double m_max_tokens = 100;
    // Retries available now.
    double m_tokens = 10;
};

// Budget of an entry for submissions to a further home: a fifth of the jobs, and the refusals of a second.
retry_budget make_home_retry_budget();

void record_success(retry_budget& budget);

// Consumes one retry; false when the budget is exhausted.
bool take_retry(retry_budget& budget);

// The same for a job of a queue with this priority. Jobs below the highest one leave a part of the budget, so
// that a burst of them does not use up the retries of others.
bool take_retry(retry_budget& budget, int priority);

} // namespace hawthornpin
