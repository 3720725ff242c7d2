// Turns calls of entries and peers into events of the dispatcher.

#include "main/agent_node.h"

#include "rpc/wire.h"

#include <algorithm>

namespace hawthornpin {

namespace {

constexpr outcome not_serving{verdict::not_run, reason::not_ready, ticket_state::open};
constexpr outcome unknown_ticket{verdict::not_run, reason::unknown_ticket, ticket_state::open};
// Maximum number of callers that wait for one job at the same time.
constexpr std::size_t max_waiters_per_job = 64;

std::string make_sender_key(const agent_identity& sender)
{
    return sender.m_id + "/" + std::to_string(static_cast<std::uint64_t>(sender.m_incarnation));
}

} // namespace

kj::Promise<void> agent_process::node_server::wait_for_end(const ticket_id& id)
{
    auto pair = kj::newPromiseAndFulfiller<void>();
    auto& waiters = m_process.m_waiters[id];
    std::erase_if(waiters, [](fulfiller& waiter) { return !waiter->isWaiting(); });
    waiters.push_back(kj::mv(pair.fulfiller));
    return kj::mv(pair.promise);
}

std::uint64_t agent_process::node_server::record_received(const std::string& sender, std::uint64_t sent)
{
    std::uint64_t& highest_sent = m_process.m_received[sender];
    highest_sent = std::max(highest_sent, sent);
    return highest_sent;
}

bool agent_process::node_server::write_answer(wire::JobAnswer::Builder to, const ticket_id& id) const
{
    const job_record* job = find_job(m_process.m_dispatcher->m_ledger, id);
    if (job == nullptr || !job->m_answer)
        return false;
    write_wire(to, *job->m_answer);
    return true;
}

kj::Promise<void> agent_process::node_server::submit(SubmitContext context)
{
    if (!is_serving()) {
        write_wire(context.getResults().initAnswer(), job_answer{not_serving, {}, {}});
        return kj::READY_NOW;
    }
    const submission job = read_wire(context.getParams().getSubmission());
    const ticket_id id = job.m_ticket.m_id;
    const std::string sender = context.getParams().getFrom().cStr();
    record_received(sender, context.getParams().getSent());
    context.releaseParams();
    actions requested;
    const admit_result admitted = on_submit(*m_process.m_dispatcher, job, m_process.m_clock.now(), requested);
    m_process.m_metrics.count(admitted.m_kind == admit_kind::joined ? counter::jobs_joined
                                                                    : counter::jobs_submitted);
    const auto found = m_process.m_waiters.find(id);
    const bool has_max_waiters =
        found != m_process.m_waiters.end() && found->second.size() >= max_waiters_per_job;
    // The waiter is registered before the actions are executed: they may end the job at once.
    kj::Promise<void> ended = kj::READY_NOW;
    const job_record* job_known = find_job(m_process.m_dispatcher->m_ledger, id);
    const bool is_waiting =
        admitted.m_kind != admit_kind::refused && !job_known->m_answer && !has_max_waiters;
    if (is_waiting)
        ended = wait_for_end(id);
    m_process.execute(requested);
    return ended.then([this, context, id, admitted, sender]() mutable {
        auto results = context.getResults();
        write_wire(results.initLoad(), current_load(*m_process.m_dispatcher));
        results.setSeen(record_received(sender, 0));
        // A submission refused for its different body must not receive the answer of the first body.
        const bool is_other_body = admitted.m_refusal.m_reason == reason::body_differs;
        if (!is_other_body && write_answer(results.initAnswer(), id))
            return;
        outcome refusal = admitted.m_refusal;
        if (admitted.m_kind != admit_kind::refused)
            refusal = {verdict::may_have_run, reason::too_many_waiters, ticket_state::open};
        write_wire(results.initAnswer(), job_answer{refusal, {}, {}});
    });
}

kj::Promise<void> agent_process::node_server::fetch(FetchContext context)
{
    if (!is_serving()) {
        write_wire(context.getResults().initAnswer(), job_answer{not_serving, {}, {}});
        return kj::READY_NOW;
    }
    const ticket asked = read_wire(context.getParams().getTicket());
    const unsigned wait_ms = context.getParams().getWaitMs();
    const job_record* job = find_job(m_process.m_dispatcher->m_ledger, asked.m_id);
    kj::Promise<void> ended = kj::READY_NOW;
    if (job != nullptr && !job->m_answer && wait_ms > 0)
        ended = wait_for_end(asked.m_id).exclusiveJoin(after_delay(wait_ms));
    return ended.then([this, context, asked]() mutable {
        auto results = context.getResults();
        write_wire(results.initLoad(), current_load(*m_process.m_dispatcher));
        if (write_answer(results.initAnswer(), asked.m_id))
            return;
        if (find_job(m_process.m_dispatcher->m_ledger, asked.m_id) != nullptr) {
            results.getAnswer().setPending(true);
            return;
        }
        const bool is_own = asked.m_home == m_process.m_identity;
        const bool is_expired = asked.m_expiry <= m_process.m_clock.now();
        outcome missing = unknown_ticket;
        if (!is_own)
            missing = {verdict::may_have_run, reason::wrong_incarnation, ticket_state::closed};
        else if (is_expired)
            missing = {verdict::may_have_run, reason::ticket_expired, ticket_state::closed};
        write_wire(results.initAnswer(), job_answer{missing, {}, {}});
    });
}

kj::Promise<void> agent_process::node_server::cancel(CancelContext context)
{
    if (!is_serving()) {
        write_wire(context.getResults().initOutcome(), not_serving);
        return kj::READY_NOW;
    }
    const ticket cancelled = read_wire(context.getParams().getTicket());
    actions requested;
    const outcome result = on_cancel(*m_process.m_dispatcher, cancelled, m_process.m_clock.now(), requested);
    m_process.m_metrics.count(counter::jobs_cancelled);
    const job_record* job = find_job(m_process.m_dispatcher->m_ledger, cancelled.m_id);
    kj::Promise<void> ended = kj::READY_NOW;
    if (job != nullptr && !job->m_answer)
        ended = wait_for_end(cancelled.m_id);
    m_process.execute(requested);
    return ended.then([this, context, cancelled, result]() mutable {
        const job_record* ended_job = find_job(m_process.m_dispatcher->m_ledger, cancelled.m_id);
        const bool has_answer = ended_job != nullptr && ended_job->m_answer;
        write_wire(context.getResults().initOutcome(), has_answer ? ended_job->m_answer->m_outcome : result);
    });
}

kj::Promise<void> agent_process::node_server::run(RunContext context)
{
    const grant offered = read_wire(context.getParams().getGrant(), m_process.m_clock.now());
    context.releaseParams();
    if (!is_serving()) {
        auto end = context.getResults().initEnd();
        write_wire(end.initOutcome(), outcome{verdict::not_run, reason::not_ready, ticket_state::closed});
        return kj::READY_NOW;
    }
    auto pair = kj::newPromiseAndFulfiller<task_end>();
    const offered_key key{offered.m_home, offered.m_id, offered.m_attempt};
    m_process.m_offered.insert_or_assign(key, kj::mv(pair.fulfiller));
    const std::string sender = make_sender_key(offered.m_home);
    record_received(sender, offered.m_sent);
    actions requested;
    on_grant(*m_process.m_dispatcher, offered, m_process.m_clock.now(), requested);
    m_process.execute(requested);
    return pair.promise.then([this, context, sender](task_end end) mutable {
        auto results = context.getResults();
        results.setSeen(record_received(sender, 0));
        write_wire(results.initEnd(), end);
        write_wire(results.initLoad(), current_load(*m_process.m_dispatcher));
    });
}

kj::Promise<void> agent_process::node_server::revoke(RevokeContext context)
{
    outcome result{verdict::not_run, reason::not_ready, ticket_state::closed};
    if (is_serving()) {
        const instant now = m_process.m_clock.now();
        const auto params = context.getParams();
        actions requested;
        result = on_revoke(*m_process.m_dispatcher, read_wire(params.getId()),
                           now + milliseconds(params.getValidForMs()), now, requested);
        m_process.execute(requested);
    }
    write_wire(context.getResults().initOutcome(), result);
    return kj::READY_NOW;
}

kj::Promise<void> agent_process::node_server::idle(IdleContext context)
{
    if (!is_serving())
        return kj::READY_NOW;
    const auto params = context.getParams();
    actions requested;
    on_idle_notice(*m_process.m_dispatcher, read_wire(params.getIdentity()), read_wire(params.getLoad()),
                   m_process.m_clock.now(), requested);
    m_process.execute(requested);
    return kj::READY_NOW;
}

} // namespace hawthornpin
