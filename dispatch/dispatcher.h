// The dispatcher of an agent: home of jobs and worker for grants, as one pure state.
//
// Every function takes an event with the time and appends actions for the shell to carry out. Nothing in
// here reads a clock, does I/O or draws numbers from anywhere but the generator in the state.

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
    // Most tasks that wait in one agent.
    int m_max_queued = 20'000;
    // Most granted tasks that a worker lets wait, for each of its slots, where the contract favours messages.
    double m_accepted_per_slot = 2;
    // Whether a worker that runs dry tells loaded peers.
    bool m_notifies_idle = true;
};

// Why a task left its worker, as the shell counts it.
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
    // This worker's peers and itself.
    load_view m_view;
    placement_state m_placement;
    run_time_estimator m_estimator;
    retry_budget m_retries;
    failure_rate m_failures;
    random_source m_random;
    // Tasks of an earlier agent that the target still runs; they take slots.
    int m_orphans_running = 0;
    // Set while the target can't be reached or says that it is throttled or leaving.
    bool m_is_target_stopped = false;
    bool m_is_leaving = false;
    instant m_next_idle_notice;
    dispatch_counts m_counts;

    dispatcher(worker self, const dispatch_settings& settings, std::uint64_t seed);
};

// Takes a contract and teams as they come into force.
void apply_contract(dispatcher& state, const contract& service, const std::map<std::string, team>& teams);

// A submission from an entry. After `accepted` or `joined` the answer follows by job_ended, or is already
// in the ledger.
admit_result on_submit(dispatcher& state, const submission& job, instant now, actions& out);

// A cancel from an entry; valid before the job arrives. The outcome says whether anything may have run.
// For an ending job it is may_have_run until job_ended.
outcome on_cancel(dispatcher& state, const ticket& cancelled, instant now, actions& out);

// A grant from another home.
void on_grant(dispatcher& state, const grant& offered, instant now, actions& out);

// A revocation from another home.
outcome on_revoke(dispatcher& state, const grant_id& id, instant valid_until, instant now, actions& out);

// The target's end of a task that start_task began.
void on_task_ended(dispatcher& state, const grant_id& id, const task_end& end, instant now, actions& out);

// A worker's answer to send_grant, or the loss of its connection (may_have_run).
void on_grant_reply(dispatcher& state, const agent_identity& from, const grant_id& id, std::uint32_t attempt,
                    const task_end& end, const std::optional<load_report>& report, instant now, actions& out);

// A worker's answer to send_revoke; not_run proves that the task did not start.
void on_revoke_reply(dispatcher& state, const grant_id& id, const outcome& result, instant now, actions& out);

// News of peers: usable members of the service.
void on_members(dispatcher& state, const std::vector<member>& members, instant now, actions& out);

// A peer says that it has free slots.
void on_idle_notice(dispatcher& state, const agent_identity& from, const worker_load& load, instant now,
                    actions& out);

// What the target reports of itself.
void on_target_status(dispatcher& state, int orphans_running, bool is_stopped, instant now, actions& out);

// Stops taking new work and hands back what has not started.
void on_leave(dispatcher& state, instant now, actions& out);

// The passing of time: deadlines, expiry, probes. Call at least every 50 ms.
void on_tick(dispatcher& state, instant now, actions& out);

// Places waiting tasks; every event above does this at its end.
void schedule(dispatcher& state, instant now, actions& out);

// This worker's load as its answers and announcements carry it.
worker_load current_load(const dispatcher& state);

// Slots that are free for a start now.
int free_slots(const dispatcher& state);

// Requests in progress: live jobs and grants of other homes.
int work_in_progress(const dispatcher& state);

// Whether all state of finished work has been returned: no queued, running or live records.
bool is_idle(const dispatcher& state);

} // namespace hawthornpin
