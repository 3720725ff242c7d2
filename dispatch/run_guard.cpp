// Orders and leases of homes, and the calls that are due to the worker.

#include "dispatch/run_guard.h"

#include "dispatch/entry_leases.h"
#include "dispatch/guarded_runs.h"

#include <algorithm>

namespace hawthornpin {

namespace {

resources used_capacity(const run_guard& guard, bool includes_waiting)
{
    resources used;
    for (const auto& [id, run] : guard.m_runs) {
        if (includes_waiting || run.m_phase != run_phase::waiting)
            used = used + run.m_order.m_needs;
    }
    return used;
}

// Refuses the order permanently: its home is notified that it was not started, so a repetition of it must not
// start. The verdict is that of the run, which an earlier copy of the order may have started.
void refuse_order(run_guard& guard, const home_identity& home, const run_order& order, verdict known,
                  instant now)
{
    add_pending_outcome(guard, home, {order.m_run, run_result::not_started, milliseconds(0), known});
    guard.m_ended[order.m_run] = {now + guard.m_limits.m_ended_retention, known};
}

// The outcome of the run that the home has not acknowledged; null if there is none.
const run_outcome* find_pending_outcome(const run_guard& guard, const home_identity& home, const run_id& run)
{
    const auto& outcomes = guard.m_homes.at(home).m_outcomes;
    const auto found = std::find_if(outcomes.begin(), outcomes.end(),
                                    [&run](const run_outcome& outcome) { return outcome.m_run == run; });
    return found == outcomes.end() ? nullptr : &*found;
}

// Whether the worker, by its last report, can run the order at all. The home may have gone by an earlier
// incarnation's.
bool suits_worker(const run_order& order, const worker_report& report)
{
    const auto& labels = report.m_labels;
    const bool has_label = order.m_required_label.empty() ||
                           std::find(labels.begin(), labels.end(), order.m_required_label) != labels.end();
    return has_label && fits(order.m_needs, report.m_capacity);
}

bool is_order_acceptable(const run_guard& guard, const run_order& order, instant clock_seen, instant now)
{
    if (now > clock_seen + guard.m_limits.m_home_lease)
        return false;
    if (state_of(guard, now) != agent_state::serving || !guard.m_report)
        return false;
    return suits_worker(order, *guard.m_report);
}

void record_barred_order(run_guard& guard, instant now)
{
    const start_bar bar = find_start_bar(guard, now);
    if (bar != start_bar::none)
        ++guard.m_barred_orders[bar];
}

void accept_order(run_guard& guard, const order_batch& batch, const run_order& order, instant now)
{
    const auto known = guard.m_runs.find(order.m_run);
    if (known != guard.m_runs.end() && known->second.m_home == batch.m_home)
        return;
    if (known != guard.m_runs.end()) {
        refuse_order(guard, batch.m_home, order, known->second.m_verdict, now);
        return;
    }
    const auto ended = guard.m_ended.find(order.m_run);
    if (ended != guard.m_ended.end()) {
        refuse_order(guard, batch.m_home, order, ended->second.m_verdict, now);
        return;
    }
    if (const run_outcome* pending = find_pending_outcome(guard, batch.m_home, order.m_run)) {
        refuse_order(guard, batch.m_home, order, pending->m_verdict, now);
        return;
    }
    const instant clock_seen{microseconds(batch.m_clock_seen)};
    if (!is_order_acceptable(guard, order, clock_seen, now)) {
        record_barred_order(guard, now);
        // A copy that was accepted when it was new may have run, and be forgotten by now.
        const bool is_remembered = now <= clock_seen + guard.m_limits.m_ended_retention;
        const verdict known_verdict = is_remembered ? verdict::not_run : verdict::may_have_run;
        refuse_order(guard, batch.m_home, order, known_verdict, now);
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
    if (found == guard.m_runs.end()) {
        // On another connection, a stop can overtake the order: the run must not start when that arrives.
        guard.m_ended.try_emplace(id,
                                  ended_run{now + guard.m_limits.m_ended_retention, verdict::may_have_run});
        return;
    }
    if (found->second.m_home != batch.m_home)
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
    // A home that responds again is notified that these were not started.
    for (auto position = guard.m_runs.begin(); position != guard.m_runs.end();) {
        const guarded_run& run = position->second;
        const bool is_expired =
            run.m_phase == run_phase::waiting && guard.m_homes.at(run.m_home).m_lease_end < now;
        position = is_expired ? end_run(guard, position, run_result::not_started, now) : std::next(position);
    }
    std::set<home_identity> homes_with_runs;
    for (const auto& [id, run] : guard.m_runs)
        homes_with_runs.insert(run.m_home);
    std::erase_if(guard.m_homes, [&](const auto& item) {
        return item.second.m_lease_end + guard.m_limits.m_ended_retention < now &&
               !homes_with_runs.contains(item.first);
    });
}

// Returns the waiting runs that are late. On a worker that drains, is not reached or may not start anything,
// returns them all, and those whose start had no effect.
void return_unstarted_runs(run_guard& guard, instant now)
{
    const bool is_barred = find_start_bar(guard, now) != start_bar::none;
    const bool is_closed =
        is_barred || state_of(guard, now) == agent_state::leaving || guard.m_unreachable_since;
    for (auto position = guard.m_runs.begin(); position != guard.m_runs.end();) {
        const guarded_run& run = position->second;
        const bool is_late = run.m_received + run.m_order.m_start_within < now;
        const bool is_refused = run.m_phase == run_phase::starting && run.m_verdict == verdict::not_run;
        const bool is_waiting = run.m_phase == run_phase::waiting;
        const bool is_returned = (is_waiting && is_late) || (is_closed && (is_waiting || is_refused));
        if (is_returned && is_barred)
            record_barred_order(guard, now);
        position = is_returned ? end_run(guard, position, run_result::not_started, now) : std::next(position);
    }
}

// Starts without an answer are not repeated while starts are barred. The next listing tells whether the run
// began; if not, it is stopped.
void end_unanswered_starts(run_guard& guard, instant now)
{
    if (find_start_bar(guard, now) == start_bar::none)
        return;
    for (auto& [id, run] : guard.m_runs) {
        if (run.m_phase == run_phase::starting && !run.m_is_call_open && !run.m_refused_start)
            run.m_refused_start = refused_start{run_result::stopped, now};
    }
}

void stop_stalled_runs(run_guard& guard, instant now)
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
    mark_worker_runs_lost(guard, now);
    // Calls sent earlier must not be carried out once the worker responds again.
    ++guard.m_fence;
}

// Waiting runs with the least slack first.
std::vector<guarded_run*> sort_waiting_runs(run_guard& guard)
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

void send_start(const run_guard& guard, guarded_run& run, guard_actions& actions)
{
    run.m_worker_started = guard.m_worker_started;
    run.m_is_call_open = true;
    run.m_verdict = verdict::may_have_run;
    actions.m_starts.push_back(run.m_order);
}

void collect_repeated_starts(run_guard& guard, guard_actions& actions, instant now)
{
    for (auto& [id, run] : guard.m_runs) {
        const bool is_due = !run.m_is_call_open && !run.m_refused_start && run.m_next_call_at <= now;
        if (run.m_phase == run_phase::starting && is_due)
            send_start(guard, run, actions);
    }
}

void collect_new_starts(run_guard& guard, guard_actions& actions)
{
    resources room = guard.m_report->m_capacity - used_capacity(guard, false);
    for (guarded_run* run : sort_waiting_runs(guard)) {
        if (!fits(run->m_order.m_needs, room))
            continue;
        room = room - run->m_order.m_needs;
        run->m_phase = run_phase::starting;
        send_start(guard, *run, actions);
    }
}

void collect_starts(run_guard& guard, guard_actions& actions, instant now)
{
    if (!has_recent_listing(guard, now) || guard.m_unreachable_since)
        return;
    if (find_start_bar(guard, now) != start_bar::none)
        return;
    collect_repeated_starts(guard, actions, now);
    if (state_of(guard, now) == agent_state::serving)
        collect_new_starts(guard, actions);
    if (actions.m_starts.empty())
        return;
    actions.m_start_deadline_ms = next_deadline_ms(guard, now);
    actions.m_worker_started = guard.m_worker_started;
    extend_lease_end(guard, guard.m_limits.m_worker_lease, now);
}

void collect_stops(run_guard& guard, guard_actions& actions, instant now)
{
    for (auto& [id, run] : guard.m_runs) {
        if (run.m_phase == run_phase::stopping && !run.m_is_call_open && run.m_next_call_at <= now) {
            run.m_is_call_open = true;
            actions.m_stops.push_back(id);
        }
    }
    for (const run_id& id : guard.m_orphans_to_stop)
        actions.m_stops.push_back(id);
    guard.m_orphans_to_stop.clear();
}

} // namespace

run_guard_limits make_run_guard_limits(milliseconds max_lease, milliseconds stop_time,
                                       milliseconds resubmit_after)
{
    // With a heartbeat every 100 ms, the entry lease and the home lease each survive the loss of one.
    constexpr milliseconds max_home_lease{380};
    constexpr std::int64_t home_lease_divisor = 3;
    run_guard_limits limits;
    const milliseconds entry_lease = make_entry_lease_limits(resubmit_after).m_entry_lease;
    limits.m_home_lease = std::min(max_home_lease, resubmit_after / home_lease_divisor);
    // Home and agent each notice the end of a lease up to one tick late.
    const milliseconds remaining =
        resubmit_after - entry_lease - limits.m_home_lease - stop_time - 2 * decision_tick;
    const auto without_drift =
        static_cast<long long>(static_cast<double>(remaining.count()) * (1 - limits.m_clock_drift));
    limits.m_worker_lease = std::min(max_lease, milliseconds(without_drift));
    limits.m_max_worker_lease = max_lease;
    limits.m_stop_settle_time = 2 * stop_time;
    return limits;
}

milliseconds lost_agent_timeout(const run_guard_limits& limits)
{
    const auto with_drift = static_cast<long long>(static_cast<double>(limits.m_worker_lease.count()) /
                                                   (1 - limits.m_clock_drift));
    return limits.m_home_lease + milliseconds(with_drift + 1) + limits.m_stop_settle_time + 2 * decision_tick;
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
    return_unstarted_runs(guard, now);
    end_unanswered_starts(guard, now);
    stop_stalled_runs(guard, now);
    collect_starts(guard, actions, now);
    collect_stops(guard, actions, now);
    std::erase_if(guard.m_ended, [now](const auto& item) { return item.second.m_remembered_until < now; });
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

start_bar find_start_bar(const run_guard& guard, instant now)
{
    // The agent's settings and its worker's report name the same zone, unless one of them is outdated.
    if (guard.m_report && is_evacuated(guard.m_evacuation, guard.m_report->m_zone))
        return start_bar::zone_evacuated;
    return find_start_bar(guard.m_evacuation, guard.m_zone, now);
}

agent_state state_of(const run_guard& guard, instant now)
{
    if (guard.m_is_shutting_down || (guard.m_report && guard.m_report->m_is_draining))
        return agent_state::leaving;
    const start_bar bar = find_start_bar(guard, now);
    if (bar == start_bar::zone_evacuated)
        return agent_state::evacuated;
    if (bar != start_bar::none || !guard.m_report || !guard.m_has_listing || !guard.m_orphans.empty())
        return agent_state::preparing;
    const bool is_reached = has_recent_listing(guard, now) && !guard.m_unreachable_since;
    return is_reached ? agent_state::serving : agent_state::worker_silent;
}

resources free_capacity(const run_guard& guard)
{
    if (!guard.m_report)
        return {};
    return guard.m_report->m_capacity - used_capacity(guard, true);
}

bool is_idle(const run_guard& guard)
{
    const bool has_pending_outcomes =
        std::any_of(guard.m_homes.begin(), guard.m_homes.end(),
                    [](const auto& item) { return !item.second.m_outcomes.empty(); });
    return guard.m_runs.empty() && !has_pending_outcomes;
}

} // namespace hawthornpin
