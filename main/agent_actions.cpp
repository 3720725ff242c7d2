// Executes the dispatcher's actions: tasks on the target, calls to peers, and answers to callers and homes.

#include "core/logging.h"
#include "main/agent_process.h"
#include "rpc/wire.h"

#include <algorithm>

namespace hawthornpin {

void agent_process::execute(actions& requested)
{
    // Executing an action never adds to the list: its results arrive as later events.
    for (const action& one : requested)
        std::visit([this](const auto& value) { execute_action(value); }, one);
    record_dispatch_counts();
}

void agent_process::execute_action(const start_task& requested)
{
    const grant_id id = requested.m_id;
    const auto started = m_clock.now();
    const job_record* job = find_job(m_dispatcher->m_ledger, id.m_ticket);
    const bool is_home_here = job != nullptr && !job->m_tasks.empty();
    const instant queued_at =
        is_home_here ? job->m_accepted_at : m_dispatcher->m_grants.m_grants.at(id).m_received_at;
    const std::chrono::duration<double> waited = started - queued_at;
    m_metrics.observe(distribution::queue_wait, waited.count());
    m_tasks.add(m_target.start(id, requested.m_payload, requested.m_budget, lease())
                    .then([this, id, started](task_end end) {
                        const bool is_too_large =
                            m_dispatcher->m_contract &&
                            end.m_answer.size() > m_dispatcher->m_contract->max_answer_bytes();
                        if (is_too_large)
                            end = {{verdict::ran, reason::answer_too_large, ticket_state::closed}, {}};
                        const std::chrono::duration<double> took = m_clock.now() - started;
                        m_metrics.observe(distribution::task_run, took.count());
                        actions next;
                        on_task_ended(*m_dispatcher, id, end, m_clock.now(), next);
                        execute(next);
                        if (end.m_outcome.m_verdict == verdict::not_run)
                            poll_target();
                    }));
}

void agent_process::execute_action(const stop_task& requested)
{
    m_tasks.add(m_target.stop(to_text(requested.m_id)));
}

void agent_process::execute_action(const send_grant& requested)
{
    struct run_reply {
        task_end m_end;
        load_report m_report;
    };
    const grant sent = requested.m_grant;
    const agent_identity peer = requested.m_worker;
    auto call = call_node<run_reply>(m_links, requested.m_address, [this, sent](wire::Node::Client node) {
        auto request = node.runRequest();
        write_wire(request.initGrant(), sent, m_clock.now());
        return request.send().then([](auto response) {
            return run_reply{read_wire(response.getEnd()),
                             {read_wire(response.getLoad()), response.getSeen()}};
        });
    });
    m_tasks.add(call.then([this, peer, sent](call_result<run_reply> result) {
        task_end end = result.m_response.m_end;
        load_report report = result.m_response.m_report;
        if (result.m_status != call_status::answered) {
            const bool is_unsent = result.m_status == call_status::not_sent;
            end = {{is_unsent ? verdict::not_run : verdict::may_have_run,
                    is_unsent ? reason::worker_lost : reason::connection_lost, ticket_state::closed},
                   {}};
            // No more tasks are placed there until a newer load report arrives.
            report.m_load.m_is_stopped = true;
            report.m_seen = sent.m_sent;
        }
        actions next;
        on_grant_reply(*m_dispatcher, peer, sent.m_id, sent.m_attempt, end, report, m_clock.now(), next);
        execute(next);
    }));
}

void agent_process::execute_action(const send_revoke& requested)
{
    const grant_id id = requested.m_id;
    const auto valid_for = std::chrono::duration_cast<milliseconds>(requested.m_valid_until - m_clock.now());
    auto call = call_node<outcome>(m_links, requested.m_address, [id, valid_for](wire::Node::Client node) {
        auto request = node.revokeRequest();
        write_wire(request.initId(), id);
        request.setValidForMs(static_cast<std::uint32_t>(std::max<long long>(0, valid_for.count())));
        return request.send().then([](auto response) { return read_wire(response.getOutcome()); });
    });
    m_tasks.add(call.then([this, id](call_result<outcome> result) {
        if (result.m_status != call_status::answered)
            return;
        actions next;
        on_revoke_reply(*m_dispatcher, id, result.m_response, m_clock.now(), next);
        execute(next);
    }));
}

void agent_process::execute_action(const reply_grant& requested)
{
    const auto found = m_offered.find({requested.m_home, requested.m_id, requested.m_attempt});
    if (found == m_offered.end())
        return;
    end_fulfiller waiting = kj::mv(found->second);
    m_offered.erase(found);
    waiting->fulfill(task_end(requested.m_end));
}

void agent_process::execute_action(const job_ended& requested)
{
    const job_record* job = find_job(m_dispatcher->m_ledger, requested.m_ticket);
    const bool is_complete = is_success(job->m_answer->m_outcome);
    m_metrics.count(is_complete ? counter::jobs_completed : counter::jobs_failed);
    const std::chrono::duration<double> took = m_clock.now() - job->m_accepted_at;
    m_metrics.observe(distribution::job_response, took.count());
    if (!is_complete) {
        log_event(log_level::info, "job_failed",
                  {{"ticket", short_text(requested.m_ticket)},
                   {"verdict", std::string(to_text(job->m_answer->m_outcome.m_verdict))},
                   {"reason", std::string(to_text(job->m_answer->m_outcome.m_reason))}});
    }
    const auto found = m_waiters.find(requested.m_ticket);
    if (found == m_waiters.end())
        return;
    std::vector<fulfiller> waiters = std::move(found->second);
    m_waiters.erase(found);
    for (fulfiller& waiter : waiters)
        waiter->fulfill();
}

void agent_process::execute_action(const notify_idle& requested)
{
    const worker_load load = current_load(*m_dispatcher);
    auto call = call_node<bool>(m_links, requested.m_address, [this, load](wire::Node::Client node) {
        auto request = node.idleRequest();
        write_wire(request.initIdentity(), m_identity);
        write_wire(request.initLoad(), load);
        return request.send().then([](auto) { return true; });
    });
    m_tasks.add(call.ignoreResult());
}

void agent_process::record_dispatch_counts()
{
    const dispatch_counts& now = m_dispatcher->m_counts;
    const auto add = [this](counter which, std::uint64_t value, std::uint64_t before) {
        m_metrics.count(which, value - before);
    };
    add(counter::tasks_started, now.m_started, m_recorded_counts.m_started);
    add(counter::tasks_finished, now.m_finished, m_recorded_counts.m_finished);
    add(counter::grants_sent, now.m_grants_sent, m_recorded_counts.m_grants_sent);
    add(counter::grants_received, now.m_grants_received, m_recorded_counts.m_grants_received);
    add(counter::grants_returned_unstarted, now.m_returned_unstarted, m_recorded_counts.m_returned_unstarted);
    add(counter::revokes_sent, now.m_revokes_sent, m_recorded_counts.m_revokes_sent);
    add(counter::idle_notices_sent, now.m_idle_notices, m_recorded_counts.m_idle_notices);
    for (const auto& [why, count] : now.m_refusals)
        m_metrics.count_refusal(why, count - m_recorded_counts.m_refusals[why]);
    for (const auto& [why, count] : now.m_retries)
        m_metrics.count_retry(why, count - m_recorded_counts.m_retries[why]);
    m_recorded_counts = now;
}

} // namespace hawthornpin
