// The agent's decisions about its one worker: what may start, what is stopped, and what has ended.
//
// Pure: time is an argument, and calls to the worker are actions that the caller of advance() carries out.

#pragma once

#include "world/run_messages.h"
#include "world/worker_report.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hawthornpin {

// Processes make their time-driven decisions at this pace, and all others at once.
inline constexpr milliseconds decision_tick{20};

// Bounds that the guard works with; see make_run_guard_limits() for where they come from.
struct run_guard_limits {
    // A home without a message this recent has its runs stopped, and a start order this old is refused.
    milliseconds m_home_lease{380};
    // Lease asked of the worker with each start and renewal.
    milliseconds m_worker_lease{420};
    // Without a listing for this long, nothing is started or renewed: the worker counts as silent once
    // everything that it was granted before has lapsed. Two renewals fit in.
    milliseconds m_listing_validity{400};
    // How long a renewal waits at the worker for an end: while something runs, and while nothing does. An
    // answer that is lost costs the wait and a time-out, of which three fit into the listing's validity.
    milliseconds m_busy_listing_wait{60};
    milliseconds m_idle_listing_wait{200};
    // A run without progress for this long is stopped. A worker ten times slower than usual still shows a
    // hundredth of the longest tasks within it.
    milliseconds m_stall_limit{600};
    // A stopped run may take this long to be listed as ended, and is not listed as running meanwhile. Twice
    // the platform's bound for a stop.
    milliseconds m_stop_settle_time{100};
    // How long an ended run is remembered, so that a repeated order does not start it again. Longer than a
    // start order stays valid.
    milliseconds m_ended_retention{2'000};
    // A worker's clock may lose this share of the time.
    double m_clock_drift = 0.02;
};

// Derives the limits from the worker's longest lease and the time after which a caller resubmits: a run whose
// entry, home and agent stop answering one after the other has ended before its job can start elsewhere.
run_guard_limits make_run_guard_limits(milliseconds max_lease, milliseconds stop_time,
                                       milliseconds resubmit_after);

// How long after its last message a home can count the runs of a silent agent as over: home lease, worker
// lease and the time of a stop have passed.
milliseconds lost_agent_timeout(const run_guard_limits& limits);

enum class run_phase { waiting, starting, running, stopping };

// A run that the guard answers for.
struct guarded_run {
    run_order m_order;
    home_identity m_home;
    run_phase m_phase = run_phase::waiting;
    instant m_received;
    instant m_started;
    // Of the call in progress; no second call for the run is made before it ends.
    bool m_is_call_open = false;
    // A start without an answer came before: the run may be under way whatever later answers say.
    bool m_has_unanswered_start = false;
    // When the worker answered the stop; the run is over if a listing asked for later does not have it.
    std::optional<instant> m_stop_answered_at;
    // What a listed end `stopped` is reported as.
    run_result m_stop_result = run_result::stopped;
    int m_percent = -1;
    instant m_progress_at;
    instant m_next_call_at;
};

// A home and what is owed to it.
struct guarded_home {
    std::string m_address;
    instant m_lease_end;
    std::uint64_t m_orders_seen = 0;
    // Outcomes that the home has not acknowledged.
    std::vector<run_outcome> m_outcomes;
};

// Calls to the worker.
struct guard_actions {
    std::vector<run_order> m_starts;
    std::vector<run_id> m_stops;
};

// State of one agent. Invariant: the needs of all runs that are not waiting fit the worker's capacity, and
// every run has a home in m_homes.
struct run_guard {
    run_guard_limits m_limits;
    // The agent's own life.
    std::uint64_t m_incarnation = 0;
    std::optional<worker_report> m_report;
    // Rises over the lives of agents and workers; the worker does nothing for a lower one.
    std::int64_t m_fence = 0;
    bool m_is_shutting_down = false;

    // From the last listing: the worker's life, its clock and when it was read.
    std::optional<std::int64_t> m_worker_started;
    std::int64_t m_worker_clock_ms = 0;
    instant m_clock_read_at;
    bool m_has_listing = false;
    // Latest time at which the worker can still run what it was last granted, by this agent's clock.
    instant m_lease_end;
    // Highest acknowledged end of this life of the worker.
    std::int64_t m_last_seen = 0;
    bool m_is_worker_lost = true;

    std::map<run_id, guarded_run> m_runs;
    std::map<home_identity, guarded_home> m_homes;
    // Ended runs and when to forget them.
    std::map<run_id, instant> m_ended;
    // Runs of earlier agents or late orders, and when they were last listed as running. They hold capacity
    // until their end is listed, so nothing starts while there are any.
    std::map<run_id, instant> m_orphans;
    // Those of them whose stop has not been asked for since that listing.
    std::set<run_id> m_orphans_to_stop;
};

// A message with orders arrived. One that is meant for another life of the agent changes nothing.
void accept_orders(run_guard& guard, const order_batch& batch, instant now);

// The worker reported itself. Late or foreign reports are ignored.
void on_worker_report(run_guard& guard, const worker_report& report, instant now);
// The worker said that it is gone.
void on_worker_left(run_guard& guard, const std::string& worker, instant now);

// The next question to the worker. Grants no longer lease while the worker is not heard.
renewal begin_renewal(run_guard& guard, instant now);
// The worker answered `asked`.
void on_run_listing(run_guard& guard, const run_listing& listing, const renewal& asked, instant now);
// The worker refused this agent's fence.
void on_fenced(run_guard& guard);
// The worker said that another life runs at its address.
void on_other_incarnation(run_guard& guard, instant now);

void on_start_answer(run_guard& guard, const run_id& run, start_answer answer, instant now);
void on_stop_answer(run_guard& guard, const run_id& run, bool is_answered, instant now);

// The home has taken note of these outcomes.
void acknowledge_outcomes(run_guard& guard, const home_identity& home, std::size_t count);

// Moves everything that is due and returns the calls to make.
guard_actions advance(run_guard& guard, instant now);

// The lease end to ask for, on the worker's clock.
std::int64_t next_deadline_ms(const run_guard& guard, instant now);

// Stops everything, for a shutdown whose grace is over.
void stop_all(run_guard& guard, instant now);

agent_state state_of(const run_guard& guard, instant now);
resources free_capacity(const run_guard& guard);

// Whether nothing runs, waits or is owed to a home.
bool is_idle(const run_guard& guard);

} // namespace hawthornpin
