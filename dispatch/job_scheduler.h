// A home's decisions about its jobs: admission, order, placement, repetition and the answer. The home is the
// entry that the callers wait at or, in a large service, an agent that entries hand jobs on to.
//
// Pure: time is an argument; messages to agents and answers to callers are values that the process carries
// out.

#pragma once

#include "config/service_directory.h"
#include "dispatch/duration_estimator.h"
#include "routing/agent_table.h"

#include <compare>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hawthornpin {

// The state of a task as its entry knows it.
enum class live_task_phase { blocked, ready, ordered, done };

struct live_task {
    live_task_phase m_phase = live_task_phase::blocked;
    // Number of the newest run; 0 before the first.
    std::uint32_t m_run = 0;
    // Where the newest run was ordered.
    std::string m_agent;
    std::uint32_t m_failed_runs = 0;
    // Agents where a run failed, was refused or made no progress.
    std::vector<std::string> m_avoided;
};

struct live_step {
    std::uint32_t m_unfinished = 0;
    std::uint32_t m_unfinished_dependencies = 0;
    milliseconds m_estimate{0};
    // Expected length of the chain from this step's start to the job's end.
    milliseconds m_critical_path{0};
    std::vector<live_task> m_tasks;
};

// A job whose caller waits. Invariant: it is answered exactly once, when it leaves the scheduler.
struct live_job {
    work_request m_request;
    queue_contract m_queue;
    instant m_arrived;
    // On time until then.
    instant m_on_time_deadline;
    // The caller leaves then.
    instant m_caller_deadline;
    std::vector<live_step> m_steps;
    // Whether a run of any of its tasks is known to have begun, or may have.
    bool m_has_begun = false;
    // Runs whose order is not settled yet.
    std::uint32_t m_open_runs = 0;
};

// Whether nothing of the job has run and no order for it is under way, so that it may be refused as not run.
bool is_provably_not_run(const live_job& job);

// Ready tasks in the order in which they are placed: those that can be on time first, the least slack first.
struct ready_key {
    bool m_is_late = false;
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
    // Not run and never will be by this request; the caller may come back after m_retry_after.
    refused,
    // Given up; some of it may have run.
    abandoned,
};
inline constexpr std::size_t job_end_count = static_cast<std::size_t>(job_end::abandoned) + 1;

// Why; the name of a counter and of a log field.
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
    // The home that the job was handed on to fell silent.
    home_lost,
    // The job was held up on its way to the home.
    hand_in_late,
};
inline constexpr std::size_t job_end_reason_count =
    static_cast<std::size_t>(job_end_reason::hand_in_late) + 1;
const char* to_text(job_end_reason why);

struct job_answer_event {
    std::string m_job;
    job_end m_end = job_end::completed;
    job_end_reason m_reason = job_end_reason::all_done;
    milliseconds m_retry_after{0};

    friend bool operator==(const job_answer_event&, const job_answer_event&) = default;
};

// A message that is due to an agent.
struct outgoing_batch {
    std::string m_agent;
    std::string m_address;
    order_batch m_batch;
};

struct scheduler_limits {
    // An idle agent hears from the entry this often, so that its clock is known and its home lease lasts.
    milliseconds m_heartbeat{100};
    // A message to an agent is repeated if it is not answered by then.
    milliseconds m_answer_timeout{250};
    // Pause before a message that was not answered is repeated; it doubles with each further one, so that an
    // agent that is short of time is not kept from its work by repetitions.
    milliseconds m_retry_pause{25};
    // No longer than two heartbeats: an agent that is back is used again soon.
    milliseconds m_max_retry_pause{200};
    // A home that was not called for this long was held up itself: answers may wait unread.
    milliseconds m_max_advance_gap{60};
    // For this long after that no agent counts as silent. One tick of the process: what waited is read by
    // then.
    milliseconds m_catch_up_time{20};
    // Tasks of a job that one agent gets in a row for the sake of fewer messages. An agent with a seventh of
    // a core takes 3 ms for each start, so more of them would delay the last.
    std::size_t m_max_consecutive_tasks = 2;
    // How long an order may wait at an agent whose room was taken by another home, for each home that orders
    // from it: on a full service a worker frees room each 50 ms, and the others are as likely to take it.
    milliseconds m_start_within_per_home{20};
    // Tasks looked at, without finding room, before the rest of the ready tasks waits for the next round.
    std::size_t m_max_placement_misses = 16;
    // Share of a job's slack that may be spent on waiting when it is admitted.
    double m_admitted_slack_share = 0.2;
};

// Messages between this entry and one agent.
struct agent_channel {
    std::vector<run_order> m_starts;
    // Runs among them, or ordered since, whose order left before in a message that was not answered: they may
    // have begun.
    std::set<run_id> m_unanswered_runs;
    std::vector<run_id> m_stops;
    // The batch that waits for its answer.
    std::optional<order_batch> m_in_flight;
    // Messages without an answer since the last one that had one.
    std::uint32_t m_consecutive_losses = 0;
    // Of the last batch; rises over all lives of the agent.
    std::uint64_t m_number = 0;
    instant m_sent_at;
    // After a message that was not answered.
    instant m_retry_at;
};

struct job_scheduler {
    scheduler_limits m_limits;
    home_identity m_self;
    std::string m_self_address;
    // Told to agents: entries that they may present themselves to.
    std::vector<std::string> m_entries;
    // Homes that order runs from the same agents, this one included.
    std::uint32_t m_homes_per_agent = 1;
    // A home among the agents knows only some of its service's agents.
    bool m_knows_all_agents = true;
    bool m_is_shutting_down = false;
    // Has no jobs and expects none: agents are not kept ready by heartbeats.
    bool m_is_dormant = false;
    // When advance() was last called, and until when no agent counts as silent.
    instant m_advanced_at;
    instant m_catching_up_until;

    agent_table m_agents;
    duration_estimator m_estimator;
    std::map<std::string, live_job> m_jobs;
    std::set<ready_key> m_ready;
    std::map<std::string, agent_channel> m_channels;
    std::vector<job_answer_event> m_answers;
};

// Admits the job or ends it at once with an answer. A job that is known already is left as it is.
void submit_job(job_scheduler& scheduler, const work_request& request, const queue_contract& queue,
                milliseconds caller_timeout, instant now);

// The end of a job that no home could run, whatever the load; for an entry that hands its jobs on.
std::optional<job_answer_event> find_permanent_refusal(const job_scheduler& scheduler,
                                                       const work_request& request,
                                                       const queue_contract& queue, instant now);

// The caller left or cancelled: stops what runs; no answer follows. False if the job is not known.
bool cancel_job(job_scheduler& scheduler, const std::string& job);

// A status and outcomes from an agent.
void on_agent_report(job_scheduler& scheduler, const agent_status& status,
                     const std::vector<run_outcome>& outcomes, instant now);

// The end of the message with this number to an agent.
void on_batch_answered(job_scheduler& scheduler, const std::string& agent, std::uint64_t number,
                       const agent_status& status, instant now);
void on_batch_lost(job_scheduler& scheduler, const std::string& agent, std::uint64_t number, instant now);

// Moves everything that is due: lost agents, late jobs, placement. Answers collect in m_answers.
void advance(job_scheduler& scheduler, instant now);

// Messages that are due; each must end in on_batch_answered() or on_batch_lost().
std::vector<outgoing_batch> take_batches(job_scheduler& scheduler, instant now);

// Admitted jobs of a queue of which nothing has been ordered.
std::size_t count_pending(const job_scheduler& scheduler, const std::string& queue);

} // namespace hawthornpin
