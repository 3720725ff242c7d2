// A home's view of the agents and their workers, and the choice of an agent for a task. Reads no clock and
// does no I/O.

#pragma once

#include "core/random.h"
#include "world/run_messages.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hawthornpin {

struct agent_table_limits {
    // An agent that has not answered for this long gets no orders. Three heartbeat intervals.
    milliseconds m_suspect_after{300};
    // All runs of an agent that has not answered for this long have ended; set from lost_agent_timeout()
    // where the platform's bounds are known.
    milliseconds m_lost_after{1'400};
    // An agent without runs of this home whose last status is older than this is removed from the table.
    milliseconds m_forget_after{10'000};
    // Time after the start within which all agents of a service that starts together with its entry are
    // known: two report intervals of a worker.
    milliseconds m_discovery_time{3'000};
    // First and maximum quarantine of a failing worker, during which it gets no orders. Each failed probe
    // doubles the quarantine.
    milliseconds m_first_quarantine{500};
    milliseconds m_max_quarantine{4'000};
    // Cost of placing a task in another availability zone, as a share of its duration.
    double m_other_zone_cost = 0.02;
    // Largest random addition to the cost, as a share of it, so that entries that see the same load do not
    // all choose the same worker.
    double m_random_cost = 0.05;
    // Additional cost of a full worker over an empty one, as a share of the task's duration; spreads load
    // among otherwise equal workers.
    double m_load_cost = 0.1;
    // Cost of using an agent other than the previous one of the job, as a share of the task's duration: each
    // further agent needs one more order message and one more report.
    double m_further_agent_cost = 0.15;
    // Factor by which a task takes longer outside the rack of its data.
    double m_other_rack_factor = 1.5;
};

// An order that the agent's last status did not account for yet.
struct unacknowledged_order {
    std::uint64_t m_batch = 0;
    resources m_needs;
};

struct agent_view {
    agent_status m_status;
    // Arrival of the last status.
    instant m_updated_at;
    // Arrival of the last answer to a message of this home, and the agent's clock in it.
    instant m_clock_seen_at;
    std::uint64_t m_clock_seen = 0;
    // Arrival of the first status of this incarnation.
    instant m_known_since;
    // Whether the runs of earlier incarnations of the agent have ended.
    bool m_is_reconciled = false;
    std::vector<unacknowledged_order> m_unacknowledged;
    // Number of this home's runs at the agent.
    std::uint32_t m_runs = 0;
    // Exponentially weighted means: actual duration over estimate, and failed runs over ended runs.
    double m_slowness = 1;
    double m_failure_share = 0;
    std::optional<instant> m_quarantined_until;
    milliseconds m_quarantine{0};
};

struct agent_table {
    agent_table_limits m_limits;
    std::string m_zone;
    // Zones whose agents get no orders and are no capacity.
    std::set<std::string> m_evacuated_zones;
    random_source m_random;
    // Start of this process; agents become known from then on.
    instant m_started;
    std::map<std::string, agent_view> m_agents;
    // Incarnations that a newer one has replaced; their late messages are ignored.
    std::set<agent_incarnation> m_retired;
};

// Whether the status was sent by an incarnation of the agent that another one has replaced: one that is known
// to have been replaced, or one that sent it before the known incarnation sent its last. After a restart of
// the machine, whose clock begins anew, an agent is known again once nothing was received from its earlier
// incarnation for m_lost_after.
bool is_of_ended_incarnation(const agent_table& table, const agent_status& status, instant now);

// Stores a status; one that is older than the stored one is ignored. A new incarnation starts with a fresh
// view, except that the number of runs is kept.
void record_status(agent_table& table, const agent_status& status, instant now);

// Records an answer to a message of this home, with the agent's clock at that time.
void record_clock(agent_view& agent, const agent_status& status, instant now);

// Records that a run at the agent took `duration` where `estimate` was expected.
void record_duration(agent_view& agent, milliseconds duration, milliseconds estimate);
void record_run_success(agent_view& agent);
void record_run_failure(agent_table& table, agent_view& agent, instant now);

// What a task requires of the agent that runs it.
struct placement_request {
    std::string m_service;
    resources m_needs;
    milliseconds m_estimate{0};
    std::string m_required_label;
    std::string m_preferred_rack;
    // Agents that are chosen only if there is no other.
    std::vector<std::string> m_avoided;
    // Agents that are never chosen.
    std::vector<std::string> m_excluded;
    // The agent that got the preceding task of the same job in this scheduling round; empty for the first.
    std::string m_previous_agent;
};

// Returns the usable agent with the lowest placement cost; null if none has room.
agent_view* choose_agent(agent_table& table, const placement_request& request, instant now);

// Whether any worker of the service could run the task if it were idle.
enum class feasibility { feasible, infeasible, unknown };
// Infeasible only if agents of the service are known, all their workers have reported and none could run the
// task, and the discovery time is over, so that no other agent is expected.
feasibility check_feasibility(const agent_table& table, const placement_request& request, instant now);

// Whether a presumably available worker of the service has room for the task now.
bool has_room(const agent_table& table, const std::string& service, const resources& needs, instant now);

// Whether the agent may get orders now. None in an evacuated zone may.
bool is_usable(const agent_table& table, const agent_view& agent, instant now);

// Whether the agent counts towards the capacity of its service: it is usable, or its answers are late by less
// than m_lost_after. Until then a missing answer is more likely a lost message than a lost worker.
bool is_presumed_available(const agent_table& table, const agent_view& agent, instant now);

// Free capacity by the agent's last status, less the orders of this home that it did not account for.
resources free_for_orders(const agent_view& agent);

// Totals over the presumably available workers of a service, in thousandths of a core.
struct service_load {
    std::int64_t m_capacity_milli = 0;
    // Free capacity less the demand of runs that wait at the agents; negative when more waits than is free.
    std::int64_t m_free_milli = 0;
    std::int64_t m_busy_milli = 0;
};
service_load measure_service(const agent_table& table, const std::string& service, instant now);

} // namespace hawthornpin
