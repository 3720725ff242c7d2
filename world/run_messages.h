// What entries and agents tell each other about runs, as immutable values.

#pragma once

#include "core/instant.h"
#include "world/work_request.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hawthornpin {

// One process life of the entry that a job's caller waits at.
struct home_identity {
    std::string m_id;
    std::uint64_t m_incarnation = 0;

    friend auto operator<=>(const home_identity&, const home_identity&) = default;
};

// One process life of an agent.
struct agent_incarnation {
    std::string m_id;
    std::uint64_t m_incarnation = 0;

    friend auto operator<=>(const agent_incarnation&, const agent_incarnation&) = default;
};

// Asks for one start. An agent that can't start it within m_start_within hands it back unstarted.
struct run_order {
    run_id m_run;
    std::string m_specification;
    resources m_needs;
    milliseconds m_estimate{0};
    milliseconds m_start_within{0};
    // Waiting orders start in the order of their remaining slack. Counted from the order's arrival.
    milliseconds m_slack{0};

    friend bool operator==(const run_order&, const run_order&) = default;
};

// How an order ended.
enum class run_result : std::uint8_t {
    done,
    failed,
    // Never started, and never will.
    not_started,
    // Started perhaps; nothing of it runs any more.
    lost,
    // Stopped by its home's order, or because its home fell silent.
    stopped,
    // Made no progress and was stopped.
    stalled,
    // The worker has seen this run's number or a higher one.
    superseded,
    // The worker refused it as unhealthy; nothing ran.
    refused,
};
inline constexpr std::uint8_t run_result_count = static_cast<std::uint8_t>(run_result::refused) + 1;

const char* to_text(run_result result);

struct run_outcome {
    run_id m_run;
    run_result m_result = run_result::done;
    // From the start's acknowledgement to its listed end; zero if it did not start.
    milliseconds m_duration{0};

    friend bool operator==(const run_outcome&, const run_outcome&) = default;
};

// Whether an agent takes orders.
enum class agent_state : std::uint8_t {
    // The worker has not reported, or runs of an earlier life are still being stopped.
    preparing,
    serving,
    // The worker drains, or the agent shuts down.
    leaving,
    // The worker does not answer.
    worker_silent,
};
inline constexpr std::uint8_t agent_state_count = static_cast<std::uint8_t>(agent_state::worker_silent) + 1;

const char* to_text(agent_state state);

// An agent's state, sent with every message of it.
struct agent_status {
    agent_incarnation m_identity;
    std::string m_address;
    std::string m_zone;
    std::string m_service;
    std::vector<std::string> m_labels;
    agent_state m_state = agent_state::preparing;
    // Whether the worker is known to run nothing that an earlier life of the agent started.
    bool m_is_reconciled = false;
    resources m_capacity;
    // Capacity less all that runs, is being stopped or waits. May be negative.
    resources m_free;
    // The agent's own clock, in microseconds; only meaningful to the agent itself.
    std::uint64_t m_clock = 0;
    // Number of the last message with orders from the receiver that is accounted for in m_free.
    std::uint64_t m_orders_seen = 0;
    // Rises with each status of one life; a late one is ignored.
    std::uint64_t m_sequence = 0;

    friend bool operator==(const agent_status&, const agent_status&) = default;
};

// One message from an entry to an agent.
struct order_batch {
    home_identity m_home;
    std::string m_home_address;
    // The life of the agent that is meant; another one does not take the orders.
    std::uint64_t m_agent_incarnation = 0;
    // The agent's clock as last seen by the home; proves how old the home's knowledge is at most.
    std::uint64_t m_clock_seen = 0;
    std::uint64_t m_number = 0;
    std::vector<run_order> m_starts;
    std::vector<run_id> m_stops;
    // Addresses of entries that the home knows.
    std::vector<std::string> m_entries;

    friend bool operator==(const order_batch&, const order_batch&) = default;
};

} // namespace hawthornpin
