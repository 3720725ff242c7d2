// The run guard of an agent: decides which runs start on the agent's only worker, which are stopped, and
// which have ended.
//
// Pure: time is an argument, and calls to the worker are actions that the caller of advance() carries out.

#pragma once

#include "membership/evacuation.h"
#include "world/run_messages.h"
#include "world/worker_report.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hawthornpin {

// Interval at which processes make time-driven decisions; they make all others at once.
inline constexpr milliseconds decision_tick{20};

// Time limits of the guard; see make_run_guard_limits() for how they are derived.
struct run_guard_limits {
    // The runs of a home that sent no message within this time are stopped, and a start order older than this
    // is refused.
    milliseconds m_home_lease{380};
    // Lease requested from the worker with each start and renewal.
    milliseconds m_worker_lease{420};
    // The longest lease that the worker grants, also if a later deadline is requested.
    milliseconds m_max_worker_lease{1'000};
    // Without a listing for this long, nothing is started or renewed, and the worker counts as silent once
    // all leases granted before have lapsed. Covers two renewals.
    milliseconds m_listing_validity{400};
    // How long a renewal waits at the worker for the end of a run: while there are runs, and while there are
    // none. A lost answer costs the wait and a timeout; three of these fit into the listing's validity.
    milliseconds m_busy_listing_wait{60};
    milliseconds m_idle_listing_wait{200};
    // A run without progress for this long is stopped. A worker ten times slower than usual still advances
    // the longest tasks by a hundredth within this time.
    milliseconds m_stall_limit{600};
    // For this long a stopped run may be listed neither as running nor as ended. Twice the platform's bound
    // for a stop.
    milliseconds m_stop_settle_time{100};
    // How long an ended run is remembered, so that a repeated order does not start it again. Longer than a
    // start order stays valid.
    milliseconds m_ended_retention{2'000};
    // Share of the time by which a worker's clock may be slow.
    double m_clock_drift = 0.02;
};

// Derives the limits from the worker's longest lease and the time after which a caller resubmits: a run whose
// entry, home and agent stop answering one after the other has ended before its job can start elsewhere.
run_guard_limits make_run_guard_limits(milliseconds max_lease, milliseconds stop_time,
                                       milliseconds resubmit_after);

// Time without an answer from an agent after which its home takes the agent's runs as ended: home lease,
// worker lease and the time of a stop have passed.
milliseconds lost_agent_timeout(const run_guard_limits& limits);

enum class run_phase { waiting, starting, running, stopping };

// A worker's refusal of a start.
struct refused_start {
    // Result that is reported if the run did not begin.
    run_result m_result = run_result::refused;
    instant m_answered_at;
};

// A run that the guard is responsible for.
struct guarded_run {
    run_order m_order;
    home_identity m_home;
    run_phase m_phase = run_phase::waiting;
    instant m_received;
    // Unset until the worker has answered or listed that the run began.
    instant m_started;
    // Whether a start or stop call is in progress; no second call for the run is made before it ends.
    bool m_is_call_open = false;
    // The incarnation of the worker that its start calls were meant for, by its start time; unset before the
    // first call, and if the worker does not report it.
    std::optional<std::int64_t> m_worker_started;
    // Whether a start call was not answered: the run may have started, whatever later answers report.
    bool m_has_unanswered_start = false;
    // Invariant: not_run while every start call was answered that it had no effect.
    verdict m_verdict = verdict::not_run;
    // A refusal after which the run may have begun all the same, by an earlier start without an answer: the
    // next listing tells.
    std::optional<refused_start> m_refused_start;
    // When the worker answered the stop; the run has ended if a listing requested more than
    // m_stop_settle_time later does not contain it.
    std::optional<instant> m_stop_answered_at;
    // Result that is reported for a listed end `stopped`.
    run_result m_stop_result = run_result::stopped;
    int m_percent = -1;
    instant m_progress_at;
    instant m_next_call_at;
};

// A home that orders runs from this agent.
struct guarded_home {
    std::string m_address;
    instant m_lease_end;
    std::uint64_t m_orders_seen = 0;
    // Outcomes that the home has not acknowledged.
    std::vector<run_outcome> m_outcomes;
};

// Calls to make to the worker.
struct guard_actions {
    std::vector<run_order> m_starts;
    // The lease end to request with the starts, on the worker's clock. Taken with the decision, so that the
    // worker refuses a start that is sent late.
    std::int64_t m_start_deadline_ms = 0;
    // The incarnation of the worker that the starts are meant for, by its start time; no other one may get
    // them. Unset if the worker does not report it.
    std::optional<std::int64_t> m_worker_started;
    std::vector<run_id> m_stops;
};

// A run that is over, remembered so that a repeated order does not start it again.
struct ended_run {
    instant m_remembered_until;
    verdict m_verdict = verdict::may_have_run;
};

// State of one agent. Invariant: the needs of all runs that are not waiting fit the worker's capacity, and
// every run has a home in m_homes.
struct run_guard {
    run_guard_limits m_limits;
    // The agent's own incarnation.
    std::uint64_t m_incarnation = 0;
    std::optional<worker_report> m_report;
    instant m_report_received_at;
    // Fencing token; rises over the incarnations of agents and workers. The worker refuses calls with a lower
    // one.
    std::int64_t m_fence = 0;
    bool m_is_shutting_down = false;
    // Set when the worker deregisters, until it reports that it serves again. Its lease is not renewed
    // meanwhile: it may end at any moment, without a sign.
    bool m_has_worker_left = false;

    // The agent's availability zone, and the zones that are evacuated as far as the agent knows.
    std::string m_zone;
    evacuation_view m_evacuation;
    // Orders that were returned without a start because of m_evacuation, by reason.
    std::map<start_bar, std::uint64_t> m_barred_orders;

    // From the last listing: the start of the worker's incarnation, the worker's clock, and when that was
    // read.
    std::optional<std::int64_t> m_worker_started;
    std::int64_t m_worker_clock_ms = 0;
    instant m_clock_read_at;
    bool m_has_listing = false;
    // Latest time, by this agent's clock, until which the worker can still run tasks under the leases granted
    // to it.
    instant m_lease_end;
    // Highest number of a listed end of this incarnation of the worker; acknowledged by the next renewal.
    std::int64_t m_last_seen = 0;
    // Set before the first listing, and once all leases have lapsed without a recent listing.
    bool m_is_worker_silent = true;
    // Since when the known incarnation of the worker is not found at its address: no connection was made, or
    // another incarnation answered. Unset by a listing that was asked for later.
    std::optional<instant> m_unreachable_since;

    std::map<run_id, guarded_run> m_runs;
    std::map<home_identity, guarded_home> m_homes;
    std::map<run_id, ended_run> m_ended;
    // Orphaned runs, of earlier agents or late orders, and when they were last listed as running. They occupy
    // capacity until they have ended, so nothing starts while there are any.
    std::map<run_id, instant> m_orphans;
    // Orphaned runs whose stop has not been requested since that listing.
    std::set<run_id> m_orphans_to_stop;
};

// Handles a batch of orders. A batch for another incarnation of the agent changes nothing.
void accept_orders(run_guard& guard, const order_batch& batch, instant now);

// Handles a worker's report. Late reports and those of an earlier incarnation are ignored.
void on_worker_report(run_guard& guard, const worker_report& report, instant now);
// Handles the report that a worker leaves: stops its runs, each of which has ended only once the worker lists
// that, or the lease has lapsed. Reports about workers of other agents are ignored.
void on_worker_left(run_guard& guard, const std::string& worker, instant now);

// Creates the next renewal to send to the worker. It extends no lease while there is no recent listing.
renewal begin_renewal(run_guard& guard, instant now);
// Handles the worker's answer to the renewal `asked`.
void on_run_listing(run_guard& guard, const run_listing& listing, const renewal& asked, instant now);
// Handles the worker's refusal of this agent's fence.
void on_fenced(run_guard& guard);
// Handles the worker's answer that another incarnation runs at its address.
void on_other_incarnation(run_guard& guard, instant now);
// Handles that no connection to the worker was made: nothing starts, and what has not started is returned,
// until the worker lists its runs again.
void on_worker_unreachable(run_guard& guard, instant now);

void on_start_answer(run_guard& guard, const run_id& id, start_answer answer, instant now);
void on_stop_answer(run_guard& guard, const run_id& id, bool is_answered, instant now);

// Drops the first `count` outcomes of the home, which it has acknowledged.
void acknowledge_outcomes(run_guard& guard, const home_identity& home, std::size_t count);

// Handles everything that is due and returns the calls to make.
guard_actions advance(run_guard& guard, instant now);

// The lease end to request from the worker, on the worker's clock.
std::int64_t next_deadline_ms(const run_guard& guard, instant now);

// Requests a stop of all runs that do not wait, for a shutdown whose grace period has ended.
void stop_all(run_guard& guard, instant now);

// Whether starts on the worker are barred because its zone is evacuated, or may be.
start_bar find_start_bar(const run_guard& guard, instant now);

agent_state state_of(const run_guard& guard, instant now);
resources free_capacity(const run_guard& guard);

// Whether there are no runs and no outcomes that a home has not acknowledged.
bool is_idle(const run_guard& guard);

} // namespace hawthornpin
