// Entries, agents and workers in virtual time, under the code that the programs run, with faults drawn from a
// seed and a checker for each rule.

#pragma once

#include "core/random.h"
#include "dispatch/entry_leases.h"
#include "dispatch/job_scheduler.h"
#include "dispatch/run_guard.h"
#include "membership/home_choice.h"
#include "tests/model/model_worker.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hawthornpin::model {

// Chances are in thousandths: of each message or call, or of each process in each 100 ms.
struct model_faults {
    int m_lose_message = 0;
    int m_delay_message = 0;
    int m_lose_worker_answer = 0;
    int m_late_worker_order = 0;
    int m_kill_agent = 0;
    int m_kill_entry = 0;
    int m_freeze_agent = 0;
    int m_freeze_entry = 0;
    int m_cut_link = 0;
    int m_restart_worker = 0;
    int m_long_run = 0;
};

// Defects that the checkers must notice.
enum class model_defect {
    none,
    // An agent does not look at the age of an order.
    accepts_old_orders,
    // An entry repeats the runs of a silent agent before their leases are over.
    retries_runs_too_early,
    // An agent frees the capacity of a stopped run at once.
    stop_frees_at_once,
    // A restarted agent does not look for runs of its earlier life.
    ignores_orphaned_runs,
    // An agent does not stop the runs of a silent home.
    keeps_runs_of_lost_homes,
    // A home does not end the jobs of a silent entry.
    keeps_jobs_of_lost_entries,
};

// Processor time of all processes: each message and step takes `m_message_cost_us`, and m_short_cost_factor
// times as much while the processors are short.
struct model_processors {
    long long m_message_cost_us = 0;
    long long m_shortage_start_ms = 0;
    long long m_shortage_length_ms = 0;
    long long m_short_cost_factor = 1;
};

struct model_settings {
    std::uint64_t m_seed = 1;
    long long m_duration_ms = 6'000;
    // One job arrives this often on average; at 50 ms, a good half of the workers is busy.
    long long m_arrival_ms = 50;
    model_faults m_faults;
    model_defect m_defect = model_defect::none;
    // Callers wait at entries that hand their jobs on to homes, as in a large service; otherwise at the
    // homes.
    bool m_is_forwarding = false;
    std::size_t m_agents = 3;
    // Homes of jobs: entries or, where these hand on, agents that are modelled apart from their workers.
    std::size_t m_homes = 2;
    // Entries that hand on.
    std::size_t m_forwarding_entries = 2;
    model_processors m_processors;
};

// What happened to the jobs that arrived within one second.
struct model_second {
    int m_jobs = 0;
    int m_completed = 0;
    // Messages between processes in this second.
    int m_messages = 0;
};

struct model_result {
    int m_jobs = 0;
    int m_completed = 0;
    int m_refused = 0;
    // By seconds since the start.
    std::vector<model_second> m_seconds;
    // The first broken rule; empty if there is none.
    std::string m_violation;
};

class platform_model {
public:
    explicit platform_model(const model_settings& settings);
    ~platform_model();
    platform_model(const platform_model&) = delete;
    platform_model& operator=(const platform_model&) = delete;

    model_result run();

private:
    struct process;
    struct home_process;
    struct agent_process;
    struct forwarding_entry;
    struct job_status;

    bool chance_hits(int thousandths);
    void at(long long when, std::function<void()> action);
    // Runs the action at the process when it is next awake, unless it has been replaced by then.
    void deliver(process& to, long long delay, std::function<void()> action);
    // Runs it when the process has time, after what arrived before.
    void run_when_processor_free(process& receiver, std::function<void()> action);
    void drain_inbox(process& receiver);
    long long message_cost_us() const;
    // Whether a call finds a connection; opening one takes steps of both ends.
    bool connect(process& from, process& to);
    void record_answer(process& from, process& to);
    // Closes a connection that has been silent for too long.
    void record_timeout(process& from, process& to);
    model_second& get_second(long long when);
    std::vector<home_candidate> list_homes() const;
    // Calls `action` at the peer and `on_end(true)` back, or `on_end(false)` after the time-out.
    void call(process& from, process& to, long long timeout, std::function<void()> action,
              std::function<void(bool)> on_end);

    void inject_faults();
    long long random_fault_ms();
    // For a while, one way or both.
    void cut_link_temporarily(process& from, process& to);
    void kill(process& victim, long long restart_delay_ms);
    void start_agent(agent_process& agent);
    void start_home(home_process& home);
    void step_agent(agent_process& agent);
    void step_home(home_process& home);
    void send_reports(agent_process& agent);
    void call_start(agent_process& agent, const run_order& order);
    void call_stop(agent_process& agent, const run_id& run);
    void renew(agent_process& agent);
    void register_agent(agent_process& agent);
    void submit(home_process& home, const std::string& job, int attempt);
    void resubmit(const std::string& job, int attempt);
    void take_answers(home_process& home);
    agent_status make_status(agent_process& agent, const home_identity* home);

    // Entries that hand their callers' jobs on; see platform_model_fronts.cpp.
    void start_forwarding_entry(forwarding_entry& entry);
    void step_forwarding_entry(forwarding_entry& entry);
    void kill_forwarding_entry(forwarding_entry& entry, long long restart_delay_ms);
    void forward_job(forwarding_entry& entry, const std::string& job, int attempt);
    void host_job(home_process& home, forwarding_entry& entry, const entry_heartbeat& heartbeat,
                  const std::string& job);
    void return_answer(home_process& home, const job_answer_event& answer);
    void take_answer(forwarding_entry& entry, const std::string& home, std::uint64_t session,
                     const job_answer_event& answer);
    void handle_lost_home(forwarding_entry& entry, const std::string& home);
    void end_expired_sessions(home_process& home);
    void inject_forwarding_entry_faults();
    void submit_to_random_entry(const std::string& job, int attempt);
    static queue_contract make_queue_contract();

    void check();
    void fail(const std::string& rule);
    instant now() const { return instant(milliseconds(m_now)); }

    model_settings m_settings;
    random_source m_random;
    long long m_now = 0;
    std::multimap<long long, std::function<void()>> m_events;
    std::vector<std::unique_ptr<home_process>> m_home_processes;
    std::vector<std::unique_ptr<agent_process>> m_agents;
    std::vector<std::unique_ptr<forwarding_entry>> m_forwarding_entries;
    std::map<std::string, job_status> m_job_statuses;
    std::set<std::pair<process*, process*>> m_cut_links;
    // Open connections, and when the first call since the last answer was made; none while all are answered.
    std::map<std::pair<process*, process*>, std::optional<long long>> m_links;
    model_result m_result;
};

} // namespace hawthornpin::model
