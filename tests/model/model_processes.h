// The simulated processes of the model. Private to tests/model.

#pragma once

#include "admission/burst_detector.h"
#include "admission/limits.h"
#include "admission/overload_control.h"
#include "membership/home_assignment.h"
#include "routing/home_table.h"
#include "tests/model/platform_model.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hawthornpin::model {

inline constexpr long long start_ms = 100'000;
inline constexpr long long step_interval_ms = 10;
inline constexpr long long resubmit_after_ms = 1'300;
inline constexpr long long caller_timeout_ms = 1'500;
inline constexpr caller_patience patience_of_callers{
    milliseconds(caller_timeout_ms), milliseconds(caller_timeout_ms), milliseconds(resubmit_after_ms)};
inline constexpr long long call_timeout_ms = 250;
inline constexpr long long worker_timeout_ms = 80;
inline constexpr long long report_interval_ms = 500;
inline constexpr long long fault_interval_ms = 100;

struct platform_model::process {
    bool m_is_up = true;
    long long m_suspended_until = 0;
    // Rises with each restart. Messages to an earlier incarnation are lost.
    std::uint64_t m_incarnation = 0;
    // Actions that wait for processor time.
    std::deque<std::function<void()>> m_inbox;
    // Until when the processor time is used up.
    long long m_busy_until_us = 0;
    // Whether a call of drain_inbox() is scheduled or in progress.
    bool m_is_draining_inbox = false;
    // Submissions that were received and not read, with the number of the caller's attempt.
    std::set<std::pair<std::string, int>> m_unread;
    // What the process knows of evacuated zones, and its reads of the store.
    evacuation_view m_evacuation;
    bool m_is_reading_store = false;
    long long m_next_store_read = 0;
    // Until when the store rejects the process.
    long long m_rejected_until = 0;
};

// A process that schedules jobs: an entry or, with forwarding, a home.
struct platform_model::home_process : process {
    std::string m_id;
    job_scheduler m_scheduler;
    // Without forwarding: jobs whose callers wait here, with the numbers of the caller's attempts.
    std::map<std::string, std::set<int>> m_callers;
    // With forwarding: the leases of the entries, and for each job the sessions and entries that wait for it.
    entry_leases m_leases;
    std::map<std::string, std::vector<std::pair<home_identity, forwarding_entry*>>> m_hosted;
};

// An entry that forwards jobs to homes.
struct platform_model::forwarding_entry : process {
    std::string m_id;
    home_table m_homes;
    // Jobs whose callers wait here, with the numbers of the caller's attempts.
    std::map<std::string, std::set<int>> m_callers;
    // How long the caller of the first of these attempts still waited when its request was read.
    std::map<std::string, milliseconds> m_caller_timeouts;
    // Jobs for which no home is available, and until when they wait for one.
    std::map<std::string, long long> m_waiting_for_home;
    // Homes that refused a job.
    std::map<std::string, std::set<std::string>> m_refused_by;
    retry_budget m_retries = make_home_retry_budget();
    burst_detector m_bursts;
    overload_control m_overload;
};

struct platform_model::agent_process : process {
    std::string m_id;
    // Empty without evacuations.
    std::string m_zone;
    run_guard m_guard;
    std::unique_ptr<model_worker> m_worker;
    std::uint64_t m_sequence = 0;
    // With forwarding: the homes that the agent may work with.
    home_assignment m_assignment;
    // Homes with a report call in progress.
    std::set<home_identity> m_reporting_to;
    bool m_is_worker_call_held = false;
};

// What the model knows of a job: the request and what its caller and the workers have seen.
struct platform_model::job_status {
    work_request m_request;
    long long m_arrived_ms = 0;
    bool m_has_started = false;
    bool m_is_refused = false;
    // Whether its last entry counts it as one of a burst.
    bool m_is_burst = false;
    int m_answers = 0;
    // Attempts that were submitted and not refused. While there are any, the job may run.
    int m_open_attempts = 0;
    // Attempts whose connection broke at the caller's side.
    std::set<int> m_silent_attempts;
    // Attempts that were answered, and those whose caller got no answer and submits the job again.
    std::set<int> m_answered_attempts;
    std::set<int> m_resubmitted_attempts;
    // Index of its kind, in a load of several kinds, and the duration of its longest task.
    std::optional<std::size_t> m_kind;
    double m_job_factor = 1;
    long long m_longest_task_ms = 0;
};

} // namespace hawthornpin::model
