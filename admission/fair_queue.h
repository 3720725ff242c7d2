// The fair queue of an agent: weighted deficit round robin over teams by estimated work.
//
// A burst of one team lengthens only the queue of that team. Within a team, tasks keep their order of
// arrival.

#pragma once

#include "core/ids.h"
#include "core/instant.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace hawthornpin {

// How the queue orders teams. fifo and by_count are baselines for the benchmark.
enum class queue_policy { fifo, by_count, by_work };

// One task that waits for a slot.
struct queued_task {
    grant_id m_grant;
    std::string m_team;
    milliseconds m_estimated{0};
    instant m_queued_at;
    // Whether the task can only run on this worker: another home granted it to this worker, or the retry
    // budget does not allow this home to grant it to a peer again.
    bool m_is_bound = false;
};

// Queued tasks of one team. Invariant: m_work is the sum of the estimates of live tasks in both deques.
struct team_queue {
    // Tasks that may be granted to another worker.
    std::deque<queued_task> m_movable;
    // Tasks that can only run on this worker.
    std::deque<queued_task> m_bound;
    // Credit of the deficit round robin, in milliseconds of estimated work.
    double m_deficit_ms = 0;
    int m_weight = 1;
    milliseconds m_work{0};
    int m_live = 0;
};

// Invariant: m_live is the number of tasks that were pushed, not popped and not removed from the totals.
struct fair_queue {
    queue_policy m_policy = queue_policy::by_work;
    std::map<std::string, team_queue> m_team_queues;
    // Teams with queued tasks, in round-robin order.
    std::deque<std::string> m_active_teams;
    int m_live = 0;
};

// Decides which queued tasks are still to run and which may run now.
struct queue_filter {
    // False for tasks whose job has ended; they are dropped. remove_from_totals() has already reduced their
    // team's totals.
    std::function<bool(const queued_task&)> m_is_live;
    // False for teams at their running limit; they are skipped.
    std::function<bool(const std::string&)> m_may_run;
    // Whether to include tasks that can only run on this worker.
    bool m_includes_bound = true;
};

void push(fair_queue& queue, queued_task task, int weight);

// Returns a popped task that could not run to the head of its team's queue and restores the credit it used.
void push_front(fair_queue& queue, queued_task task, int weight);

// Removes and returns the next task in fair order; empty if none may run.
std::optional<queued_task> pop(fair_queue& queue, const queue_filter& filter);

// Subtracts a task from the totals; the task itself is dropped when it reaches the head of its queue.
void remove_from_totals(fair_queue& queue, const std::string& team, milliseconds estimated);

// Estimated work that would be served before a new task of the team if one slot served the queue.
milliseconds work_ahead(const fair_queue& queue, const std::string& team, int weight);

} // namespace hawthornpin
