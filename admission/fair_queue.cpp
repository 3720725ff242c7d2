// Deficit round robin.

#include "admission/fair_queue.h"

#include <algorithm>

namespace hawthornpin {

namespace {

// Credit that a team of weight one gets on each turn.
constexpr double quantum_ms = 100;

double cost(const fair_queue& queue, const queued_task& task)
{
    if (queue.m_policy == queue_policy::by_count)
        return quantum_ms;
    return std::max<double>(1, static_cast<double>(task.m_estimated.count()));
}

void drop_dead(std::deque<queued_task>& line, const queue_filter& filter)
{
    while (!line.empty() && !filter.m_is_live(line.front()))
        line.pop_front();
}

// The task of the team that comes first by arrival among the wanted ones.
std::deque<queued_task>* next_line(team_line& line, const queue_filter& filter)
{
    drop_dead(line.m_movable, filter);
    drop_dead(line.m_bound, filter);
    const bool has_movable = !line.m_movable.empty();
    const bool has_bound = filter.m_includes_bound && !line.m_bound.empty();
    if (has_movable && has_bound) {
        const bool is_bound_first = line.m_bound.front().m_queued_at <= line.m_movable.front().m_queued_at;
        return is_bound_first ? &line.m_bound : &line.m_movable;
    }
    if (has_movable)
        return &line.m_movable;
    return has_bound ? &line.m_bound : nullptr;
}

queued_task take(fair_queue& queue, team_line& line, std::deque<queued_task>& from)
{
    queued_task task = std::move(from.front());
    from.pop_front();
    line.m_work -= task.m_estimated;
    --line.m_live;
    --queue.m_live;
    return task;
}

std::optional<queued_task> pop_oldest(fair_queue& queue, const queue_filter& filter)
{
    team_line* best_line = nullptr;
    std::deque<queued_task>* best = nullptr;
    for (auto& [name, line] : queue.m_lines) {
        if (!filter.m_may_run(name))
            continue;
        std::deque<queued_task>* candidate = next_line(line, filter);
        if (candidate == nullptr)
            continue;
        if (best == nullptr || candidate->front().m_queued_at < best->front().m_queued_at) {
            best = candidate;
            best_line = &line;
        }
    }
    if (best == nullptr)
        return std::nullopt;
    return take(queue, *best_line, *best);
}

bool is_empty(const team_line& line)
{
    return line.m_movable.empty() && line.m_bound.empty();
}

// Ends the turn of the team at the front; an idle team keeps no credit.
void end_turn(fair_queue& queue)
{
    const std::string name = std::move(queue.m_turns.front());
    queue.m_turns.pop_front();
    team_line& line = queue.m_lines.at(name);
    if (is_empty(line))
        queue.m_lines.erase(name);
    else
        queue.m_turns.push_back(name);
}

team_line& line_of(fair_queue& queue, const std::string& team, int weight)
{
    auto [found, is_new] = queue.m_lines.try_emplace(team);
    if (is_new)
        queue.m_turns.push_back(team);
    found->second.m_weight = std::max(1, weight);
    return found->second;
}

void count_in(fair_queue& queue, team_line& line, const queued_task& task)
{
    line.m_work += task.m_estimated;
    ++line.m_live;
    ++queue.m_live;
}

} // namespace

void push(fair_queue& queue, queued_task task, int weight)
{
    team_line& line = line_of(queue, task.m_team, weight);
    count_in(queue, line, task);
    (task.m_is_bound ? line.m_bound : line.m_movable).push_back(std::move(task));
}

void push_front(fair_queue& queue, queued_task task, int weight)
{
    team_line& line = line_of(queue, task.m_team, weight);
    count_in(queue, line, task);
    line.m_deficit_ms += cost(queue, task);
    (task.m_is_bound ? line.m_bound : line.m_movable).push_front(std::move(task));
}

std::optional<queued_task> pop(fair_queue& queue, const queue_filter& filter)
{
    if (queue.m_policy == queue_policy::fifo)
        return pop_oldest(queue, filter);
    // Teams without a wanted task are skipped; the loop ends when all in a row were.
    std::size_t skipped = 0;
    while (!queue.m_turns.empty() && skipped < queue.m_turns.size()) {
        const std::string& name = queue.m_turns.front();
        team_line& line = queue.m_lines.at(name);
        std::deque<queued_task>* candidate = filter.m_may_run(name) ? next_line(line, filter) : nullptr;
        if (candidate == nullptr) {
            const bool is_removed = is_empty(line);
            end_turn(queue);
            skipped += is_removed ? 0 : 1;
            continue;
        }
        skipped = 0;
        const double needed = cost(queue, candidate->front());
        if (line.m_deficit_ms < needed) {
            line.m_deficit_ms += quantum_ms * line.m_weight;
            end_turn(queue);
            continue;
        }
        line.m_deficit_ms -= needed;
        queued_task task = take(queue, line, *candidate);
        if (is_empty(line))
            end_turn(queue);
        return task;
    }
    return std::nullopt;
}

void forget(fair_queue& queue, const std::string& team, milliseconds estimated)
{
    const auto found = queue.m_lines.find(team);
    if (found == queue.m_lines.end())
        return;
    found->second.m_work -= estimated;
    --found->second.m_live;
    --queue.m_live;
}

milliseconds work_ahead(const fair_queue& queue, const std::string& team, int weight)
{
    milliseconds total{0};
    for (const auto& [name, line] : queue.m_lines)
        total += line.m_work;
    if (queue.m_policy == queue_policy::fifo)
        return total;
    const auto own = queue.m_lines.find(team);
    const milliseconds own_work = own == queue.m_lines.end() ? milliseconds(0) : own->second.m_work;
    double ahead = static_cast<double>(own_work.count());
    for (const auto& [name, line] : queue.m_lines) {
        if (name == team)
            continue;
        // While the team's own line is served, another line gets at most its weighted share of that time,
        // and at least one task's turn.
        const double share = static_cast<double>(own_work.count() + 1) * line.m_weight / std::max(1, weight);
        const double turn = quantum_ms * line.m_weight;
        ahead += std::min(static_cast<double>(line.m_work.count()), std::max(share, turn));
    }
    return std::min(total, milliseconds(static_cast<long long>(ahead)));
}

} // namespace hawthornpin
