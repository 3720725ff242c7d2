// Ending and stopping of guarded runs, and the end of the worker's lease.

#include "dispatch/guarded_runs.h"

#include <algorithm>

namespace hawthornpin {

bool proves_no_effect(start_answer answer)
{
    switch (answer) {
    case start_answer::fenced:
    case start_answer::deadline_passed:
    case start_answer::no_room:
    case start_answer::other_life:
    case start_answer::unhealthy:
    case start_answer::malformed:
    case start_answer::unreachable:
    case start_answer::other_incarnation:
    case start_answer::not_sent:
        return true;
    // The worker has closed this run or a later one of its task, which a start that was carried out precedes.
    case start_answer::run_too_old:
    case start_answer::started:
    case start_answer::unexpected:
    case start_answer::disconnected:
    case start_answer::unanswered:
        break;
    }
    return false;
}

void add_pending_outcome(run_guard& guard, const home_identity& home, const run_outcome& outcome)
{
    const auto found = guard.m_homes.find(home);
    if (found != guard.m_homes.end())
        found->second.m_outcomes.push_back(outcome);
}

run_iterator end_run(run_guard& guard, run_iterator position, run_result result, instant now)
{
    const guarded_run& run = position->second;
    const bool has_started = run.m_started != instant();
    const auto duration =
        has_started ? std::chrono::duration_cast<milliseconds>(now - run.m_started) : milliseconds(0);
    add_pending_outcome(guard, run.m_home, {position->first, result, duration, run.m_verdict});
    guard.m_ended[position->first] = {now + guard.m_limits.m_ended_retention, run.m_verdict};
    return guard.m_runs.erase(position);
}

void request_stop(guarded_run& run, run_result result, instant now)
{
    if (run.m_phase == run_phase::stopping)
        return;
    run.m_phase = run_phase::stopping;
    run.m_is_call_open = false;
    run.m_stop_result = result;
    run.m_next_call_at = now;
}

void mark_worker_runs_lost(run_guard& guard, instant now)
{
    for (auto position = guard.m_runs.begin(); position != guard.m_runs.end();) {
        const bool has_begun = position->second.m_phase != run_phase::waiting;
        position = end_run(guard, position, has_begun ? run_result::lost : run_result::not_started, now);
    }
}

void extend_lease_end(run_guard& guard, milliseconds lease, instant now)
{
    const auto granted = static_cast<double>(lease.count());
    const auto with_drift =
        milliseconds(static_cast<std::int64_t>(granted * (1 + 2 * guard.m_limits.m_clock_drift)));
    guard.m_lease_end = std::max(guard.m_lease_end, now + with_drift);
}

bool has_recent_listing(const run_guard& guard, instant now)
{
    return guard.m_has_listing && now <= guard.m_clock_read_at + guard.m_limits.m_listing_validity;
}

} // namespace hawthornpin
