// Deficit round robin over the teams.

#include "admission/fair_queue.h"

#include <algorithm>

namespace hawthornpin {

namespace {

// Credit that a team of weight one gets in each round.
constexpr double quantum_ms = 100;

double cost(const fair_queue& queue, const queued_task& task)
{
    if (queue.m_policy == queue_policy::by_count)
        return quantum_ms;
    return std::max<double>(1, static_cast<double>(task.m_estimated.count()));
}

void drop_ended(std::deque<queued_task>& team_tasks, const queue_filter& filter)
{
    while (!team_tasks.empty() && !filter.m_is_live(team_tasks.front()))
        team_tasks.pop_front();
}

// Drops ended tasks and returns the deque whose head arrived first, among those that the filter includes;
// null if they are empty.
std::deque<queued_task>* choose_next_queue(team_queue& team_tasks, const queue_filter& filter)
{
    drop_ended(team_tasks.m_movable, filter);
    drop_ended(team_tasks.m_bound, filter);
    const bool has_movable = !team_tasks.m_movable.empty();
    const bool has_bound = filter.m_includes_bound && !team_tasks.m_bound.empty();
    if (has_movable && has_bound) {
        const bool is_bound_first =
            team_tasks.m_bound.front().m_queued_at <= team_tasks.m_movable.front().m_queued_at;
        return is_bound_first ? &team_tasks.m_bound : &team_tasks.m_movable;
    }
    if (has_movable)
        return &team_tasks.m_movable;
    return has_bound ? &team_tasks.m_bound : nullptr;
}

queued_task take_front(fair_queue& queue, team_queue& team_tasks, std::deque<queued_task>& from)
{
    queued_task task = std::move(from.front());
    from.pop_front();
    team_tasks.m_work -= task.m_estimated;
    --team_tasks.m_live;
    --queue.m_live;
    return task;
}

std::optional<queued_task> pop_oldest(fair_queue& queue, const queue_filter& filter)
{
    team_queue* best_queue = nullptr;
    std::deque<queued_task>* best = nullptr;
    for (auto& [name, team_tasks] : queue.m_team_queues) {
        if (!filter.m_may_run(name))
            continue;
        std::deque<queued_task>* candidate = choose_next_queue(team_tasks, filter);
        if (candidate == nullptr)
            continue;
        if (best == nullptr || candidate->front().m_queued_at < best->front().m_queued_at) {
            best = candidate;
            best_queue = &team_tasks;
        }
    }
    if (best == nullptr)
        return std::nullopt;
    return take_front(queue, *best_queue, *best);
}

bool is_empty(const team_queue& team_tasks)
{
    return team_tasks.m_movable.empty() && team_tasks.m_bound.empty();
}

// Moves the team at the front to the back. A team without queued tasks is removed and loses its credit.
void advance_to_next_team(fair_queue& queue)
{
    const std::string name = std::move(queue.m_active_teams.front());
    queue.m_active_teams.pop_front();
    team_queue& team_tasks = queue.m_team_queues.at(name);
    if (is_empty(team_tasks))
        queue.m_team_queues.erase(name);
    else
        queue.m_active_teams.push_back(name);
}

team_queue& find_or_create_queue(fair_queue& queue, const std::string& team, int weight)
{
    auto [found, is_new] = queue.m_team_queues.try_emplace(team);
    if (is_new)
        queue.m_active_teams.push_back(team);
    found->second.m_weight = std::max(1, weight);
    return found->second;
}

void add_to_totals(fair_queue& queue, team_queue& team_tasks, const queued_task& task)
{
    team_tasks.m_work += task.m_estimated;
    ++team_tasks.m_live;
    ++queue.m_live;
}

} // namespace

void push(fair_queue& queue, queued_task task, int weight)
{
    team_queue& team_tasks = find_or_create_queue(queue, task.m_team, weight);
    add_to_totals(queue, team_tasks, task);
    (task.m_is_bound ? team_tasks.m_bound : team_tasks.m_movable).push_back(std::move(task));
}

void push_front(fair_queue& queue, queued_task task, int weight)
{
    team_queue& team_tasks = find_or_create_queue(queue, task.m_team, weight);
    add_to_totals(queue, team_tasks, task);
    team_tasks.m_deficit_ms += cost(queue, task);
    (task.m_is_bound ? team_tasks.m_bound : team_tasks.m_movable).push_front(std::move(task));
}

std::optional<queued_task> pop(fair_queue& queue, const queue_filter& filter)
{
    if (queue.m_policy == queue_policy::fifo)
        return pop_oldest(queue, filter);
    // Teams without a task that may run are skipped; the loop ends once all teams were skipped in succession.
    std::size_t skipped = 0;
    while (!queue.m_active_teams.empty() && skipped < queue.m_active_teams.size()) {
        const std::string& name = queue.m_active_teams.front();
        team_queue& team_tasks = queue.m_team_queues.at(name);
        std::deque<queued_task>* candidate =
            filter.m_may_run(name) ? choose_next_queue(team_tasks, filter) : nullptr;
        if (candidate == nullptr) {
            const bool is_removed = is_empty(team_tasks);
            advance_to_next_team(queue);
            skipped += is_removed ? 0 : 1;
            continue;
        }
        skipped = 0;
        const double needed = cost(queue, candidate->front());
        if (team_tasks.m_deficit_ms < needed) {
            team_tasks.m_deficit_ms += quantum_ms * team_tasks.m_weight;
            advance_to_next_team(queue);
            continue;
        }
        team_tasks.m_deficit_ms -= needed;
        queued_task task = take_front(queue, team_tasks, *candidate);
        if (is_empty(team_tasks))
            advance_to_next_team(queue);
        return task;
    }
    return std::nullopt;
}

void remove_from_totals(fair_queue& queue, const std::string& team, milliseconds estimated)
{
    const auto found = queue.m_team_queues.find(team);
    if (found == queue.m_team_queues.end())
        return;
    found->second.m_work -= estimated;
    --found->second.m_live;
    --queue.m_live;
}

milliseconds work_ahead(const fair_queue& queue, const std::string& team, int weight)
{
    milliseconds total{0};
    for (const auto& [name, team_tasks] : queue.m_team_queues)
        total += team_tasks.m_work;
    if (queue.m_policy == queue_policy::fifo)
        return total;
    const auto own = queue.m_team_queues.find(team);
    const milliseconds own_work = own == queue.m_team_queues.end() ? milliseconds(0) : own->second.m_work;
    double ahead = static_cast<double>(own_work.count());
    for (const auto& [name, team_tasks] : queue.m_team_queues) {
        if (name == team)
            continue;
        // While the team's own queue is served, another team gets at most its weighted share of that time, or
        // its credit of one round if that is more.
        const double share =
            static_cast<double>(own_work.count() + 1) * team_tasks.m_weight / std::max(1, weight);
        const double team_quantum = quantum_ms * team_tasks.m_weight;
        ahead += std::min(static_cast<double>(team_tasks.m_work.count()), std::max(share, team_quantum));
    }
    return std::min(total, milliseconds(static_cast<long long>(ahead)));
}

} // namespace hawthornpin
