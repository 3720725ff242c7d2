// Simulates a small system in virtual time: the real decision code, with fakes for network, targets, callers
// and log.

#pragma once

#include "config/config_state.h"
#include "dispatch/dispatcher.h"
#include "membership/member_table.h"
#include "tests/fault_matrix/faults.h"
#include "tests/fault_matrix/schedule.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace hawthornpin::fault_matrix {

// A target with its slots. It keeps running when the agent beside it ends, and counts every start.
struct fake_target {
    std::map<grant_id, int> m_starts;
    // Payloads of the starts. A ticket that was used for two bodies may have run either of them.
    std::map<grant_id, std::string> m_payloads;
    // Running grants, each with the number of its run, so that a late end does not end another run.
    std::map<grant_id, int> m_running;
    int m_runs = 0;
};

// A machine for one agent: the agent process that runs there now, and the target beside it.
struct agent_machine {
    std::string m_id;
    std::unique_ptr<dispatcher> m_process;
    // Rises with each start and each end of a process on the machine. Messages to earlier processes are lost.
    int m_incarnation = 0;
    std::uint64_t m_generation = 0;
    std::uint64_t m_sequence = 0;
    instant m_paused_until;
    bool m_is_leaving = false;
    fake_target m_target;
};

// What a caller knows of one of its jobs.
struct caller_job {
    ticket m_ticket;
    std::string m_digest;
    std::vector<std::string> m_payloads;
    milliseconds m_run_time{0};
    // Every answer that the caller was given, in order of arrival.
    std::vector<job_answer> m_answers;
    // Whether a cancel was answered not_run. This covers the ticket, whatever body it was used for.
    bool m_is_cancelled_as_not_run = false;
    // Whether the ticket expired before it was first submitted.
    bool m_is_expired = false;
    int m_submissions = 0;
};

// A configuration change that an operator publishes.
struct operator_change {
    config_change m_change;
    std::optional<apply_verdict> m_received_verdict;
};

// Settings of one run; the defaults are those of the matrix.
struct world_plan {
    std::vector<planned_fault> m_faults;
    std::uint64_t m_seed = 1;
    // Number of tasks of each job; the jobs are submitted 40 ms apart.
    std::vector<int> m_job_widths = {1, 7, 3, 1};
    // Index of a job that is cancelled while it runs, or -1.
    int m_cancelled_job = 2;
    // Whether an agent is drained during the run.
    bool m_has_drain = true;
    milliseconds m_task_time{60};
    // With favour::messages, granted tasks wait at workers, so that there are grants to revoke.
    favour m_favour = favour::messages;
    // Delay from the submission to the cancel of a job that is cancelled early. If negative, the cancel comes
    // first.
    milliseconds m_early_cancel{6};
};

// The simulated system. Runs one plan to its end and keeps what the checks need. Machines are passed by
// index.
class world {
public:
    explicit world(world_plan plan);
    ~world();
    world(const world&) = delete;
    world& operator=(const world&) = delete;

    void run();

    // The first violated guarantee; empty if there is none.
    std::string find_violation() const;

    const fault_plan& faults() const { return m_faults; }
    // Number of jobs with at least one successful answer.
    int completed_jobs() const;

private:
    static constexpr int machine_count = 3;
    static constexpr int slots_per_machine = 2;

    // Network: calls `deliver` when a message arrives at the machine's current process, or `lost` when the
    // sender notices its loss.
    void send(step at, int to, std::function<void()> deliver, std::function<void()> lost);
    void deliver_to(int to, int incarnation, std::function<void()> deliver, std::function<void()> lost);
    void inject_fault(fault what, int machine);

    void start_process(int machine);
    void kill_process(int machine);
    void carry_out(int machine, const actions& wanted);
    void begin_task(int machine, const start_task& wanted);
    void end_task(int machine, const grant_id& id, int run, const task_end& end);
    void stop_on_target(int machine, const grant_id& id, reason why);
    void call_run(int home, const send_grant& wanted);
    void answer_run(int machine, const reply_grant& wanted);
    void call_revoke(int home, const send_revoke& wanted);
    int find_machine(const agent_identity& identity) const;
    bool is_alive(int machine, int incarnation) const;

    void tick_all();
    void poll_targets();
    void announce_all();
    void announce(int machine);
    void receive_announcement(int machine, int incarnation, const announcement& message);

    void mint_job(int width);
    void submit_job(std::size_t job);
    void resubmit_later(std::size_t job);
    void answer_caller(std::size_t job, job_answer answer);
    void cancel_job(std::size_t job);
    void mint_expired_job();
    void mint_early_cancelled_job(milliseconds cancel_delay);
    std::optional<std::size_t> add_job(int width);

    void publish(std::size_t change);
    void append_record(config_record record);
    void read_log();
    void append_checkpoint();

    // Whether a task of the job has started: with this caller's body, or with any.
    bool has_started(const caller_job& job, bool accepts_any_body) const;
    std::string check_starts() const;
    std::string check_answers() const;
    std::string check_leaks() const;
    std::string check_members() const;
    std::string check_config() const;

    world_plan m_plan;
    fault_plan m_faults;
    schedule m_time;
    random_source m_random;
    std::vector<agent_machine> m_machines;
    std::vector<caller_job> m_jobs;
    // Jobs whose callers wait at a home, with the incarnation of the home's process.
    std::multimap<std::size_t, int> m_waiting;
    // A run call in progress: the machines and process incarnations of both sides, and the grant.
    struct open_call {
        int m_home = 0;
        int m_home_incarnation = 0;
        int m_worker = 0;
        int m_worker_incarnation = 0;
        grant m_grant;
    };
    std::vector<open_call> m_open_calls;
    member_table m_members;

    std::vector<config_record> m_log;
    log_offset m_log_first_offset = 1;
    instant m_log_down_until;
    instant m_log_slow_until;
    bool m_loses_next_answer = false;
    std::vector<config_state> m_readers;
    std::vector<operator_change> m_changes;
    std::string m_config_violation;
    std::string m_member_violation;
    std::string m_drain_violation;
};

} // namespace hawthornpin::fault_matrix
