// The dispatcher of an agent: schedules jobs as their home, and runs granted tasks as a worker.
//
// Pure: each function takes an event and the current time and appends actions for the caller to carry out.
// Nothing here reads a clock, does I/O, or uses a random source other than the one in the state.

#pragma once

#include "admission/estimator.h"
#include "admission/fair_queue.h"
#include "admission/limits.h"
#include "dispatch/grant_table.h"
#include "dispatch/job_ledger.h"
#include "routing/placement.h"
#include "world/team.h"

#include <map>
#include <optional>

namespace hawthornpin {

struct dispatch_settings {
    ledger_limits m_ledger;
    placement_settings m_placement;
    queue_policy m_queue = queue_policy::by_work;
    estimate_policy m_estimates = estimate_policy::observed;
    // Maximum number of tasks that wait in one agent.
    int m_max_queued = 20'000;
    // Maximum number of granted tasks that wait at a worker, per slot, when the contract favours fewer
    // messages.
    double m_accepted_per_slot = 2;
    // Whether a worker with free slots and no waiting tasks notifies loaded peers.
    bool m_notifies_idle = true;
};

// Counters of the dispatcher; the caller publishes them as metrics.
struct dispatch_counts {
    std::uint64_t m_started = 0;
    std::uint64_t m_finished = 0;
    std::uint64_t m_grants_sent = 0;
    std::uint64_t m_grants_received = 0;
    std::uint64_t m_returned_unstarted = 0;
    std::uint64_t m_revokes_sent = 0;
    std::uint64_t m_idle_notices = 0;
    std::map<reason, std::uint64_t> m_refusals;
    std::map<reason, std::uint64_t> m_retries;
};

struct dispatcher {
    worker m_self;
    dispatch_settings m_settings;
    std::optional<contract> m_contract;
    std::map<std::string, team> m_teams;
    job_ledger m_ledger;
    grant_table m_grants;
    fair_queue m_queue;
    // Last known loads of this worker and its peers.
    load_view m_view;
    placement_state m_placement;
    run_time_estimator m_estimator;
    retry_budget m_retries;
    failure_rate m_failures;
    random_source m_random;
    // Tasks started by an earlier incarnation of the agent that the target still runs; they occupy slots.
    int m_orphans_running = 0;
    // Set while the target can't be reached or reports that it is throttled or leaving.
    bool m_is_target_stopped = false;
    bool m_is_leaving = false;
    instant m_next_idle_notice;
    dispatch_counts m_counts;

    dispatcher(worker self, const dispatch_settings& settings, std::uint64_t seed);
};

// Puts a new contract and its teams into force.
void apply_contract(dispatcher& state, const contract& service, const std::map<std::string, team>& teams);

// Handles a submission from an entry. After `accepted` or `joined`, job_ended announces the answer unless it
// is already in the ledger.
admit_result on_submit(dispatcher& state, const submission& job, instant now, actions& out);

// Handles a cancellation from an entry, which may arrive before the job. The outcome says whether any task
// may have run; for an ending job it is may_have_run until job_ended.
outcome on_cancel(dispatcher& state, const ticket& cancelled, instant now, actions& out);

// Handles a grant from another home.
void on_grant(dispatcher& state, const grant& offered, instant now, actions& out);

// Handles a revocation from another home.
outcome on_revoke(dispatcher& state, const grant_id& id, instant valid_until, instant now, actions& out);

// Handles the end of a task that start_task started on the target.
void on_task_ended(dispatcher& state, const grant_id& id, const task_end& end, instant now, actions& out);

// Handles a worker's answer to send_grant, or the loss of its connection (may_have_run).
void on_grant_reply(dispatcher& state, const agent_identity& from, const grant_id& id, std::uint32_t attempt,
                    const task_end& end, const std::optional<load_report>& report, instant now, actions& out);

// Handles a worker's answer to send_revoke; not_run proves that the task did not start.
void on_revoke_reply(dispatcher& state, const grant_id& id, const outcome& result, instant now, actions& out);

// Handles an update of the usable members of the service.
void on_members(dispatcher& state, const std::vector<member>& members, instant now, actions& out);

// Handles a peer's notice that it has free slots.
void on_idle_notice(dispatcher& state, const agent_identity& from, const worker_load& load, instant now,
                    actions& out);

// Handles the target's report of its own state.
void on_target_status(dispatcher& state, int orphans_running, bool is_stopped, instant now, actions& out);

// Stops accepting new work and returns the granted tasks that have not started.
void on_leave(dispatcher& state, instant now, actions& out);

// Handles deadlines, expiry and probes. Must be called at least every 50 ms.
void on_tick(dispatcher& state, instant now, actions& out);

// Places waiting tasks. The event handlers above call it themselves.
void schedule(dispatcher& state, instant now, actions& out);

// This worker's load, as sent in its answers and announcements.
worker_load current_load(const dispatcher& state);

// Number of slots in which a task could start now.
int free_slots(const dispatcher& state);

// Number of requests in progress: live jobs, and grants that run or wait here.
int work_in_progress(const dispatcher& state);

// Whether no job is live and no task waits or runs here.
bool is_idle(const dispatcher& state);

} // namespace hawthornpin
