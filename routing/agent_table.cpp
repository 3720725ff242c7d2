// Agent statuses, statistics of run outcomes, and the cost function of placement.

#include "routing/agent_table.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace hawthornpin {

namespace {

// Weight of the newest value in the exponentially weighted means: the last four to seven runs dominate.
constexpr double slowness_weight = 0.15;
constexpr double failure_weight = 0.3;
// A worker whose runs fail more often than this is quarantined.
constexpr double failure_limit = 0.5;
// Failure share that a quarantined worker starts with after the quarantine: one more failure exceeds
// failure_limit.
constexpr double probation_share = 0.4;
// At most this share of a service's workers is quarantined, so that faulty tasks do not disable all of them.
constexpr double quarantined_share = 1.0 / 3;

// Uniformly distributed in [0, 1).
double draw_fraction(random_source& source)
{
    return std::uniform_real_distribution<double>(0, 1)(source);
}

bool has_label(const agent_view& agent, const std::string& label)
{
    const auto& labels = agent.m_status.m_labels;
    return label.empty() || std::find(labels.begin(), labels.end(), label) != labels.end();
}

bool contains(const std::vector<std::string>& ids, const std::string& id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

double placement_cost(const agent_table& table, const agent_view& agent, const placement_request& request)
{
    const resources free = free_for_orders(agent);
    const double capacity =
        static_cast<double>(std::max<std::int64_t>(1, agent.m_status.m_capacity.m_cpu_milli));
    const double load = 1 - static_cast<double>(free.m_cpu_milli) / capacity;
    double cost = agent.m_slowness * (1 + table.m_limits.m_load_cost * load);
    if (agent.m_status.m_zone != table.m_zone)
        cost += table.m_limits.m_other_zone_cost;
    if (!request.m_previous_agent.empty() && agent.m_status.m_identity.m_id != request.m_previous_agent)
        cost += table.m_limits.m_further_agent_cost;
    if (!request.m_preferred_rack.empty() && !has_label(agent, request.m_preferred_rack))
        cost *= table.m_limits.m_other_rack_factor;
    return cost;
}

// Whether the agent is serving, outside of the evacuated zones, and has answered this home within `span`.
bool is_serving_within(const agent_table& table, const agent_view& agent, milliseconds span, instant now)
{
    if (agent.m_status.m_state != agent_state::serving || !agent.m_is_reconciled)
        return false;
    if (table.m_evacuated_zones.contains(agent.m_status.m_zone))
        return false;
    return agent.m_clock_seen != 0 && now <= agent.m_clock_seen_at + span;
}

// After its quarantine a worker gets one run at a time until one succeeds.
bool is_out_of_quarantine(const agent_view& agent, instant now)
{
    return !agent.m_quarantined_until || (*agent.m_quarantined_until <= now && agent.m_runs == 0);
}

bool is_quarantine_allowed(const agent_table& table, const agent_view& candidate, instant now)
{
    double agents = 0;
    double quarantined = 1;
    for (const auto& [id, agent] : table.m_agents) {
        if (agent.m_status.m_service != candidate.m_status.m_service)
            continue;
        ++agents;
        if (agent.m_quarantined_until && *agent.m_quarantined_until > now)
            ++quarantined;
    }
    return quarantined <= std::max(1.0, agents * quarantined_share);
}

} // namespace

bool is_of_ended_incarnation(const agent_table& table, const agent_status& status, instant now)
{
    if (table.m_retired.contains(status.m_identity))
        return true;
    const auto found = table.m_agents.find(status.m_identity.m_id);
    if (found == table.m_agents.end() || found->second.m_status.m_identity == status.m_identity)
        return false;
    const agent_view& known = found->second;
    const bool is_lost =
        std::max(known.m_updated_at, known.m_clock_seen_at) + table.m_limits.m_lost_after < now;
    return !is_lost && status.m_clock < known.m_status.m_clock;
}

void record_status(agent_table& table, const agent_status& status, instant now)
{
    if (is_of_ended_incarnation(table, status, now))
        return;
    const auto found = table.m_agents.find(status.m_identity.m_id);
    const bool is_known = found != table.m_agents.end();
    if (!is_known || found->second.m_status.m_identity != status.m_identity) {
        agent_view fresh;
        fresh.m_status = status;
        fresh.m_updated_at = now;
        fresh.m_known_since = now;
        if (is_known) {
            fresh.m_runs = found->second.m_runs;
            table.m_retired.insert(found->second.m_status.m_identity);
        }
        table.m_agents[status.m_identity.m_id] = std::move(fresh);
        return;
    }
    agent_view& agent = found->second;
    if (status.m_sequence <= agent.m_status.m_sequence)
        return;
    agent.m_status = status;
    agent.m_updated_at = now;
    std::erase_if(agent.m_unacknowledged,
                  [&](const unacknowledged_order& order) { return order.m_batch <= status.m_orders_seen; });
}

void record_clock(agent_view& agent, const agent_status& status, instant now)
{
    if (status.m_identity != agent.m_status.m_identity || status.m_clock < agent.m_clock_seen)
        return;
    agent.m_clock_seen = status.m_clock;
    agent.m_clock_seen_at = now;
}

void record_duration(agent_view& agent, milliseconds duration, milliseconds estimate)
{
    constexpr double min_ms = 1;
    const double expected = std::max(min_ms, static_cast<double>(estimate.count()));
    const double ratio = std::max(min_ms, static_cast<double>(duration.count())) / expected;
    const double mean = std::log(agent.m_slowness);
    agent.m_slowness = std::exp(mean + slowness_weight * (std::log(ratio) - mean));
}

void record_run_success(agent_view& agent)
{
    agent.m_failure_share *= 1 - failure_weight;
    agent.m_quarantine = milliseconds(0);
    agent.m_quarantined_until.reset();
}

void record_run_failure(agent_table& table, agent_view& agent, instant now)
{
    agent.m_failure_share += failure_weight * (1 - agent.m_failure_share);
    const bool is_failing = agent.m_failure_share > failure_limit;
    if (!is_failing || !is_quarantine_allowed(table, agent, now))
        return;
    agent.m_quarantine = std::clamp(2 * agent.m_quarantine, table.m_limits.m_first_quarantine,
                                    table.m_limits.m_max_quarantine);
    agent.m_quarantined_until = now + agent.m_quarantine;
    agent.m_failure_share = probation_share;
}

bool is_usable(const agent_table& table, const agent_view& agent, instant now)
{
    return is_serving_within(table, agent, table.m_limits.m_suspect_after, now) &&
           is_out_of_quarantine(agent, now);
}

bool is_presumed_available(const agent_table& table, const agent_view& agent, instant now)
{
    return is_serving_within(table, agent, table.m_limits.m_lost_after, now) &&
           is_out_of_quarantine(agent, now);
}

resources free_for_orders(const agent_view& agent)
{
    resources free = agent.m_status.m_free;
    for (const unacknowledged_order& order : agent.m_unacknowledged)
        free = free - order.m_needs;
    return free;
}

agent_view* choose_agent(agent_table& table, const placement_request& request, instant now)
{
    constexpr double avoidance_cost = 1'000;
    agent_view* best = nullptr;
    double best_cost = std::numeric_limits<double>::infinity();
    for (auto& [id, agent] : table.m_agents) {
        if (agent.m_status.m_service != request.m_service || !is_usable(table, agent, now))
            continue;
        if (!has_label(agent, request.m_required_label) || contains(request.m_excluded, id))
            continue;
        if (!fits(request.m_needs, free_for_orders(agent)))
            continue;
        const double avoidance = contains(request.m_avoided, id) ? avoidance_cost : 0;
        const double jitter = table.m_limits.m_random_cost * draw_fraction(table.m_random);
        const double cost = placement_cost(table, agent, request) * (1 + jitter) + avoidance;
        if (cost < best_cost) {
            best = &agent;
            best_cost = cost;
        }
    }
    return best;
}

feasibility check_feasibility(const agent_table& table, const placement_request& request, instant now)
{
    bool is_discovery_complete = now > table.m_started + table.m_limits.m_discovery_time;
    bool is_any_known = false;
    for (const auto& [id, agent] : table.m_agents) {
        if (agent.m_status.m_service != request.m_service)
            continue;
        is_any_known = true;
        if (has_label(agent, request.m_required_label) && fits(request.m_needs, agent.m_status.m_capacity))
            return feasibility::feasible;
        // The capacity of a worker that has not reported yet is unknown.
        if (agent.m_status.m_capacity == resources{})
            is_discovery_complete = false;
    }
    return is_any_known && is_discovery_complete ? feasibility::infeasible : feasibility::unknown;
}

bool has_room(const agent_table& table, const std::string& service, const resources& needs, instant now)
{
    return std::any_of(table.m_agents.begin(), table.m_agents.end(), [&](const auto& item) {
        const agent_view& agent = item.second;
        return agent.m_status.m_service == service && is_presumed_available(table, agent, now) &&
               fits(needs, free_for_orders(agent));
    });
}

service_load measure_service(const agent_table& table, const std::string& service, instant now)
{
    service_load load;
    for (const auto& [id, agent] : table.m_agents) {
        if (agent.m_status.m_service != service || !is_presumed_available(table, agent, now))
            continue;
        const std::int64_t capacity = agent.m_status.m_capacity.m_cpu_milli;
        load.m_capacity_milli += capacity;
        const std::int64_t free = free_for_orders(agent).m_cpu_milli;
        load.m_free_milli += free;
        load.m_busy_milli += capacity - std::max<std::int64_t>(0, free);
    }
    return load;
}

} // namespace hawthornpin
