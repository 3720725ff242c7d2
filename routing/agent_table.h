// An entry's view of the agents and their workers, and the choice of one for a task. Pure.

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
    // An agent that has not answered for this long gets no orders. Three heartbeats fit in.
    milliseconds m_suspect_after{300};
    // All runs of an agent that has not answered for this long have ended; set from lost_agent_timeout()
    // where the platform's bounds are known.
    milliseconds m_lost_after{1'400};
    // An agent that has not answered for this long is forgotten.
    milliseconds m_forget_after{10'000};
    // Agents of a service that starts with its entry are all heard within this time: two reports of a worker.
    milliseconds m_discovery_time{3'000};
    // First and longest time that a failing worker gets no orders; it doubles with each failed probe.
    milliseconds m_first_quarantine{500};
    milliseconds m_longest_quarantine{4'000};
    // Cost of placing a task in another availability zone, as a share of its duration.
    double m_other_zone_cost = 0.02;
    // Random part of the cost: entries that see the same load do not all choose the same worker.
    double m_random_cost = 0.05;
    // Cost of a full worker over an empty one, as a share of the duration: spreads load among equals.
    double m_load_cost = 0.1;
    // Cost of an agent that has no task of the job yet, as a share of the duration: each further agent takes
    // one more order and one more report.
    double m_further_agent_cost = 0.15;
    // How much longer a task takes away from the rack of its data.
    double m_other_rack_factor = 1.5;
};

// Orders that the agent's last status did not account for.
struct unacknowledged_order {
    std::uint64_t m_batch = 0;
    resources m_needs;
};

struct agent_view {
    agent_status m_status;
    // When the last status arrived, and when the last answer to a message of this entry did.
    instant m_heard_at;
    instant m_clock_seen_at;
    std::uint64_t m_clock_seen = 0;
    // When this life was first heard of, and whether the runs of the life before have ended.
    instant m_known_since;
    bool m_is_reconciled = false;
    std::vector<unacknowledged_order> m_unacknowledged;
    // Runs that this entry has there.
    std::uint32_t m_runs = 0;
    // Mean of duration over estimate, and of failed over ended, weighted towards the newest.
    double m_slowness = 1;
    double m_failure_share = 0;
    std::optional<instant> m_quarantined_until;
    milliseconds m_quarantine{0};
};

struct agent_table {
    agent_table_limits m_limits;
    std::string m_zone;
    random_source m_random;
    // When this process began to listen.
    instant m_started;
    std::map<std::string, agent_view> m_agents;
    // Lives that a newer one has replaced; a message of them that arrives late changes nothing.
    std::set<agent_incarnation> m_retired;
};

// Takes a status into the table; a late one is ignored. A new life replaces the old one's view, but for the
// number of runs.
void record_status(agent_table& table, const agent_status& status, instant now);

// An answer to a message of this entry, with the agent's clock at that time.
void record_clock(agent_view& agent, const agent_status& status, instant now);

// A run ended there after `duration` where `estimate` was expected.
void record_duration(agent_view& agent, milliseconds duration, milliseconds estimate);
void record_run_success(agent_view& agent);
void record_run_failure(agent_table& table, agent_view& agent, instant now);

// What a task asks of the agent that runs it.
struct placement_request {
    std::string m_service;
    resources m_needs;
    milliseconds m_estimate{0};
    std::string m_required_label;
    std::string m_preferred_rack;
    // Agents that are only taken if there is no other.
    std::vector<std::string> m_avoided;
    // Agents that are not taken.
    std::vector<std::string> m_excluded;
    // The agent that got the task before this one of the same job in this round; empty for the first.
    std::string m_previous_agent;
};

// The agent where the task is expected to end first; null if none has room.
agent_view* choose_agent(agent_table& table, const placement_request& request, instant now);

// Whether any worker of the service could run the task when empty.
enum class feasibility { feasible, infeasible, unknown };
// Infeasible only if all agents of the service have been known for long enough that no other is to be
// expected, and none of their workers could.
feasibility check_feasibility(const agent_table& table, const placement_request& request, instant now);

// Whether a presumably available worker of the service has room for the task now.
bool has_room(const agent_table& table, const std::string& service, const resources& needs, instant now);

// Whether the agent may get orders now.
bool is_usable(const agent_table& table, const agent_view& agent, instant now);

// Whether the agent counts as capacity of its service: as usable, or only late with its answers. Until its
// runs count as over, silence says more about the messages than about the worker.
bool is_presumed_available(const agent_table& table, const agent_view& agent, instant now);

// Capacity free for this entry, by its own account.
resources free_for_orders(const agent_view& agent);

// Totals over the presumably available workers of a service, in thousandths of a core.
struct service_load {
    std::int64_t m_capacity_milli = 0;
    // Less what waits at the agents: negative when more waits than is free.
    std::int64_t m_free_milli = 0;
    std::int64_t m_busy_milli = 0;
};
service_load measure_service(const agent_table& table, const std::string& service, instant now);

} // namespace hawthornpin
