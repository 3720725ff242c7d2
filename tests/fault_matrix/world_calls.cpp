// Tasks on targets, and calls between homes and workers, of the simulated system.

#include "tests/fault_matrix/times.h"
#include "tests/fault_matrix/world.h"

#include <algorithm>

namespace hawthornpin::fault_matrix {

void world::begin_task(int machine, const start_task& wanted)
{
    const int incarnation = m_machines[machine].m_incarnation;
    const grant_id id = wanted.m_id;
    const std::string payload = wanted.m_payload;
    const auto lost = [this, machine, incarnation, id] {
        if (!is_alive(machine, incarnation))
            return;
        actions next;
        on_task_ended(*m_machines[machine].m_process, id,
                      {{verdict::may_have_run, reason::target_connection_lost, {}}, {}}, m_time.now(), next);
        carry_out(machine, next);
    };
    const auto run = [this, machine, id, payload] {
        fake_target& target = m_machines[machine].m_target;
        ++target.m_starts[id];
        target.m_payloads[id] = payload;
        const int number = ++target.m_runs;
        target.m_running[id] = number;
        if (const auto injected = m_faults.reach_step(step::started))
            inject_fault(*injected, machine);
        m_time.after(m_plan.m_task_time, [this, machine, id, number, payload] {
            end_task(machine, id, number, {{verdict::ran, reason::none, {}}, "done " + payload});
        });
    };
    // The target accepts the request even if its agent is suspended or has ended. Loopback connections do not
    // duplicate it.
    const auto injected = m_faults.reach_step(step::start);
    if (injected == fault::lost || injected == fault::connection_cut) {
        m_time.after(short_delay, lost);
        return;
    }
    if (injected == fault::delayed_past_timeout) {
        m_time.after(short_delay, lost);
        m_time.after(long_delay, run);
        return;
    }
    m_time.after(link_latency, run);
    if (injected)
        inject_fault(*injected, machine);
}

void world::stop_on_target(int machine, const grant_id& id, reason why)
{
    const auto running = m_machines[machine].m_target.m_running.find(id);
    if (running == m_machines[machine].m_target.m_running.end())
        return;
    const int number = running->second;
    m_time.after(link_latency, [this, machine, id, number, why] {
        end_task(machine, id, number, {{verdict::may_have_run, why, {}}, {}});
    });
}

void world::end_task(int machine, const grant_id& id, int run, const task_end& end)
{
    fake_target& target = m_machines[machine].m_target;
    const auto running = target.m_running.find(id);
    if (running == target.m_running.end() || running->second != run)
        return;
    target.m_running.erase(running);
    const auto report = [this, machine, id](const task_end& reported) {
        if (!m_machines[machine].m_process)
            return;
        actions next;
        on_task_ended(*m_machines[machine].m_process, id, reported, m_time.now(), next);
        carry_out(machine, next);
    };
    if (!m_machines[machine].m_process)
        return;
    send(
        step::result, machine, [report, end] { report(end); },
        [report] {
            report({{verdict::may_have_run, reason::target_connection_lost, {}}, {}});
        });
}

void world::call_run(int home, const send_grant& wanted)
{
    const int worker_machine = find_machine(wanted.m_worker);
    const open_call call{home, m_machines[home].m_incarnation, worker_machine,
                         m_machines[worker_machine].m_incarnation, wanted.m_grant};
    m_open_calls.push_back(call);
    const grant offered = wanted.m_grant;
    const auto lost = [this, home, incarnation = call.m_home_incarnation, offered, worker = wanted.m_worker] {
        if (!is_alive(home, incarnation))
            return;
        actions next;
        on_grant_reply(*m_machines[home].m_process, worker, offered.m_id, offered.m_attempt,
                       {{verdict::may_have_run, reason::connection_lost, {}}, {}}, {}, m_time.now(), next);
        carry_out(home, next);
    };
    send(
        step::grant, worker_machine,
        [this, worker_machine, offered] {
            actions next;
            on_grant(*m_machines[worker_machine].m_process, offered, m_time.now(), next);
            const grant_table& grants = m_machines[worker_machine].m_process->m_grants;
            const auto taken = grants.m_grants.find(offered.m_id);
            const bool is_new_work = taken != grants.m_grants.end() &&
                                     taken->second.m_attempt == offered.m_attempt &&
                                     taken->second.m_received_at == m_time.now() &&
                                     (taken->second.m_phase == grant_phase::queued ||
                                      taken->second.m_phase == grant_phase::running);
            if (m_machines[worker_machine].m_process->m_is_leaving && is_new_work)
                m_drain_violation = "a draining agent accepted new work";
            carry_out(worker_machine, next);
        },
        lost);
}

void world::answer_run(int machine, const reply_grant& wanted)
{
    const auto call = std::find_if(m_open_calls.begin(), m_open_calls.end(), [&](const open_call& open) {
        return open.m_worker == machine && open.m_grant.m_id == wanted.m_id &&
               open.m_grant.m_attempt == wanted.m_attempt && open.m_grant.m_home == wanted.m_home;
    });
    if (call == m_open_calls.end())
        return;
    const open_call answered = *call;
    m_open_calls.erase(call);
    if (!is_alive(answered.m_home, answered.m_home_incarnation))
        return;
    const agent_identity from = m_machines[machine].m_process->m_self.identity();
    const load_report report{current_load(*m_machines[machine].m_process), answered.m_grant.m_sent};
    const auto deliver_reply = [this, answered, from](const task_end& end,
                                                      const std::optional<load_report>& load) {
        if (!is_alive(answered.m_home, answered.m_home_incarnation))
            return;
        actions next;
        on_grant_reply(*m_machines[answered.m_home].m_process, from, answered.m_grant.m_id,
                       answered.m_grant.m_attempt, end, load, m_time.now(), next);
        carry_out(answered.m_home, next);
    };
    const task_end end = wanted.m_end;
    send(
        step::grant_reply, answered.m_home, [deliver_reply, end, report] { deliver_reply(end, report); },
        [deliver_reply] {
            deliver_reply({{verdict::may_have_run, reason::connection_lost, {}}, {}}, std::nullopt);
        });
}

void world::call_revoke(int home, const send_revoke& wanted)
{
    const int worker_machine = find_machine(wanted.m_worker);
    const int home_incarnation = m_machines[home].m_incarnation;
    const agent_identity worker = wanted.m_worker;
    const grant_id id = wanted.m_id;
    const instant valid_until = wanted.m_valid_until;
    send(
        step::revoke, worker_machine,
        [this, home, home_incarnation, worker_machine, worker, id, valid_until] {
            // A connection leads to one incarnation; the call does not reach its successor.
            if (m_machines[worker_machine].m_process->m_self.identity() != worker)
                return;
            actions next;
            const outcome result =
                on_revoke(*m_machines[worker_machine].m_process, id, valid_until, m_time.now(), next);
            carry_out(worker_machine, next);
            if (!is_alive(home, home_incarnation))
                return;
            send(
                step::revoke_reply, home,
                [this, home, id, result] {
                    actions reply_actions;
                    on_revoke_reply(*m_machines[home].m_process, id, result, m_time.now(), reply_actions);
                    carry_out(home, reply_actions);
                },
                [] {});
        },
        [] {});
}

} // namespace hawthornpin::fault_matrix
