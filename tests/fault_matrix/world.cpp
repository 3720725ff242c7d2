// Network, processes and membership of the simulated system.

#include "tests/fault_matrix/world.h"
#include "tests/fault_matrix/times.h"

#include <algorithm>

namespace hawthornpin::fault_matrix {

namespace {

contract make_contract(favour favoured)
{
    last_reason why;
    constexpr milliseconds task_limit{2'000};
    constexpr milliseconds job_limit{4'000};
    constexpr milliseconds declared{60};
    return *contract_builder("circles", "cercles")
                .set_time_limits(task_limit, job_limit)
                .set_declared_run_time(declared)
                .set_favour(favoured)
                .build(why);
}

} // namespace

world::world(world_plan plan)
    : m_plan(std::move(plan)), m_faults(m_plan.m_faults), m_random(m_plan.m_seed), m_machines(machine_count),
      m_readers(2)
{
    m_members.m_limits = {milliseconds(600), milliseconds(5'000)};
    for (int machine = 0; machine < machine_count; ++machine) {
        m_machines[machine].m_id = "agent-" + std::to_string(machine);
        start_process(machine);
    }
}

world::~world() = default;

void world::start_process(int machine)
{
    agent_machine& started = m_machines[machine];
    ++started.m_incarnation;
    started.m_generation = static_cast<std::uint64_t>(to_unix_ms(m_time.now()));
    started.m_sequence = 0;
    started.m_is_leaving = false;
    last_reason why;
    const agent_identity identity{started.m_id, incarnation_id{m_random()}};
    const auto self = worker_builder(identity, "circles")
                          .set_place({"quebec", "zone-" + std::to_string(machine), "rack-1"})
                          .set_address("10.0.0." + std::to_string(machine) + ":1")
                          .set_capacity(slots_per_machine, 1024, 0)
                          .build(why);
    dispatch_settings settings;
    settings.m_ledger.m_answer_retention = milliseconds(2'000);
    // Low limits, so that jobs are refused at load peaks and admitted again afterwards.
    settings.m_max_queued = 12;
    settings.m_accepted_per_slot = 0.5;
    started.m_process = std::make_unique<dispatcher>(*self, settings, m_random());
    apply_contract(*started.m_process, make_contract(m_plan.m_favour), {});
    announce(machine);
}

void world::kill_process(int machine)
{
    agent_machine& killed = m_machines[machine];
    if (!killed.m_process)
        return;
    // The last announcement of the ended process arrives long after that of its successor.
    const announcement last{
        killed.m_process->m_self, killed.m_generation, ++killed.m_sequence, member_state::serving, {}};
    const int ended_incarnation = killed.m_incarnation;
    m_time.after(long_delay, [this, machine, ended_incarnation, last] {
        receive_announcement(machine, ended_incarnation, last);
    });
    killed.m_process.reset();
    ++killed.m_incarnation;
    // Homes are notified of the broken connection. The calls that the ended process had made are dropped.
    for (const open_call& call : m_open_calls) {
        if (call.m_worker != machine)
            continue;
        m_time.after(short_delay, [this, call] {
            if (!is_alive(call.m_home, call.m_home_incarnation))
                return;
            actions wanted;
            on_grant_reply(*m_machines[call.m_home].m_process, {m_machines[call.m_worker].m_id, {}},
                           call.m_grant.m_id, call.m_grant.m_attempt,
                           {{verdict::may_have_run, reason::connection_lost, {}}, {}}, {}, m_time.now(),
                           wanted);
            carry_out(call.m_home, wanted);
        });
    }
    std::erase_if(m_open_calls, [machine](const open_call& call) {
        return call.m_worker == machine || call.m_home == machine;
    });
    // Callers that waited there notice the broken connection and submit again.
    for (std::size_t job = 0; job < m_jobs.size(); ++job) {
        if (m_jobs[job].m_ticket.m_home.m_id == killed.m_id)
            resubmit_later(job);
    }
    // The target stops its tasks when their leases lapse.
    std::vector<std::pair<grant_id, int>> running(killed.m_target.m_running.begin(),
                                                  killed.m_target.m_running.end());
    m_time.after(lease_duration, [this, machine, running] {
        for (const auto& [id, run] : running)
            end_task(machine, id, run, {{verdict::may_have_run, reason::lease_lapsed, {}}, {}});
    });
    m_time.after(restart_delay, [this, machine] {
        if (!m_machines[machine].m_process)
            start_process(machine);
    });
}

bool world::is_alive(int machine, int incarnation) const
{
    return m_machines[machine].m_process != nullptr && m_machines[machine].m_incarnation == incarnation;
}

int world::find_machine(const agent_identity& identity) const
{
    for (int machine = 0; machine < machine_count; ++machine) {
        if (m_machines[machine].m_id == identity.m_id)
            return machine;
    }
    return 0;
}

// Delivers once the receiver is not suspended. A message to an ended process is lost.
void world::deliver_to(int to, int incarnation, std::function<void()> deliver, std::function<void()> lost)
{
    agent_machine& receiver = m_machines[to];
    if (!is_alive(to, incarnation)) {
        m_time.after(short_delay, std::move(lost));
        return;
    }
    if (m_time.now() < receiver.m_paused_until) {
        m_time.at(receiver.m_paused_until,
                  [this, to, incarnation, deliver, lost] { deliver_to(to, incarnation, deliver, lost); });
        return;
    }
    deliver();
}

void world::inject_fault(fault what, int machine)
{
    if (what == fault::receiver_crashes || what == fault::receiver_crashes_after_effect)
        kill_process(machine);
    if (what == fault::receiver_restarted) {
        kill_process(machine);
        start_process(machine);
    }
    if (what == fault::receiver_paused)
        m_machines[machine].m_paused_until = m_time.now() + pause_duration;
    if (what == fault::log_down)
        m_log_down_until = m_time.now() + pause_duration;
    if (what == fault::log_slow)
        m_log_slow_until = m_time.now() + pause_duration;
    if (what == fault::log_answer_lost)
        m_loses_next_answer = true;
    if (what == fault::lease_lapsed) {
        const auto running = m_machines[machine].m_target.m_running;
        for (const auto& [id, run] : running)
            stop_on_target(machine, id, reason::lease_lapsed);
    }
    if (what == fault::cancelled && !m_jobs.empty()) {
        const std::size_t job = m_jobs.size() - 1;
        m_time.after(short_delay, [this, job] { cancel_job(job); });
    }
}

void world::send(step at, int to, std::function<void()> deliver, std::function<void()> lost)
{
    const int incarnation = m_machines[to].m_incarnation;
    const auto arrive = [this, to, incarnation, deliver, lost] {
        deliver_to(to, incarnation, deliver, lost);
    };
    const auto injected = m_faults.reach_step(at);
    if (!injected) {
        m_time.after(link_latency, arrive);
        return;
    }
    switch (*injected) {
    case fault::lost:
    case fault::connection_cut:
        m_time.after(loss_detection_time, lost);
        return;
    case fault::duplicated:
        // A second copy arrives while the first is processed, a third one long after that.
        m_time.after(link_latency, arrive);
        m_time.after(short_delay, arrive);
        m_time.after(long_delay, arrive);
        return;
    case fault::delayed_past_timeout:
        m_time.after(loss_detection_time, lost);
        m_time.after(long_delay, arrive);
        return;
    case fault::reordered:
        m_time.after(reordering_delay, arrive);
        return;
    case fault::receiver_crashes_after_effect:
        m_time.after(link_latency, [this, arrive, to] {
            arrive();
            inject_fault(fault::receiver_crashes_after_effect, to);
        });
        return;
    default:
        inject_fault(*injected, to);
        m_time.after(link_latency, arrive);
        return;
    }
}

void world::carry_out(int machine, const actions& wanted)
{
    const int incarnation = m_machines[machine].m_incarnation;
    for (const action& next_action : wanted) {
        if (!is_alive(machine, incarnation))
            return;
        if (const auto* value = std::get_if<start_task>(&next_action))
            begin_task(machine, *value);
        else if (const auto* stop = std::get_if<stop_task>(&next_action))
            stop_on_target(machine, stop->m_id, reason::cancelled);
        else if (const auto* granted = std::get_if<send_grant>(&next_action))
            call_run(machine, *granted);
        else if (const auto* revoked = std::get_if<send_revoke>(&next_action))
            call_revoke(machine, *revoked);
        else if (const auto* replied = std::get_if<reply_grant>(&next_action))
            answer_run(machine, *replied);
        else if (const auto* ended = std::get_if<job_ended>(&next_action)) {
            const job_answer answer =
                *find_job(m_machines[machine].m_process->m_ledger, ended->m_ticket)->m_answer;
            for (std::size_t job = 0; job < m_jobs.size(); ++job) {
                if (m_jobs[job].m_ticket.m_id == ended->m_ticket && m_waiting.erase(job) > 0)
                    answer_caller(job, answer);
            }
        }
    }
}

void world::tick_all()
{
    for (int machine = 0; machine < machine_count; ++machine) {
        if (!m_machines[machine].m_process || m_time.now() < m_machines[machine].m_paused_until)
            continue;
        actions next;
        on_tick(*m_machines[machine].m_process, m_time.now(), next);
        carry_out(machine, next);
    }
    m_time.after(tick_interval, [this] { tick_all(); });
}

void world::poll_targets()
{
    for (int machine = 0; machine < machine_count; ++machine) {
        if (!m_machines[machine].m_process || m_time.now() < m_machines[machine].m_paused_until)
            continue;
        const grant_table& grants = m_machines[machine].m_process->m_grants;
        int foreign = 0;
        for (const auto& [id, run] : m_machines[machine].m_target.m_running)
            foreign += grants.m_grants.contains(id) ? 0 : 1;
        actions next;
        on_target_status(*m_machines[machine].m_process, foreign, false, m_time.now(), next);
        carry_out(machine, next);
    }
    m_time.after(status_interval, [this] { poll_targets(); });
}

void world::announce_all()
{
    mark_overdue(m_members, m_time.now());
    for (int machine = 0; machine < machine_count; ++machine) {
        if (m_machines[machine].m_process && m_time.now() >= m_machines[machine].m_paused_until)
            announce(machine);
    }
    m_time.after(heartbeat_interval, [this] { announce_all(); });
}

void world::announce(int machine)
{
    agent_machine& from = m_machines[machine];
    announcement message{from.m_process->m_self, from.m_generation, ++from.m_sequence, member_state::serving,
                         current_load(*from.m_process)};
    if (from.m_process->m_is_leaving)
        message.m_state = member_state::leaving;
    const auto receive = [this, machine, message, incarnation = from.m_incarnation] {
        receive_announcement(machine, incarnation, message);
    };
    const auto injected = m_faults.reach_step(step::announce);
    if (!injected) {
        m_time.after(link_latency, receive);
        return;
    }
    if (injected == fault::lost || injected == fault::connection_cut)
        return;
    const bool is_late = injected == fault::delayed_past_timeout || injected == fault::reordered;
    m_time.after(is_late ? long_delay : link_latency, receive);
    if (injected == fault::duplicated)
        m_time.after(long_delay, receive);
    if (!is_late && injected != fault::duplicated)
        inject_fault(*injected, machine);
}

void world::receive_announcement(int machine, int incarnation, const announcement& message)
{
    const auto known = m_members.m_members.find(m_machines[machine].m_id);
    const bool has_newest =
        known != m_members.m_members.end() && m_machines[machine].m_process &&
        known->second.m_announcement.m_worker.identity() == m_machines[machine].m_process->m_self.identity();
    const announce_result taken = apply_announcement(m_members, message, "", milliseconds(0), m_time.now());
    const bool is_own = m_machines[machine].m_process &&
                        message.m_worker.identity() == m_machines[machine].m_process->m_self.identity();
    if (has_newest && !is_own && taken.m_verdict == announce_verdict::applied)
        m_member_violation = "an older incarnation of " + m_machines[machine].m_id + " replaced the newest";
    if (!is_alive(machine, incarnation))
        return;
    if (taken.m_verdict == announce_verdict::superseded) {
        // In the real system only a process that was never accepted raises its generation. Here each running
        // process is the newest of its machine, so that it always may.
        m_machines[machine].m_generation = std::max(m_machines[machine].m_generation, taken.m_generation) + 1;
        return;
    }
    std::vector<member> usable;
    for (const member* member_known : usable_members(m_members, "circles"))
        usable.push_back(*member_known);
    actions next;
    on_members(*m_machines[machine].m_process, usable, m_time.now(), next);
    carry_out(machine, next);
}

void world::run()
{
    const instant begin = m_time.now();
    tick_all();
    poll_targets();
    announce_all();
    read_log();
    m_time.after(milliseconds(30), [this] { publish(0); });
    m_time.after(milliseconds(31), [this] { publish(1); });
    m_time.after(milliseconds(300), [this] { publish(2); });
    m_time.after(milliseconds(500), [this] { append_checkpoint(); });
    milliseconds when{40};
    for (const int width : m_plan.m_job_widths) {
        m_time.after(when, [this, width] { mint_job(width); });
        when += milliseconds(40);
    }
    m_time.after(milliseconds(60), [this] { mint_expired_job(); });
    m_time.after(milliseconds(100), [this] { mint_early_cancelled_job(m_plan.m_early_cancel); });
    m_time.after(milliseconds(130), [this] { mint_early_cancelled_job(milliseconds(-20)); });
    if (m_plan.m_cancelled_job >= 0)
        m_time.after(milliseconds(150),
                     [this] { cancel_job(static_cast<std::size_t>(m_plan.m_cancelled_job)); });
    if (m_plan.m_has_drain) {
        m_time.after(milliseconds(190), [this] {
            const auto injected = m_faults.reach_step(step::drain);
            if (injected)
                inject_fault(*injected, 1);
            if (!m_machines[1].m_process)
                return;
            actions next;
            on_leave(*m_machines[1].m_process, m_time.now(), next);
            carry_out(1, next);
        });
    }
    m_time.run_until(begin + total_time);
    // Long after the last ticket has expired, no state may be left; see check_leaks().
    const instant end = begin + max_ticket_lifetime + max_clock_skew * 3;
    for (int round = 0; round < 3; ++round) {
        for (int machine = 0; machine < machine_count; ++machine) {
            if (!m_machines[machine].m_process)
                continue;
            actions next;
            on_tick(*m_machines[machine].m_process, end + milliseconds(5'000) * round, next);
            carry_out(machine, next);
        }
    }
}

} // namespace hawthornpin::fault_matrix
