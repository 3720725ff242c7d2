// Admission to the worker's capacity, leases of homes, and the settling of every start.

#include "dispatch/run_guard.h"

#include <algorithm>

namespace hawthornpin {

namespace {

// Between two calls for one run that was not answered. A worker on the same machine answers in well under a
// millisecond; a machine at a tenth of its speed still does within this.
constexpr milliseconds call_retry_pause{20};
// Between two tries of a start that the worker had no room for.
constexpr milliseconds room_retry_pause{10};

resources used_capacity(const run_guard& guard, bool includes_waiting)
{
    resources used;
    for (const auto& [id, run] : guard.m_runs) {
        if (includes_waiting || run.m_phase != run_phase::waiting)
            used = used + run.m_order.m_needs;
    }
    return used;
}

void owe_outcome(run_guard& guard, const home_identity& home, const run_outcome& outcome)
{
    const auto found = guard.m_homes.find(home);
    if (found != guard.m_homes.end())
        found->second.m_outcomes.push_back(outcome);
}

using run_iterator = std::map<run_id, guarded_run>::iterator;

run_iterator end_run(run_guard& guard, run_iterator position, run_result result, instant now)
{
    const guarded_run& run = position->second;
    const bool has_started = run.m_phase == run_phase::running || run.m_phase == run_phase::stopping;
    const auto duration =
        has_started ? std::chrono::duration_cast<milliseconds>(now - run.m_started) : milliseconds(0);
    owe_outcome(guard, run.m_home, {position->first, result, duration});
    guard.m_ended[position->first] = now + guard.m_limits.m_remember_ended;
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

// Everything that the worker ran is gone.
void lose_worker_runs(run_guard& guard, instant now)
{
    for (auto position = guard.m_runs.begin(); position != guard.m_runs.end();) {
        const bool has_begun = position->second.m_phase != run_phase::waiting;
        position = end_run(guard, position, has_begun ? run_result::lost : run_result::not_started, now);
    }
}

// Counts a lease that ends `lease` after now on a worker whose clock may be slow.
void extend_lease_end(run_guard& guard, instant now)
{
    const auto lease = static_cast<double>(guard.m_limits.m_worker_lease.count());
    const auto longest =
        milliseconds(static_cast<std::int64_t>(lease * (1 + 2 * guard.m_limits.m_clock_drift)));
    guard.m_lease_end = std::max(guard.m_lease_end, now + longest);
}

bool has_recent_listing(const run_guard& guard, instant now)
{
    return guard.m_has_listing && now <= guard.m_clock_read_at + guard.m_limits.m_listing_validity;
}

// A new life knows nothing of the old one: its fence and its ends start anew.
void begin_worker_life(run_guard& guard, instant now)
{
    // A start that was under way may have reached the new life: a stop under the higher fence settles each
    // run.
    for (auto position = guard.m_runs.begin(); position != guard.m_runs.end();) {
        if (position->second.m_phase == run_phase::waiting) {
            position = end_run(guard, position, run_result::not_started, now);
            continue;
        }
        request_stop(position->second, run_result::lost, now);
        ++position;
    }
    guard.m_foreign.clear();
    guard.m_foreign_to_stop.clear();
    ++guard.m_fence;
    guard.m_last_seen = 0;
    guard.m_has_listing = false;
    guard.m_worker_started.reset();
}

void note_listed_running(run_guard& guard, const run_listing& listing, instant now)
{
    guard.m_foreign_to_stop.clear();
    for (const listed_run& listed : listing.m_running) {
        const auto found = guard.m_runs.find(listed.m_run);
        if (found == guard.m_runs.end() || found->second.m_phase == run_phase::waiting) {
            guard.m_foreign[listed.m_run] = now;
            guard.m_foreign_to_stop.insert(listed.m_run);
            continue;
        }
        guarded_run& run = found->second;
        if (run.m_phase == run_phase::starting) {
            run.m_phase = run_phase::running;
            run.m_started = now;
            run.m_progress_at = now;
        }
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

void note_listed_ends(run_guard& guard, const run_listing& listing, instant now)
{
    for (const listed_end& end : listing.m_ended) {
        guard.m_last_seen = std::max(guard.m_last_seen, end.m_number);
        guard.m_foreign.erase(end.m_run);
        const auto found = guard.m_runs.find(end.m_run);
        if (found == guard.m_runs.end() || found->second.m_phase == run_phase::waiting)
            continue;
        end_run(guard, found, to_result(found->second, end.m_how), now);
    }
}

// Settles runs that the worker should know by now and does not list. A full page may leave ends out.
void settle_unlisted(run_guard& guard, const run_listing& listing, instant asked_at, instant now)
{
    constexpr std::size_t ends_per_page = 500;
    if (listing.m_ended.size() >= ends_per_page)
        return;
    const milliseconds settlement = guard.m_limits.m_stop_settlement;
    std::erase_if(guard.m_foreign, [&](const auto& item) { return item.second + settlement < asked_at; });
    std::set<run_id> running;
    for (const listed_run& listed : listing.m_running)
        running.insert(listed.m_run);
    for (auto position = guard.m_runs.begin(); position != guard.m_runs.end();) {
        const guarded_run& run = position->second;
        const bool is_stop_settled =
            run.m_stop_answered_at && *run.m_stop_answered_at + settlement < asked_at;
        const bool was_started = run.m_phase == run_phase::running && run.m_started + settlement < asked_at;
        if (running.contains(position->first) || !(is_stop_settled || was_started))
            ++position;
        else
            position = end_run(guard, position, was_started ? run_result::lost : run.m_stop_result, now);
    }
}

void refuse_order(run_guard& guard, const home_identity& home, const run_order& order)
{
    owe_outcome(guard, home, {order.m_run, run_result::not_started, milliseconds(0)});
}

bool is_order_acceptable(const run_guard& guard, const run_order& order, instant clock_seen, instant now)
{
    if (now > clock_seen + guard.m_limits.m_home_lease)
        return false;
    if (state_of(guard, now) != agent_state::serving || !guard.m_report)
        return false;
    return fits(order.m_needs, guard.m_report->m_capacity);
}

void accept_order(run_guard& guard, const order_batch& batch, const run_order& order, instant now)
{
    const auto known = guard.m_runs.find(order.m_run);
    if (known != guard.m_runs.end() && known->second.m_home == batch.m_home)
        return;
    const bool has_ended = guard.m_ended.contains(order.m_run);
    const instant clock_seen{microseconds(batch.m_clock_seen)};
    if (known != guard.m_runs.end() || has_ended || !is_order_acceptable(guard, order, clock_seen, now)) {
        refuse_order(guard, batch.m_home, order);
        return;
    }
    guarded_run run;
    run.m_order = order;
    run.m_home = batch.m_home;
    run.m_received = now;
    run.m_next_call_at = now;
    guard.m_runs.emplace(order.m_run, std::move(run));
}

void stop_ordered_run(run_guard& guard, const order_batch& batch, const run_id& id, instant now)
{
    const auto found = guard.m_runs.find(id);
    if (found == guard.m_runs.end() || found->second.m_home != batch.m_home)
        return;
    if (found->second.m_phase == run_phase::waiting)
        end_run(guard, found, run_result::not_started, now);
    else
        request_stop(found->second, run_result::stopped, now);
}

void expire_homes(run_guard& guard, instant now)
{
    for (auto& [id, run] : guard.m_runs) {
        if (guard.m_homes.at(run.m_home).m_lease_end < now && run.m_phase != run_phase::waiting)
            request_stop(run, run_result::stopped, now);
    }
    std::erase_if(guard.m_runs, [&](const auto& item) {
        const guarded_run& run = item.second;
        return run.m_phase == run_phase::waiting && guard.m_homes.at(run.m_home).m_lease_end < now;
    });
    std::set<home_identity> homes_with_runs;
    for (const auto& [id, run] : guard.m_runs)
        homes_with_runs.insert(run.m_home);
    std::erase_if(guard.m_homes, [&](const auto& item) {
        return item.second.m_lease_end + guard.m_limits.m_remember_ended < now &&
               !homes_with_runs.contains(item.first);
    });
}

void return_waiting(run_guard& guard, instant now)
{
    const bool is_leaving = state_of(guard, now) == agent_state::leaving;
    for (auto position = guard.m_runs.begin(); position != guard.m_runs.end();) {
        const guarded_run& run = position->second;
        const bool is_late = run.m_received + run.m_order.m_start_within < now;
        const bool is_returned = run.m_phase == run_phase::waiting && (is_late || is_leaving);
        position = is_returned ? end_run(guard, position, run_result::not_started, now) : std::next(position);
    }
}

void stop_stalled(run_guard& guard, instant now)
{
    for (auto& [id, run] : guard.m_runs) {
        const bool is_stalled = run.m_phase == run_phase::running && !guard.m_is_worker_silent &&
                                run.m_progress_at + guard.m_limits.m_stall_limit < now;
        if (is_stalled)
            request_stop(run, run_result::stalled, now);
    }
}

void detect_silent_worker(run_guard& guard, instant now)
{
    if (guard.m_is_worker_silent || now <= guard.m_lease_end || has_recent_listing(guard, now))
        return;
    guard.m_is_worker_silent = true;
    lose_worker_runs(guard, now);
    // Orders sent before the silence must not be carried out once the worker is heard again.
    ++guard.m_fence;
}

// Waiting runs with the least slack first.
std::vector<guarded_run*> sort_waiting(run_guard& guard)
{
    std::vector<guarded_run*> waiting;
    for (auto& [id, run] : guard.m_runs) {
        if (run.m_phase == run_phase::waiting)
            waiting.push_back(&run);
    }
    std::sort(waiting.begin(), waiting.end(), [](const guarded_run* left, const guarded_run* right) {
        return left->m_received + left->m_order.m_slack < right->m_received + right->m_order.m_slack;
    });
    return waiting;
}

void collect_starts(run_guard& guard, guard_actions& actions, instant now)
{
    if (!has_recent_listing(guard, now))
        return;
    for (auto& [id, run] : guard.m_runs) {
        if (run.m_phase == run_phase::starting && !run.m_is_call_open && run.m_next_call_at <= now) {
            run.m_is_call_open = true;
            actions.m_starts.push_back(run.m_order);
        }
    }
    if (state_of(guard, now) != agent_state::serving)
        return;
    resources room = guard.m_report->m_capacity - used_capacity(guard, false);
    for (guarded_run* run : sort_waiting(guard)) {
        if (!fits(run->m_order.m_needs, room))
            continue;
        room = room - run->m_order.m_needs;
        run->m_phase = run_phase::starting;
        run->m_is_call_open = true;
        actions.m_starts.push_back(run->m_order);
    }
    if (!actions.m_starts.empty())
        extend_lease_end(guard, now);
}

void collect_stops(run_guard& guard, guard_actions& actions, instant now)
{
    for (auto& [id, run] : guard.m_runs) {
        if (run.m_phase == run_phase::stopping && !run.m_is_call_open && run.m_next_call_at <= now) {
            run.m_is_call_open = true;
            actions.m_stops.push_back(id);
        }
    }
    for (const run_id& id : guard.m_foreign_to_stop)
        actions.m_stops.push_back(id);
    guard.m_foreign_to_stop.clear();
}

} // namespace

run_guard_limits make_run_guard_limits(milliseconds max_lease, milliseconds stop_time,
                                       milliseconds resubmit_after)
{
    constexpr milliseconds longest_home_lease{450};
    run_guard_limits limits;
    // home lease + worker lease + stop time stays below the time after which a caller resubmits.
    limits.m_home_lease = std::min(longest_home_lease, resubmit_after / 3);
    const milliseconds rest = resubmit_after - limits.m_home_lease - stop_time;
    const auto without_drift =
        static_cast<long long>(static_cast<double>(rest.count()) * (1 - limits.m_clock_drift));
    limits.m_worker_lease = std::min(max_lease, milliseconds(without_drift));
    limits.m_stop_settlement = 2 * stop_time;
    return limits;
}

void accept_orders(run_guard& guard, const order_batch& batch, instant now)
{
    if (batch.m_agent_incarnation != guard.m_incarnation)
        return;
    guarded_home& home = guard.m_homes[batch.m_home];
    home.m_address = batch.m_home_address;
    home.m_orders_seen = std::max(home.m_orders_seen, batch.m_number);
    const instant clock_seen{microseconds(batch.m_clock_seen)};
    home.m_lease_end = std::max(home.m_lease_end, clock_seen + guard.m_limits.m_home_lease);
    for (const run_order& order : batch.m_starts)
        accept_order(guard, batch, order, now);
    for (const run_id& id : batch.m_stops)
        stop_ordered_run(guard, batch, id, now);
}

void note_worker_report(run_guard& guard, const worker_report& report, instant now)
{
    const bool is_same_life = guard.m_report && guard.m_report->m_life == report.m_life;
    if (is_same_life && report.m_sequence <= guard.m_report->m_sequence)
        return;
    const bool is_older_life =
        guard.m_report && report.m_life.m_started_unix_ms < guard.m_report->m_life.m_started_unix_ms;
    if (is_older_life)
        return;
    const bool was_known = guard.m_report.has_value();
    guard.m_report = report;
    if (was_known && !is_same_life)
        begin_worker_life(guard, now);
}

void note_worker_left(run_guard& guard, const std::string& worker, instant now)
{
    if (!guard.m_report || guard.m_report->m_life.m_id != worker)
        return;
    guard.m_report->m_is_draining = true;
    lose_worker_runs(guard, now);
}

renewal begin_renewal(run_guard& guard, instant now)
{
    // While foreign runs block the worker, their ends are looked for at this pace.
    constexpr milliseconds foreign_run_pause{10};
    renewal asked;
    asked.m_fence = guard.m_fence;
    asked.m_last_seen = guard.m_last_seen;
    asked.m_asked_at = now;
    // A worker that can't be heard must not be kept running by renewals that it may receive all the same.
    if (has_recent_listing(guard, now)) {
        asked.m_deadline_ms = next_deadline_ms(guard, now);
        extend_lease_end(guard, now);
    }
    const bool is_busy = !guard.m_runs.empty();
    if (guard.m_has_listing)
        asked.m_wait = is_busy ? guard.m_limits.m_busy_listing_wait : guard.m_limits.m_idle_listing_wait;
    if (!guard.m_foreign.empty())
        asked.m_wait = foreign_run_pause;
    return asked;
}

void note_listing(run_guard& guard, const run_listing& listing, const renewal& asked, instant now)
{
    const bool is_other_life = guard.m_worker_started && listing.m_started_unix_ms &&
                               *guard.m_worker_started != *listing.m_started_unix_ms;
    if (is_other_life)
        begin_worker_life(guard, now);
    if (listing.m_started_unix_ms)
        guard.m_worker_started = listing.m_started_unix_ms;
    guard.m_worker_clock_ms = listing.m_worker_clock_ms;
    guard.m_clock_read_at = now;
    guard.m_has_listing = true;
    guard.m_is_worker_silent = false;
    note_listed_running(guard, listing, now);
    note_listed_ends(guard, listing, now);
    settle_unlisted(guard, listing, asked.m_asked_at, now);
}

void note_fenced(run_guard& guard)
{
    // Above any fence that an earlier agent, whose clock may have been ahead, can have used.
    constexpr std::int64_t fence_step = 60'000;
    guard.m_fence += fence_step;
}

void note_other_life(run_guard& guard, instant now)
{
    begin_worker_life(guard, now);
    guard.m_report.reset();
}

void note_start_answer(run_guard& guard, const run_id& id, start_answer answer, instant now)
{
    const auto found = guard.m_runs.find(id);
    if (found == guard.m_runs.end())
        return;
    guarded_run& run = found->second;
    if (answer == start_answer::unanswered)
        run.m_is_unsettled = true;
    // A listing or a stop may have overtaken the answer.
    if (run.m_phase != run_phase::starting)
        return;
    run.m_is_call_open = false;
    if (answer == start_answer::started) {
        run.m_phase = run_phase::running;
        run.m_started = now;
        run.m_progress_at = now;
        return;
    }
    switch (answer) {
    case start_answer::no_room:
        run.m_next_call_at = now + room_retry_pause;
        break;
    case start_answer::run_too_old:
        end_run(guard, found, run_result::superseded, now);
        break;
    case start_answer::unhealthy:
    case start_answer::malformed: {
        const bool is_unhealthy = answer == start_answer::unhealthy;
        const run_result result = is_unhealthy ? run_result::refused : run_result::failed;
        if (run.m_is_unsettled)
            request_stop(run, result, now);
        else
            end_run(guard, found, result, now);
        break;
    }
    default:
        // Repeating a start is idempotent: the worker runs it once.
        run.m_next_call_at = now + call_retry_pause;
    }
}

void note_stop_answer(run_guard& guard, const run_id& id, bool is_answered, instant now)
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

void acknowledge_outcomes(run_guard& guard, const home_identity& home, std::size_t count)
{
    const auto found = guard.m_homes.find(home);
    if (found == guard.m_homes.end())
        return;
    auto& outcomes = found->second.m_outcomes;
    const auto end = outcomes.begin() + static_cast<std::ptrdiff_t>(std::min(count, outcomes.size()));
    outcomes.erase(outcomes.begin(), end);
}

guard_actions advance(run_guard& guard, instant now)
{
    guard_actions actions;
    detect_silent_worker(guard, now);
    expire_homes(guard, now);
    return_waiting(guard, now);
    stop_stalled(guard, now);
    collect_starts(guard, actions, now);
    collect_stops(guard, actions, now);
    std::erase_if(guard.m_ended, [now](const auto& item) { return item.second < now; });
    return actions;
}

std::int64_t next_deadline_ms(const run_guard& guard, instant now)
{
    const auto since_reading = std::chrono::duration_cast<milliseconds>(now - guard.m_clock_read_at);
    return guard.m_worker_clock_ms + since_reading.count() + guard.m_limits.m_worker_lease.count();
}

void stop_all(run_guard& guard, instant now)
{
    for (auto& [id, run] : guard.m_runs) {
        if (run.m_phase != run_phase::waiting)
            request_stop(run, run_result::stopped, now);
    }
}

agent_state state_of(const run_guard& guard, instant now)
{
    if (guard.m_is_shutting_down || (guard.m_report && guard.m_report->m_is_draining))
        return agent_state::leaving;
    if (!guard.m_report || !guard.m_has_listing || !guard.m_foreign.empty())
        return agent_state::preparing;
    return has_recent_listing(guard, now) ? agent_state::serving : agent_state::worker_silent;
}

resources free_capacity(const run_guard& guard)
{
    if (!guard.m_report)
        return {};
    return guard.m_report->m_capacity - used_capacity(guard, true);
}

bool is_idle(const run_guard& guard)
{
    const bool owes_outcomes = std::any_of(guard.m_homes.begin(), guard.m_homes.end(),
                                           [](const auto& item) { return !item.second.m_outcomes.empty(); });
    return guard.m_runs.empty() && !owes_outcomes;
}

} // namespace hawthornpin
