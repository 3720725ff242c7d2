// The fair queue of an agent: weighted deficit round robin over teams by estimated work.
//
// A burst of one team lengthens that team's line only. Within a team, tasks keep their order of arrival.

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

// How the queue orders teams. fifo and by_count are baselines that the bench compares against.
enum class queue_policy { fifo, by_count, by_work };

// One task that waits for a slot.
struct queued_task {
    grant_id m_grant;
    std::string m_team;
    milliseconds m_estimated{0};
    instant m_queued_at;
    // Granted to this worker by another home: it can only run here.
    bool m_is_bound = false;
};

// One team's line. Invariant: m_work is the sum of the estimates of live tasks in both lines.
struct team_queue {
    std::deque<queued_task> m_movable;
    std::deque<queued_task> m_bound;
    double m_deficit_ms = 0;
    int m_weight = 1;
    milliseconds m_work{0};
    int m_live = 0;
};

// Invariant: m_live is the number of tasks that were pushed and neither popped nor forgotten.
struct fair_queue {
    queue_policy m_policy = queue_policy::by_work;
    std::map<std::string, team_queue> m_team_queues;
    // Teams with queued tasks, in turn order.
    std::deque<std::string> m_active_teams;
    int m_live = 0;
};

// Tells which queued tasks still want to run and which may run now.
struct queue_filter {
    // False for tasks whose job has ended; they are dropped. Their team's totals were reduced by forget().
    std::function<bool(const queued_task&)> m_is_live;
    // False for teams at their running limit; they are passed over.
    std::function<bool(const std::string&)> m_may_run;
    // Whether tasks bound to this worker are wanted too, or only those that may go elsewhere.
    bool m_includes_bound = true;
};

void push(fair_queue& queue, queued_task task, int weight);

// Returns a task to the head of its line with the credit that it took, when it could not run after all.
void push_front(fair_queue& queue, queued_task task, int weight);

// Takes the next task in fair order; empty if none may run.
std::optional<queued_task> pop(fair_queue& queue, const queue_filter& filter);

// Takes a task off the totals; the task itself is dropped when its turn comes.
void remove_from_totals(fair_queue& queue, const std::string& team, milliseconds estimated);

// Work that is ahead of a new task of the team under the queue's order, were the queue served by one slot.
milliseconds work_ahead(const fair_queue& queue, const std::string& team, int weight);

} // namespace hawthornpin
