// Network, processes and members of the virtual system.

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
    : m_plan(std::move(plan)), m_faults(m_plan.m_faults), m_random(m_plan.m_seed), m_seats(seat_count),
      m_readers(2)
{
    m_members.m_limits = {milliseconds(600), milliseconds(5'000)};
    for (int seat = 0; seat < seat_count; ++seat) {
        m_seats[seat].m_id = "agent-" + std::to_string(seat);
        start_process(seat);
    }
}

world::~world() = default;

void world::start_process(int seat)
{
    agent_seat& place_here = m_seats[seat];
    ++place_here.m_identity;
    place_here.m_generation = static_cast<std::uint64_t>(to_unix_ms(m_time.now()));
    place_here.m_sequence = 0;
    place_here.m_is_leaving = false;
    last_reason why;
    const agent_identity identity{place_here.m_id, incarnation_id{m_random()}};
    const auto self = worker_builder(identity, "circles")
                          .set_place({"quebec", "zone-" + std::to_string(seat), "rack-1"})
                          .set_address("10.0.0." + std::to_string(seat) + ":1")
                          .set_capacity(slots_per_seat, 1024, 0)
                          .build(why);
    dispatch_settings settings;
    settings.m_ledger.m_answer_retention = milliseconds(2'000);
    // Tight, so that refusals under load come about and pass again.
    settings.m_max_queued = 12;
    settings.m_accepted_per_slot = 0.5;
    place_here.m_process = std::make_unique<dispatcher>(*self, settings, m_random());
    apply_contract(*place_here.m_process, make_contract(m_plan.m_favour), {});
    announce(seat);
}

void world::kill_process(int seat)
{
    agent_seat& dead = m_seats[seat];
    if (!dead.m_process)
        return;
    // An announcement that the process sent before its end arrives when its successor is long known.
    const announcement last{
        dead.m_process->m_self, dead.m_generation, ++dead.m_sequence, member_state::serving, {}};
    const int ended_incarnation = dead.m_identity;
    m_time.after(long_delay,
                 [this, seat, ended_incarnation, last] { take_announcement(seat, ended_incarnation, last); });
    dead.m_process.reset();
    ++dead.m_identity;
    // Homes learn of the broken connection; what the dead process had called is of no interest any more.
    for (const open_call& call : m_open_calls) {
        if (call.m_worker != seat)
            continue;
        m_time.after(short_delay, [this, call] {
            if (!is_alive(call.m_home, call.m_home_incarnation))
                return;
            actions wanted;
            on_grant_reply(*m_seats[call.m_home].m_process, {m_seats[call.m_worker].m_id, {}},
                           call.m_grant.m_id, call.m_grant.m_attempt,
                           {{verdict::may_have_run, reason::connection_lost, {}}, {}}, {}, m_time.now(),
                           wanted);
            carry_out(call.m_home, wanted);
        });
    }
    std::erase_if(m_open_calls,
                  [seat](const open_call& call) { return call.m_worker == seat || call.m_home == seat; });
    // Callers that waited there notice the loss and repeat.
    for (std::size_t job = 0; job < m_jobs.size(); ++job) {
        if (m_jobs[job].m_ticket.m_home.m_id == dead.m_id)
            repeat_later(job);
    }
    // The target stops what it runs when the leases lapse.
    std::vector<std::pair<grant_id, int>> running(dead.m_target.m_running.begin(),
                                                  dead.m_target.m_running.end());
    m_time.after(lease_time, [this, seat, running] {
        for (const auto& [id, run] : running)
            end_task(seat, id, run, {{verdict::may_have_run, reason::lease_lapsed, {}}, {}});
    });
    m_time.after(restart_time, [this, seat] {
        if (!m_seats[seat].m_process)
            start_process(seat);
    });
}

bool world::is_alive(int seat, int life) const
{
    return m_seats[seat].m_process != nullptr && m_seats[seat].m_identity == life;
}

int world::seat_of(const agent_identity& identity) const
{
    for (int seat = 0; seat < seat_count; ++seat) {
        if (m_seats[seat].m_id == identity.m_id)
            return seat;
    }
    return 0;
}

// Delivers when the receiver is awake; a message to an ended life is lost.
void world::deliver_to(int to, int life, std::function<void()> deliver, std::function<void()> lost)
{
    agent_seat& receiver = m_seats[to];
    if (!is_alive(to, life)) {
        m_time.after(short_delay, std::move(lost));
        return;
    }
    if (m_time.now() < receiver.m_paused_until) {
        m_time.at(receiver.m_paused_until,
                  [this, to, life, deliver, lost] { deliver_to(to, life, deliver, lost); });
        return;
    }
    deliver();
}

void world::strike_process(fault what, int seat)
{
    if (what == fault::receiver_dies || what == fault::receiver_dies_after_effect)
        kill_process(seat);
    if (what == fault::receiver_restarted) {
        kill_process(seat);
        start_process(seat);
    }
    if (what == fault::receiver_paused)
        m_seats[seat].m_paused_until = m_time.now() + pause_time;
    if (what == fault::log_down)
        m_log_down_until = m_time.now() + pause_time;
    if (what == fault::log_slow)
        m_log_slow_until = m_time.now() + pause_time;
    if (what == fault::log_answer_lost)
        m_loses_next_answer = true;
    if (what == fault::lease_lapsed) {
        const auto running = m_seats[seat].m_target.m_running;
        for (const auto& [id, run] : running)
            stop_on_target(seat, id, reason::lease_lapsed);
    }
    if (what == fault::cancelled && !m_jobs.empty()) {
        const std::size_t job = m_jobs.size() - 1;
        m_time.after(short_delay, [this, job] { cancel_job(job); });
    }
}

void world::send(step at, int to, std::function<void()> deliver, std::function<void()> lost)
{
    const int life = m_seats[to].m_identity;
    const auto arrive = [this, to, life, deliver, lost] { deliver_to(to, life, deliver, lost); };
    const auto struck = m_faults.strike(at);
    if (!struck) {
        m_time.after(link_time, arrive);
        return;
    }
    switch (*struck) {
    case fault::lost:
    case fault::connection_cut:
        m_time.after(loss_notice, lost);
        return;
    case fault::duplicated:
        // One copy while the first is worked on, one long after its end.
        m_time.after(link_time, arrive);
        m_time.after(short_delay, arrive);
        m_time.after(long_delay, arrive);
        return;
    case fault::delayed_past_timeout:
        m_time.after(loss_notice, lost);
        m_time.after(long_delay, arrive);
        return;
    case fault::reordered:
        m_time.after(overtaken_delay, arrive);
        return;
    case fault::receiver_dies_after_effect:
        m_time.after(link_time, [this, arrive, to] {
            arrive();
            strike_process(fault::receiver_dies_after_effect, to);
        });
        return;
    default:
        strike_process(*struck, to);
        m_time.after(link_time, arrive);
        return;
    }
}

void world::carry_out(int seat, const actions& wanted)
{
    const int life = m_seats[seat].m_identity;
    for (const action& one : wanted) {
        if (!is_alive(seat, life))
            return;
        if (const auto* value = std::get_if<start_task>(&one))
            begin_task(seat, *value);
        else if (const auto* stop = std::get_if<stop_task>(&one))
            stop_on_target(seat, stop->m_id, reason::cancelled);
        else if (const auto* granted = std::get_if<send_grant>(&one))
            call_run(seat, *granted);
        else if (const auto* revoked = std::get_if<send_revoke>(&one))
            call_revoke(seat, *revoked);
        else if (const auto* replied = std::get_if<reply_grant>(&one))
            answer_run(seat, *replied);
        else if (const auto* ended = std::get_if<job_ended>(&one)) {
            const job_answer answer = *find_job(m_seats[seat].m_process->m_ledger, ended->m_ticket)->m_answer;
            for (std::size_t job = 0; job < m_jobs.size(); ++job) {
                if (m_jobs[job].m_ticket.m_id == ended->m_ticket && m_waiting.erase(job) > 0)
                    tell_caller(job, answer);
            }
        }
    }
}

void world::tick_all()
{
    for (int seat = 0; seat < seat_count; ++seat) {
        if (!m_seats[seat].m_process || m_time.now() < m_seats[seat].m_paused_until)
            continue;
        actions next;
        on_tick(*m_seats[seat].m_process, m_time.now(), next);
        carry_out(seat, next);
    }
    m_time.after(tick_time, [this] { tick_all(); });
}

void world::look_at_targets()
{
    for (int seat = 0; seat < seat_count; ++seat) {
        if (!m_seats[seat].m_process || m_time.now() < m_seats[seat].m_paused_until)
            continue;
        const grant_table& grants = m_seats[seat].m_process->m_grants;
        int foreign = 0;
        for (const auto& [id, run] : m_seats[seat].m_target.m_running)
            foreign += grants.m_grants.contains(id) ? 0 : 1;
        actions next;
        on_target_status(*m_seats[seat].m_process, foreign, false, m_time.now(), next);
        carry_out(seat, next);
    }
    m_time.after(status_time, [this] { look_at_targets(); });
}

void world::announce_all()
{
    mark_overdue(m_members, m_time.now());
    for (int seat = 0; seat < seat_count; ++seat) {
        if (m_seats[seat].m_process && m_time.now() >= m_seats[seat].m_paused_until)
            announce(seat);
    }
    m_time.after(heartbeat, [this] { announce_all(); });
}

void world::announce(int seat)
{
    agent_seat& from = m_seats[seat];
    announcement news{from.m_process->m_self, from.m_generation, ++from.m_sequence, member_state::serving,
                      current_load(*from.m_process)};
    if (from.m_process->m_is_leaving)
        news.m_state = member_state::leaving;
    const auto take = [this, seat, news, life = from.m_identity] { take_announcement(seat, life, news); };
    const auto struck = m_faults.strike(step::announce);
    if (!struck) {
        m_time.after(link_time, take);
        return;
    }
    if (struck == fault::lost || struck == fault::connection_cut)
        return;
    const bool is_late = struck == fault::delayed_past_timeout || struck == fault::reordered;
    m_time.after(is_late ? long_delay : link_time, take);
    if (struck == fault::duplicated)
        m_time.after(long_delay, take);
    if (!is_late && struck != fault::duplicated)
        strike_process(*struck, seat);
}

void world::take_announcement(int seat, int life, const announcement& news)
{
    const auto known = m_members.m_members.find(m_seats[seat].m_id);
    const bool has_newest =
        known != m_members.m_members.end() && m_seats[seat].m_process &&
        known->second.m_announcement.m_worker.identity() == m_seats[seat].m_process->m_self.identity();
    const announce_result taken = apply_announcement(m_members, news, "", milliseconds(0), m_time.now());
    const bool is_own =
        m_seats[seat].m_process && news.m_worker.identity() == m_seats[seat].m_process->m_self.identity();
    if (has_newest && !is_own && taken.m_verdict == announce_verdict::applied)
        m_member_violation = "an older incarnation of " + m_seats[seat].m_id + " replaced the newest";
    if (!is_alive(seat, life))
        return;
    if (taken.m_verdict == announce_verdict::superseded) {
        // Only a process that was never accepted rises; here every live process is the seat's newest.
        m_seats[seat].m_generation = std::max(m_seats[seat].m_generation, taken.m_generation) + 1;
        return;
    }
    std::vector<member> usable;
    for (const member* member_known : usable_members(m_members, "circles"))
        usable.push_back(*member_known);
    actions next;
    on_members(*m_seats[seat].m_process, usable, m_time.now(), next);
    carry_out(seat, next);
}

void world::run()
{
    const instant begin = m_time.now();
    tick_all();
    look_at_targets();
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
    m_time.after(milliseconds(60), [this] { mint_expired(); });
    m_time.after(milliseconds(100), [this] { mint_early_cancelled(m_plan.m_early_cancel); });
    m_time.after(milliseconds(130), [this] { mint_early_cancelled(milliseconds(-20)); });
    if (m_plan.m_cancelled_job >= 0)
        m_time.after(milliseconds(150),
                     [this] { cancel_job(static_cast<std::size_t>(m_plan.m_cancelled_job)); });
    if (m_plan.m_has_drain) {
        m_time.after(milliseconds(190), [this] {
            const auto struck = m_faults.strike(step::drain);
            if (struck)
                strike_process(*struck, 1);
            if (!m_seats[1].m_process)
                return;
            actions next;
            on_leave(*m_seats[1].m_process, m_time.now(), next);
            carry_out(1, next);
        });
    }
    m_time.run_until(begin + run_time);
    // Long after every ticket has expired, nothing may be left.
    const instant end = begin + max_ticket_lifetime + max_clock_skew * 3;
    for (int round = 0; round < 3; ++round) {
        for (int seat = 0; seat < seat_count; ++seat) {
            if (!m_seats[seat].m_process)
                continue;
            actions next;
            on_tick(*m_seats[seat].m_process, end + milliseconds(5'000) * round, next);
            carry_out(seat, next);
        }
    }
}

} // namespace hawthornpin::fault_matrix
