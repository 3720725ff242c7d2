// Sends a home's orders and answers, and handles the reports of agents.

#include "main/job_home.h"

#include "core/logging.h"
#include "dispatch/job_admission.h"
#include "dispatch/run_guard.h"
#include "platform/message_decoding.h"

#include <algorithm>

namespace hawthornpin {

namespace {

// The rack that holds the data of the job's first such step; empty if no step names one.
std::string find_preferred_rack(const work_request& request)
{
    const auto found = std::find_if(request.m_steps.begin(), request.m_steps.end(),
                                    [](const job_step& step) { return !step.m_preferred_rack.empty(); });
    return found == request.m_steps.end() ? "" : found->m_preferred_rack;
}

} // namespace

job_home::job_home(const node_settings& settings, std::uint64_t incarnation, platform_link& links,
                   metrics& counts, answer_receiver receive)
    : m_links(links), m_metrics(counts), m_on_answer(std::move(receive))
{
    m_scheduler.m_self = {settings.m_node, incarnation};
    m_scheduler.m_self_address = settings.m_peer_address;
    m_scheduler.m_agents.m_zone = settings.m_zone;
    m_scheduler.m_agents.m_started = boot_now();
    m_scheduler.m_agents.m_random.seed(incarnation);
    m_scheduler.m_agents.m_limits.m_lost_after = lost_agent_timeout(
        make_run_guard_limits(settings.m_max_lease, settings.m_max_stop_time, settings.m_resubmit_after));
}

void job_home::submit(const work_request& request, const queue_contract& queue, milliseconds caller_timeout)
{
    const std::size_t earlier_answers = m_scheduler.m_answers.size();
    submit_job(m_scheduler, request, queue, caller_timeout, boot_now());
    log_admission(request, queue);
    if (m_scheduler.m_answers.size() > earlier_answers)
        log_refusal(m_scheduler.m_answers.back(), queue);
    schedule_step();
}

bool job_home::cancel(const std::string& job)
{
    const bool is_known = cancel_job(m_scheduler, job);
    schedule_step();
    return is_known;
}

void job_home::tick()
{
    // A dormant home without jobs only has to forget agents that are gone.
    constexpr milliseconds dormant_step_interval{500};
    const bool is_idle = m_scheduler.m_is_dormant && m_scheduler.m_jobs.empty();
    if (!is_idle || m_scheduler.m_advanced_at + dormant_step_interval <= boot_now())
        step();
}

void job_home::on_report(const agent_status& status, const std::vector<run_outcome>& outcomes)
{
    const auto known = m_scheduler.m_agents.m_agents.find(status.m_identity.m_id);
    const bool is_known = known != m_scheduler.m_agents.m_agents.end();
    const bool has_changed = !is_known || known->second.m_status.m_identity != status.m_identity ||
                             known->second.m_status.m_state != status.m_state;
    if (has_changed) {
        log_event(log_level::info, "agent_seen",
                  {{"agent", status.m_identity.m_id},
                   {"life", std::to_string(status.m_identity.m_incarnation)},
                   {"state", to_text(status.m_state)},
                   {"address", status.m_address}});
    }
    for (const run_outcome& outcome : outcomes) {
        m_metrics.count_labelled("run_outcomes", to_text(outcome.m_result));
        if (outcome.m_result != run_result::done) {
            log_event(log_level::info, "run_returned",
                      {{"run", to_text(outcome.m_run)},
                       {"result", to_text(outcome.m_result)},
                       {"verdict", std::string(to_text(outcome.m_verdict))},
                       {"agent", status.m_identity.m_id}});
        }
    }
    on_agent_report(m_scheduler, status, outcomes, boot_now());
    if (!m_scheduler.m_jobs.empty() || !m_scheduler.m_is_dormant)
        schedule_step();
}

void job_home::step()
{
    advance(m_scheduler, boot_now());
    send_batches();
    deliver_answers();
}

void job_home::send_batches()
{
    for (const outgoing_batch& out : take_batches(m_scheduler, boot_now())) {
        log_orders(out);
        observe_room_wait(out);
        const std::string agent = out.m_agent;
        const std::uint64_t number = out.m_batch.m_number;
        m_tasks.add(send_batch(out).then([this, agent, number](std::optional<agent_status> status) {
            on_batch_end(agent, number, status);
            schedule_step();
        }));
    }
}

kj::Promise<std::optional<agent_status>> job_home::send_batch(const outgoing_batch& out)
{
    if (m_local_agent && out.m_address == m_scheduler.m_self_address)
        return std::optional<agent_status>(m_local_agent(out.m_batch));
    return m_links.order(out.m_address, out.m_batch, m_scheduler.m_limits.m_answer_timeout);
}

void job_home::on_batch_end(const std::string& agent, std::uint64_t number,
                            const std::optional<agent_status>& status)
{
    if (status) {
        on_batch_answered(m_scheduler, agent, number, *status, boot_now());
        return;
    }
    m_metrics.count_labelled("batches", "unanswered");
    // Only the first unanswered batch of a series is logged; all are counted.
    if (m_scheduler.m_channels[agent].m_consecutive_losses == 0)
        log_event(log_level::warning, "agent_unanswered", {{"agent", agent}});
    on_batch_lost(m_scheduler, agent, number, boot_now());
}

void job_home::log_orders(const outgoing_batch& out)
{
    if (out.m_batch.m_starts.empty())
        return;
    m_metrics.count(counter::grants_sent, out.m_batch.m_starts.size());
    std::string runs;
    for (const run_order& order : out.m_batch.m_starts) {
        if (!runs.empty())
            runs.push_back(' ');
        runs.append(to_text(order.m_run));
    }
    const agent_view& agent = m_scheduler.m_agents.m_agents.at(out.m_agent);
    const auto age = std::chrono::duration_cast<milliseconds>(boot_now() - agent.m_updated_at);
    log_event(log_level::info, "runs_ordered",
              {{"runs", runs},
               {"agent", out.m_agent},
               {"batch", std::to_string(out.m_batch.m_number)},
               {"free_milli", std::to_string(free_for_orders(agent).m_cpu_milli)},
               {"status_age_ms", std::to_string(age.count())}});
}

void job_home::log_admission(const work_request& request, const queue_contract& queue)
{
    const auto job = m_scheduler.m_jobs.find(request.m_id);
    if (job == m_scheduler.m_jobs.end())
        return;
    const auto slack =
        std::chrono::duration_cast<milliseconds>(latest_useful_start(job->second) - boot_now());
    const std::string rack = find_preferred_rack(request);
    if (!rack.empty())
        m_metrics.count_labelled("rack_jobs", queue.m_name);
    log_event(log_level::info, "job_admitted",
              {{"job", request.m_id},
               {"queue", queue.m_name},
               {"slack_ms", std::to_string(slack.count())},
               {"rack", rack}});
}

void job_home::log_refusal(const job_answer_event& refusal, const queue_contract& queue)
{
    const service_load load = measure_service(m_scheduler.m_agents, queue.m_service, boot_now());
    log_event(log_level::info, "job_refused",
              {{"job", refusal.m_job},
               {"queue", queue.m_name},
               {"reason", to_text(refusal.m_reason)},
               {"expected_wait_ms", std::to_string(refusal.m_retry_after.count())},
               {"free_milli", std::to_string(load.m_free_milli)},
               {"capacity_milli", std::to_string(load.m_capacity_milli)},
               {"ready_tasks", std::to_string(m_scheduler.m_ready.size())}});
}

void job_home::observe_room_wait(const outgoing_batch& out)
{
    const instant now = boot_now();
    for (const run_order& order : out.m_batch.m_starts) {
        const auto job = m_scheduler.m_jobs.find(order.m_run.m_task.m_job);
        if (order.m_run.m_number != 1 || job == m_scheduler.m_jobs.end())
            continue;
        const std::chrono::duration<double> waited = now - job->second.m_arrived;
        m_metrics.observe(distribution::room_wait, waited.count());
    }
}

void job_home::deliver_answers()
{
    const auto answers = std::exchange(m_scheduler.m_answers, {});
    for (const job_answer_event& answer : answers)
        m_on_answer(answer);
}

} // namespace hawthornpin
