// A home of jobs: the decisions of dispatch/job_scheduler together with their messages to agents. An entry
// has one for the callers that wait there, an agent one for jobs that entries hand on to it.

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

    // `receive` is called once for each job that was submitted and not cancelled. `links` and `counts` must
    // outlive the home.
    job_home(const node_settings& settings, std::uint64_t incarnation, platform_link& links, metrics& counts,
             answer_receiver receive);

    void submit(const work_request& request, const queue_contract& queue, milliseconds caller_timeout);
    // No answer follows. False if the job is not known.
    bool cancel(const std::string& job);

    // A status and outcomes from an agent.
    void on_report(const agent_status& status, const std::vector<run_outcome>& outcomes);

    // To be called at each tick of the process.
    void tick();

    // Carries out what is due now, and soon after the current event.
    void step();
    void schedule_step() { m_next_step.schedule(); }

    job_scheduler& scheduler() { return m_scheduler; }
    const job_scheduler& scheduler() const { return m_scheduler; }

private:
    void send_batches();
    void on_batch_end(const std::string& agent, std::uint64_t number,
                      const std::optional<agent_status>& status);
    void deliver_answers();
    void log_admission(const work_request& request, const queue_contract& queue);
    void log_orders(const outgoing_batch& out);

    platform_link& m_links;
    metrics& m_metrics;
    answer_receiver m_on_answer;
    job_scheduler m_scheduler;
    coalesced_call m_next_step{[this] { step(); }};
    background_tasks m_tasks;
};

} // namespace hawthornpin
