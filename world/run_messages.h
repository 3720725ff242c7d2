// Messages between homes and agents about runs, as immutable values.

#pragma once

#include "core/instant.h"
#include "core/verdict.h"
#include "world/evacuation_state.h"
#include "world/work_request.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hawthornpin {

// One incarnation of the process that schedules a job, or one session of an entry with a home.
struct home_identity {
    std::string m_id;
    std::uint64_t m_incarnation = 0;

    friend auto operator<=>(const home_identity&, const home_identity&) = default;
};

// One incarnation of an agent process.
struct agent_incarnation {
    std::string m_id;
    std::uint64_t m_incarnation = 0;

    friend auto operator<=>(const agent_incarnation&, const agent_incarnation&) = default;
};

// Requests one start. An agent that can't start the run within m_start_within returns it as not started.
struct run_order {
    run_id m_run;
    std::string m_specification;
    resources m_needs;
    // Label that the worker must have; empty for any worker.
    std::string m_required_label;
    milliseconds m_estimate{0};
    milliseconds m_start_within{0};
    // Waiting orders are started in the order of their remaining slack, which counts from the order's
    // arrival.
    milliseconds m_slack{0};

    friend bool operator==(const run_order&, const run_order&) = default;
};

// How an order ended. Whether the run may have begun is told by the verdict beside it.
enum class run_result : std::uint8_t {
    done,
    failed,
    // This order started nothing, and never will.
    not_started,
    // Ended for a reason that is not known; nothing of it is running any more.
    lost,
    // Stopped by order of its home, or because its home stopped responding.
    stopped,
    // Stopped because it made no progress.
    stalled,
    // The worker has already received this run's number or a higher one for the task.
    superseded,
    // The worker refused a start because the worker is unhealthy.
    refused,
};
inline constexpr std::uint8_t run_result_count = static_cast<std::uint8_t>(run_result::refused) + 1;

const char* to_text(run_result result);

struct run_outcome {
    run_id m_run;
    run_result m_result = run_result::done;
    // From the acknowledgement of the start until the worker listed the end; zero if the run did not start.
    milliseconds m_duration{0};
    // not_run only if no start call can have had an effect.
    verdict m_verdict = verdict::may_have_run;

    friend bool operator==(const run_outcome&, const run_outcome&) = default;
};

// Whether an agent takes orders.
enum class agent_state : std::uint8_t {
    // The worker has not reported, runs of an earlier incarnation of the agent are still being stopped, or
    // the agent's state of the evacuated zones is unknown or too old.
    preparing,
    serving,
    // The worker is draining, or the agent is shutting down.
    leaving,
    // The worker has stopped responding.
    worker_silent,
    // The agent works with another home than the receiver.
    assigned_elsewhere,
    // The agent's availability zone is evacuated.
    evacuated,
};
inline constexpr std::uint8_t agent_state_count = static_cast<std::uint8_t>(agent_state::evacuated) + 1;

const char* to_text(agent_state state);

// An agent's state, sent with every message from it.
struct agent_status {
    agent_incarnation m_identity;
    std::string m_address;
    std::string m_zone;
    std::string m_service;
    std::vector<std::string> m_labels;
    agent_state m_state = agent_state::preparing;
    // Whether the worker is known to run nothing that an earlier incarnation of the agent started.
    bool m_is_reconciled = false;
    resources m_capacity;
    // Capacity less the needs of all runs that are running, being stopped or waiting. May be negative.
    resources m_free;
    // The clock of the agent's machine, in microseconds; never compared with that of another machine.
    std::uint64_t m_clock = 0;
    // The incarnation of the home that m_orders_seen is about, and that outcomes sent with this status are
    // for. Empty if there is none, or from an agent that does not tell it.
    home_identity m_receiver;
    // Number of the last message with orders from the receiver that is accounted for in m_free.
    std::uint64_t m_orders_seen = 0;
    // Increases with each status of one incarnation; a receiver ignores a status that arrives late.
    std::uint64_t m_sequence = 0;

    friend bool operator==(const agent_status&, const agent_status&) = default;
};

// One message from a home to an agent.
struct order_batch {
    home_identity m_home;
    std::string m_home_address;
    // The incarnation of the agent that is addressed; another one ignores the orders.
    std::uint64_t m_agent_incarnation = 0;
    // The agent's clock in the last status that the home received; bounds the age of what the home knows.
    std::uint64_t m_clock_seen = 0;
    // Number of this message, which the agent reports as m_orders_seen.
    std::uint64_t m_number = 0;
    std::vector<run_order> m_starts;
    std::vector<run_id> m_stops;
    // Addresses of entries that the home knows.
    std::vector<std::string> m_entries;
    // The evacuated zones; empty if the home does not know them. The age counts from m_clock_seen.
    std::optional<evacuation_report> m_evacuation;

    friend bool operator==(const order_batch&, const order_batch&) = default;
};

} // namespace hawthornpin
