// Handling of the worker's reports and listings, and of its answers to starts and stops.

#include "dispatch/guarded_runs.h"

#include <algorithm>

namespace hawthornpin {

namespace {

// Pause between two calls for one run if the first was not answered. A worker on the same machine answers in
// well under a millisecond, and within this pause even at a tenth of the machine's speed.
constexpr milliseconds call_retry_pause{20};
// Pause between two attempts at a start that the worker had no room for.
constexpr milliseconds room_retry_pause{10};

// Returns the waiting runs and stops all others, to be reported as lost.
void stop_worker_runs(run_guard& guard, instant now)
{
    for (auto position = guard.m_runs.begin(); position != guard.m_runs.end();) {
        if (position->second.m_phase == run_phase::waiting) {
            position = end_run(guard, position, run_result::not_started, now);
            continue;
        }
        request_stop(position->second, run_result::lost, now);
        ++position;
    }
}

// A new incarnation of the worker knows nothing of the earlier one: raises the fence, and expects ends to be
// numbered from the start.
void begin_worker_incarnation(run_guard& guard, instant now)
{
    // What is known so far may be wrong: the runs are over once the new incarnation has listed its own.
    stop_worker_runs(guard, now);
    guard.m_orphans.clear();
    guard.m_orphans_to_stop.clear();
    ++guard.m_fence;
    guard.m_last_seen = 0;
    guard.m_has_listing = false;
    guard.m_worker_started.reset();
    // If the worker does not report its start, a call in progress can reach the new incarnation, whose clock
    // begins anew: the deadline is far off there.
    extend_lease_end(guard, guard.m_limits.m_max_worker_lease, now);
}

void begin_run(guarded_run& run, instant now)
{
    run.m_phase = run_phase::running;
    run.m_verdict = verdict::ran;
    run.m_started = now;
    run.m_progress_at = now;
}

// Whether a later incarnation of the worker than the one that started then has listed its runs. Not known for
// a worker that does not report when it started.
bool is_superseded(const run_guard& guard, std::int64_t started_unix_ms)
{
    return started_unix_ms != 0 && guard.m_worker_started && started_unix_ms < *guard.m_worker_started;
}

// Whether the worker's report is of an earlier incarnation than the answer to `asked`, also if the worker's
// wall clock was set back between the two.
bool is_report_outdated(const run_guard& guard, const renewal& asked)
{
    const std::int64_t started = guard.m_report->m_identity.m_started_unix_ms;
    const bool is_of_other = started != 0 && guard.m_worker_started && started != *guard.m_worker_started;
    return is_superseded(guard, started) || (is_of_other && guard.m_report_received_at < asked.m_asked_at);
}

void apply_listed_runs(run_guard& guard, const run_listing& listing, instant now)
{
    guard.m_orphans_to_stop.clear();
    for (const listed_run& listed : listing.m_running) {
        const auto found = guard.m_runs.find(listed.m_run);
        if (found == guard.m_runs.end() || found->second.m_phase == run_phase::waiting) {
            guard.m_orphans[listed.m_run] = now;
            guard.m_orphans_to_stop.insert(listed.m_run);
            continue;
        }
        guarded_run& run = found->second;
        if (run.m_phase == run_phase::starting)
            begin_run(run, now);
        run.m_verdict = verdict::ran;
        if (listed.m_percent != run.m_percent) {
            run.m_percent = listed.m_percent;
            run.m_progress_at = now;
        }
    }
}

run_result to_result(const guarded_run& run, run_end how)
{
    switch (how) {
    case run_end::done:
        return run_result::done;
    case run_end::failed:
        return run_result::failed;
    case run_end::stopped:
        return run.m_stop_result;
    case run_end::lapsed:
    case run_end::broken:
    case run_end::alone:
        break;
    }
    return run_result::lost;
}

void apply_listed_ends(run_guard& guard, const run_listing& listing, instant now)
{
    for (const listed_end& end : listing.m_ended) {
        guard.m_last_seen = std::max(guard.m_last_seen, end.m_number);
        guard.m_orphans.erase(end.m_run);
        const auto found = guard.m_runs.find(end.m_run);
        if (found == guard.m_runs.end() || found->second.m_phase == run_phase::waiting)
            continue;
        found->second.m_verdict = verdict::ran;
        end_run(guard, found, to_result(found->second, end.m_end_kind), now);
    }
}

// Ends the runs that were started on another incarnation of the worker than the one that made the listing:
// its process has ended, and no call that was meant for it reaches this one.
void end_runs_of_other_incarnations(run_guard& guard, const run_listing& listing, instant now)
{
    for (auto position = guard.m_runs.begin(); position != guard.m_runs.end();) {
        const guarded_run& run = position->second;
        const bool is_of_other = run.m_worker_started && listing.m_started_unix_ms &&
                                 *run.m_worker_started != *listing.m_started_unix_ms;
        const bool was_stopped = run.m_phase == run_phase::stopping;
        position = is_of_other
                       ? end_run(guard, position, was_stopped ? run.m_stop_result : run_result::lost, now)
                       : std::next(position);
    }
}

// Ends runs that the worker should know by now but does not list. Does nothing for a full page, which may
// leave ends out.
void resolve_unlisted_runs(run_guard& guard, const run_listing& listing, instant asked_at, instant now)
{
    constexpr std::size_t ends_per_page = 500;
    if (listing.m_ended.size() >= ends_per_page)
        return;
    const milliseconds settle_time = guard.m_limits.m_stop_settle_time;
    std::erase_if(guard.m_orphans, [&](const auto& item) { return item.second + settle_time < asked_at; });
    std::set<run_id> running;
    for (const listed_run& listed : listing.m_running)
        running.insert(listed.m_run);
    for (auto position = guard.m_runs.begin(); position != guard.m_runs.end();) {
        guarded_run& run = position->second;
        // The unanswered start may still be carried out: the stop makes sure that it has no effect.
        if (run.m_phase == run_phase::starting && run.m_refused_start &&
            run.m_refused_start->m_answered_at < asked_at)
            request_stop(run, run.m_refused_start->m_result, now);
        const bool is_stop_complete =
            run.m_stop_answered_at && *run.m_stop_answered_at + settle_time < asked_at;
        const bool was_started = run.m_phase == run_phase::running && run.m_started + settle_time < asked_at;
        if (running.contains(position->first) || !(is_stop_complete || was_started))
            ++position;
        else
            position = end_run(guard, position, was_started ? run_result::lost : run.m_stop_result, now);
    }
}

} // namespace

void on_worker_report(run_guard& guard, const worker_report& report, instant now)
{
    const bool is_same_incarnation = guard.m_report && guard.m_report->m_identity == report.m_identity;
    if (is_same_incarnation && report.m_sequence <= guard.m_report->m_sequence)
        return;
    const std::int64_t started = report.m_identity.m_started_unix_ms;
    const bool is_older_incarnation =
        guard.m_report && started < guard.m_report->m_identity.m_started_unix_ms;
    if (is_older_incarnation || is_superseded(guard, started))
        return;
    const bool was_known = guard.m_report.has_value();
    guard.m_report = report;
    guard.m_report_received_at = now;
    if (!is_same_incarnation || !report.m_is_draining)
        guard.m_has_worker_left = false;
    if (was_known && !is_same_incarnation)
        begin_worker_incarnation(guard, now);
}

void on_worker_left(run_guard& guard, const std::string& worker, instant now)
{
    if (!guard.m_report || guard.m_report->m_identity.m_id != worker)
        return;
    guard.m_report->m_is_draining = true;
    guard.m_has_worker_left = true;
    stop_worker_runs(guard, now);
}

renewal begin_renewal(run_guard& guard, instant now)
{
    // Wait of a renewal while orphaned runs block the worker, so that their ends are noticed soon.
    constexpr milliseconds orphan_poll_interval{10};
    renewal asked;
    asked.m_fence = guard.m_fence;
    asked.m_last_seen = guard.m_last_seen;
    asked.m_asked_at = now;
    asked.m_worker_started = guard.m_worker_started;
    // A worker whose answers do not arrive may still receive renewals, which must not keep it running.
    if (has_recent_listing(guard, now) && !guard.m_has_worker_left) {
        asked.m_deadline_ms = next_deadline_ms(guard, now);
        extend_lease_end(guard, guard.m_limits.m_worker_lease, now);
    }
    const bool is_busy = !guard.m_runs.empty();
    if (guard.m_has_listing)
        asked.m_wait = is_busy ? guard.m_limits.m_busy_listing_wait : guard.m_limits.m_idle_listing_wait;
    if (!guard.m_orphans.empty())
        asked.m_wait = orphan_poll_interval;
    if (guard.m_unreachable_since)
        asked.m_wait = milliseconds(0);
    return asked;
}

void on_run_listing(run_guard& guard, const run_listing& listing, const renewal& asked, instant now)
{
    const bool is_other_incarnation = guard.m_worker_started && listing.m_started_unix_ms &&
                                      *guard.m_worker_started != *listing.m_started_unix_ms;
    if (is_other_incarnation)
        begin_worker_incarnation(guard, now);
    if (listing.m_started_unix_ms)
        guard.m_worker_started = listing.m_started_unix_ms;
    // The new incarnation may be of another size and class: nothing starts there before it has reported.
    if (guard.m_report && is_report_outdated(guard, asked))
        guard.m_report.reset();
    guard.m_worker_clock_ms = listing.m_worker_clock_ms;
    guard.m_clock_read_at = now;
    guard.m_has_listing = true;
    guard.m_is_worker_silent = false;
    if (guard.m_unreachable_since && *guard.m_unreachable_since <= asked.m_asked_at)
        guard.m_unreachable_since.reset();
    end_runs_of_other_incarnations(guard, listing, now);
    apply_listed_runs(guard, listing, now);
    apply_listed_ends(guard, listing, now);
    resolve_unlisted_runs(guard, listing, asked.m_asked_at, now);
}

void on_fenced(run_guard& guard)
{
    // Raises the fence above any that an earlier agent, whose clock may have been ahead, can have used.
    constexpr std::int64_t fence_step = 60'000;
    guard.m_fence += fence_step;
}

void on_other_incarnation(run_guard& guard, instant now)
{
    begin_worker_incarnation(guard, now);
    guard.m_report.reset();
}

void on_worker_unreachable(run_guard& guard, instant now)
{
    guard.m_unreachable_since = now;
}

void on_start_answer(run_guard& guard, const run_id& id, start_answer answer, instant now)
{
    const auto found = guard.m_runs.find(id);
    if (found == guard.m_runs.end())
        return;
    guarded_run& run = found->second;
    if (answer == start_answer::unanswered || answer == start_answer::disconnected)
        run.m_has_unanswered_start = true;
    if (proves_no_effect(answer) && !run.m_has_unanswered_start && run.m_verdict == verdict::may_have_run)
        run.m_verdict = verdict::not_run;
    // A listing or a stop may have overtaken the answer.
    if (run.m_phase != run_phase::starting)
        return;
    run.m_is_call_open = false;
    if (answer == start_answer::started) {
        begin_run(run, now);
        return;
    }
    switch (answer) {
    case start_answer::unreachable:
    case start_answer::other_incarnation:
        on_worker_unreachable(guard, now);
        run.m_next_call_at = now + call_retry_pause;
        break;
    case start_answer::no_room:
        run.m_next_call_at = now + room_retry_pause;
        break;
    case start_answer::run_too_old:
        end_run(guard, found, run_result::superseded, now);
        break;
    case start_answer::unhealthy:
    case start_answer::unexpected:
    case start_answer::malformed: {
        const bool is_malformed = answer == start_answer::malformed;
        const run_result result = is_malformed ? run_result::failed : run_result::refused;
        if (run.m_verdict != verdict::not_run)
            run.m_refused_start = refused_start{result, now};
        else
            end_run(guard, found, result, now);
        break;
    }
    default:
        // Repeating a start is idempotent: the worker runs it once.
        run.m_next_call_at = now + call_retry_pause;
    }
}

void on_stop_answer(run_guard& guard, const run_id& id, bool is_answered, instant now)
{
    const auto found = guard.m_runs.find(id);
    if (found == guard.m_runs.end())
        return;
    guarded_run& run = found->second;
    run.m_is_call_open = false;
    run.m_next_call_at = now + call_retry_pause;
    if (is_answered && run.m_phase == run_phase::stopping && !run.m_stop_answered_at)
        run.m_stop_answered_at = now;
}

} // namespace hawthornpin
