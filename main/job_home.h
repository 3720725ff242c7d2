// Home of jobs: runs the decisions of dispatch/job_scheduler and exchanges their messages with agents. An
// entry has one for its own callers' jobs, an agent has one for jobs that entries forward to it.

#pragma once

#include "core/event_loop.h"
#include "core/metrics.h"
#include "dispatch/job_scheduler.h"
#include "main/platform_link.h"
#include "platform/node_settings.h"

#include <functional>
#include <string>
#include <vector>

namespace hawthornpin {

class job_home {
public:
    using answer_receiver = std::function<void(const job_answer_event&)>;
    using local_agent = std::function<agent_status(const order_batch&)>;

    // `receive` is called once for each job that was submitted and not cancelled. `links` and `counts` must
    // outlive the home.
    job_home(const node_settings& settings, std::uint64_t incarnation, platform_link& links, metrics& counts,
             answer_receiver receive);

    void submit(const work_request& request, const queue_contract& queue, milliseconds caller_timeout);
    // Cancels the job; no answer follows. False if the job is not known.
    bool cancel(const std::string& job);

    // Sets the agent in this process, which gets its orders without a call.
    void set_local_agent(local_agent agent) { m_local_agent = std::move(agent); }

    // Handles the status and the run outcomes that an agent reports.
    void on_report(const agent_status& status, const std::vector<run_outcome>& outcomes);

    // Must be called at each tick of the process.
    void tick();

    // Carries out what is due: step() now, schedule_step() once soon after the current event.
    void step();
    void schedule_step() { m_next_step.schedule(); }

    job_scheduler& scheduler() { return m_scheduler; }
    const job_scheduler& scheduler() const { return m_scheduler; }

private:
    void send_batches();
    kj::Promise<std::optional<agent_status>> send_batch(const outgoing_batch& out);
    void on_batch_end(const std::string& agent, std::uint64_t number,
                      const std::optional<agent_status>& status);
    void deliver_answers();
    void log_admission(const work_request& request, const queue_contract& queue);
    // Logs a refusal on arrival with the figures that decided.
    void log_refusal(const job_answer_event& refusal, const queue_contract& queue);
    // Observes how long the tasks in a batch waited for room.
    void observe_room_wait(const outgoing_batch& out);
    void log_orders(const outgoing_batch& out);

    platform_link& m_links;
    metrics& m_metrics;
    answer_receiver m_on_answer;
    local_agent m_local_agent;
    job_scheduler m_scheduler;
    coalesced_call m_next_step{[this] { step(); }};
    background_tasks m_tasks;
};

} // namespace hawthornpin
