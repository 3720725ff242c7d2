// Replays the trace with the fair queue of admission/.

#include "bench/central_queue.h"

#include "admission/fair_queue.h"

#include <algorithm>
#include <queue>

namespace hawthornpin::bench {

namespace {

struct running_task {
    instant m_end;
    std::size_t m_job;

    bool operator>(const running_task& other) const { return m_end > other.m_end; }
};

} // namespace

std::vector<milliseconds> replay_central_queue(const std::vector<trace_job>& jobs, int slots)
{
    fair_queue queue;
    std::priority_queue<running_task, std::vector<running_task>, std::greater<>> running;
    std::vector<std::size_t> remaining_tasks(jobs.size());
    std::vector<milliseconds> response(jobs.size());
    const queue_filter filter{[](const queued_task&) { return true; },
                              [](const std::string&) { return true; }, true};
    const auto start_waiting_tasks = [&](instant now) {
        while (static_cast<int>(running.size()) < slots) {
            const auto task = pop(queue, filter);
            if (!task)
                return;
            running.push({now + task->m_estimated, static_cast<std::size_t>(task->m_grant.m_ticket.m_low)});
        }
    };
    const auto finish_until = [&](instant limit) {
        while (!running.empty() && running.top().m_end <= limit) {
            const running_task ended = running.top();
            running.pop();
            if (--remaining_tasks[ended.m_job] == 0) {
                response[ended.m_job] = std::chrono::duration_cast<milliseconds>(
                    ended.m_end - instant(jobs[ended.m_job].m_arrival));
            }
            start_waiting_tasks(ended.m_end);
        }
    };
    for (std::size_t index = 0; index < jobs.size(); ++index) {
        const instant now(jobs[index].m_arrival);
        finish_until(now);
        remaining_tasks[index] = jobs[index].m_run_times.size();
        const std::string team = "team-" + std::to_string(jobs[index].m_team);
        for (std::uint32_t task = 0; task < jobs[index].m_run_times.size(); ++task)
            push(queue, {{{0, index}, task}, team, jobs[index].m_run_times[task], now, false}, 1);
        start_waiting_tasks(now);
    }
    finish_until(instant::max());
    return response;
}

} // namespace hawthornpin::bench
