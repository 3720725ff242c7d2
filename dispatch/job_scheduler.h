// The job scheduler of a home: admission, order, placement and repetition of tasks, and answers to callers.
// The home is the entry that the callers wait at or, in a large service, an agent that entries forward jobs
// to.
//
// Pure: time is an argument; messages to agents and answers to callers are returned as values for the caller
// to send.

#pragma once

#include "config/service_directory.h"
#include "dispatch/demand_meter.h"
#include "dispatch/duration_estimator.h"
#include "membership/evacuation.h"
#include "routing/agent_table.h"

#include <compare>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hawthornpin {

// The state of a task as its home knows it.
enum class live_task_phase { blocked, ready, ordered, done };

struct live_task {
    live_task_phase m_phase = live_task_phase::blocked;
    // Number of the newest run; 0 before the first.
    std::uint32_t m_run = 0;
    // Agent that the newest run was ordered from, and the number of the first batch with the order.
    std::string m_agent;
    std::uint64_t m_batch = 0;
    std::uint32_t m_failed_runs = 0;
    // Agents where a run failed, was refused or made no progress.
    std::vector<std::string> m_avoided;
};

struct live_step {
    std::uint32_t m_unfinished = 0;
    std::uint32_t m_unfinished_dependencies = 0;
    milliseconds m_estimate{0};
    // Expected duration of the longest sequence of dependent steps from this step's start to the job's end.
    milliseconds m_critical_path{0};
    std::vector<live_task> m_tasks;
};

// A job whose caller waits. Invariant: unless it is cancelled, it is answered exactly once, when it leaves
// the scheduler.
struct live_job {
    work_request m_request;
    queue_contract m_queue;
    instant m_arrived;
    // Deadline for an answer that counts as on time.
    instant m_on_time_deadline;
    // Instant at which the caller stops waiting.
    instant m_caller_deadline;
    std::vector<live_step> m_steps;
    // Whether a run of any of its tasks is known to have begun, or may have.
    bool m_has_begun = false;
    // Ordered runs whose outcome is not known yet.
    std::uint32_t m_open_runs = 0;
};

// Whether nothing of the job has run and no order for it is outstanding, so that it may be refused as not
// run.
bool is_provably_not_run(const live_job& job);

// Sort key of ready tasks in the order in which they are placed: those that can be on time first, then by
// the priority of their queue, then by least slack.
struct ready_key {
    bool m_is_late = false;
    int m_priority = 0;
    instant m_latest_start;
    std::string m_job;
    std::uint32_t m_step = 0;
    std::uint32_t m_index = 0;

    friend auto operator<=>(const ready_key&, const ready_key&) = default;
};

// How a job left the scheduler.
enum class job_end {
    completed,
    failed,
    // Not run, and this request never will be; the caller may retry after m_retry_after.
    refused,
    // Ended without a result; some of it may have run.
    abandoned,
};
inline constexpr std::size_t job_end_count = static_cast<std::size_t>(job_end::abandoned) + 1;

// Why a job left the scheduler; the names appear in metrics and log events.
enum class job_end_reason {
    all_done,
    attempts_exhausted,
    never_fits,
    unsupported,
    no_worker,
    overload,
    late_before_start,
    caller_deadline,
    shutting_down,
    // The home that the job was forwarded to stopped responding.
    home_lost,
    // The job was delayed on its way to the home.
    hand_in_late,
    // The entry is short of processor time.
    entry_overload,
    // The caller stopped waiting before the entry read the request.
    expired_unread,
};
inline constexpr std::size_t job_end_reason_count =
    static_cast<std::size_t>(job_end_reason::expired_unread) + 1;
const char* to_text(job_end_reason why);

struct job_answer_event {
    std::string m_job;
    job_end m_end = job_end::completed;
    job_end_reason m_reason = job_end_reason::all_done;
    milliseconds m_retry_after{0};

    friend bool operator==(const job_answer_event&, const job_answer_event&) = default;
};

// A message to be sent to an agent.
struct outgoing_batch {
    std::string m_agent;
    std::string m_address;
    order_batch m_batch;
};

struct scheduler_limits {
    // Interval of messages to an idle agent, so that its clock stays known and its home lease does not lapse.
    milliseconds m_heartbeat{100};
    // A message to an agent is repeated if it is not answered within this time.
    milliseconds m_answer_timeout{250};
    // Pause before a message that was not answered is repeated. It doubles with each further one, so that
    // repetitions do not keep an agent that is short of processor time from its work.
    milliseconds m_retry_pause{25};
    // Upper bound of the pause: two heartbeats, so that an agent that responds again is used again soon.
    milliseconds m_max_retry_pause{200};
    // A longer time between two calls of advance() means that this process was delayed: answers may wait
    // unread.
    milliseconds m_max_advance_gap{60};
    // For this long after such a delay no agent counts as lost. One tick of the process: the waiting answers
    // are read by then.
    milliseconds m_catch_up_time{20};
    // Consecutive tasks of a job that are placed on one agent to save messages. An agent with a seventh of a
    // core takes 3 ms for each start, so more of them would delay the last.
    std::size_t m_max_consecutive_tasks = 2;
    // How long an order may wait at an agent whose room was taken by another home, for each home that orders
    // from the agent: on a fully loaded service a worker frees room every 50 ms, and the other homes are as
    // likely to take it.
    milliseconds m_start_within_per_home{20};
    // Number of ready tasks for which no agent has room before the rest waits for the next call of advance().
    std::size_t m_max_placement_misses = 16;
    // A job whose caller waits for less than this is refused: it would be ended at the next tick.
    milliseconds m_min_caller_timeout{20};
    // A job is admitted if its expected wait is at most this share of its slack. Where other homes order from
    // the same agents, the wait is known less exactly.
    double m_admitted_slack_share = 0.5;
    double m_admitted_slack_share_of_shared = 0.2;
};

// Messages from this home to one agent.
struct agent_channel {
    std::vector<run_order> m_starts;
    // Runs of m_starts or m_in_flight whose order was sent before in a message that was not answered: they
    // may have begun.
    std::set<run_id> m_unanswered_runs;
    std::vector<run_id> m_stops;
    // The batch that waits for its answer.
    std::optional<order_batch> m_in_flight;
    // Number of messages lost since the last one that was answered.
    std::uint32_t m_consecutive_losses = 0;
    // Number of the last batch; keeps rising over all incarnations of the agent.
    std::uint64_t m_number = 0;
    instant m_sent_at;
    // No message is sent before this instant, which is set after a message that was not answered.
    instant m_retry_at;
};

struct job_scheduler {
    scheduler_limits m_limits;
    home_identity m_self;
    std::string m_self_address;
    // Addresses of entries that agents may register with; sent to the agents.
    std::vector<std::string> m_entries;
    // Number of homes that order runs from the same agents, this one included.
    std::uint32_t m_homes_per_agent = 1;
    // Cleared in a home that is an agent: it knows only some of its service's agents.
    bool m_knows_all_agents = true;
    bool m_is_shutting_down = false;
    // Set while no jobs are expected: agents without runs get no heartbeats.
    bool m_is_dormant = false;
    // When advance() was last called, and until when no agent counts as lost.
    instant m_advanced_at;
    instant m_catching_up_until;

    agent_table m_agents;
    // The evacuated zones as far as the home knows; sent to the agents.
    evacuation_view m_evacuation;
    duration_estimator m_estimator;
    // Demand of the admitted jobs, by service.
    std::map<std::string, demand_meter> m_demand;
    std::map<std::string, live_job> m_jobs;
    std::set<ready_key> m_ready;
    std::map<std::string, agent_channel> m_channels;
    std::vector<job_answer_event> m_answers;
};

// Sets what the home knows of evacuated zones, whose agents get no orders from now on.
void set_evacuation(job_scheduler& scheduler, const evacuation_view& view);

// Admits the job or answers it at once. A job that is known already is left as it is.
void submit_job(job_scheduler& scheduler, const work_request& request, const queue_contract& queue,
                milliseconds caller_timeout, instant now);

// Answer to a job that no home could run, whatever the load; for an entry that forwards its jobs.
std::optional<job_answer_event> find_permanent_refusal(const job_scheduler& scheduler,
                                                       const work_request& request,
                                                       const queue_contract& queue, instant now);

// Removes a job whose caller left or cancelled, and stops its runs; no answer follows. False if the job is
// unknown.
bool cancel_job(job_scheduler& scheduler, const std::string& job);

// Handles a status and outcomes from an agent.
void on_agent_report(job_scheduler& scheduler, const agent_status& status,
                     const std::vector<run_outcome>& outcomes, instant now);

// Handle the answer to the batch with this number, or its loss.
void on_batch_answered(job_scheduler& scheduler, const std::string& agent, std::uint64_t number,
                       const agent_status& status, instant now);
void on_batch_lost(job_scheduler& scheduler, const std::string& agent, std::uint64_t number, instant now);

// Handles everything that is due: lost agents, late jobs and placement. Answers are added to m_answers.
void advance(job_scheduler& scheduler, instant now);

// Takes the messages that are due. Each must be followed by on_batch_answered() or on_batch_lost().
std::vector<outgoing_batch> take_batches(job_scheduler& scheduler, instant now);

// Number of admitted jobs of a queue that are provably not run.
std::size_t count_pending(const job_scheduler& scheduler, const std::string& queue);

} // namespace hawthornpin
