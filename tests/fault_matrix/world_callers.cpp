// Callers, operators and the configuration log of the simulated system.

#include "tests/fault_matrix/world.h"

#include <algorithm>

namespace hawthornpin::fault_matrix {

namespace {

constexpr milliseconds resubmit_delay{90};
constexpr milliseconds log_poll_interval{60};
constexpr int max_submissions = 8;
constexpr milliseconds job_budget{3'000};
constexpr milliseconds ticket_lifetime{120'000};

std::string team_file(const std::string& name, int weight)
{
    return "[team]\nname=" + name + "\nweight=" + std::to_string(weight) +
           "\nkey_sha256=" + std::string(64, 'a') + "\n";
}

} // namespace

std::optional<std::size_t> world::add_job(int width)
{
    // Homes are taken in turn. The home's process may have ended when the job arrives.
    const auto machine = static_cast<int>(m_jobs.size()) % machine_count;
    if (const auto injected = m_faults.reach_step(step::mint))
        inject_fault(*injected, machine);
    if (!m_machines[machine].m_process)
        return std::nullopt;
    caller_job job;
    job.m_ticket = {"circles",
                    m_machines[machine].m_process->m_self.identity(),
                    {m_random(), m_random()},
                    m_time.now() + ticket_lifetime};
    job.m_digest = "digest-" + std::to_string(m_jobs.size());
    for (int task = 0; task < width; ++task)
        job.m_payloads.push_back("job " + std::to_string(m_jobs.size()) + " task " + std::to_string(task));
    m_jobs.push_back(job);
    return m_jobs.size() - 1;
}

void world::mint_early_cancelled_job(milliseconds cancel_delay)
{
    constexpr int width = 6;
    const auto added = add_job(width);
    if (!added)
        return;
    const std::size_t index = *added;
    const milliseconds submit_delay = std::max(milliseconds(0), -cancel_delay);
    m_time.after(submit_delay, [this, index] { submit_job(index); });
    m_time.after(submit_delay + cancel_delay, [this, index] { cancel_job(index); });
}

void world::mint_expired_job()
{
    constexpr milliseconds short_lifetime{10};
    constexpr milliseconds late{50};
    const auto added = add_job(1);
    if (!added)
        return;
    m_jobs[*added].m_ticket.m_expiry = m_time.now() + short_lifetime;
    m_jobs[*added].m_is_expired = true;
    m_time.after(late, [this, index = *added] { submit_job(index); });
}

void world::mint_job(int width)
{
    const auto added = add_job(width);
    if (!added) {
        m_time.after(resubmit_delay, [this, width] { mint_job(width); });
        return;
    }
    const std::size_t index = *added;
    submit_job(index);
    // The caller submits a second copy through another entry, and a third one long after the answer.
    m_time.after(milliseconds(7), [this, index] { submit_job(index); });
    m_time.after(milliseconds(6'000), [this, index] { submit_job(index); });
    // A different body under the same ticket must neither run nor be answered in place of the job.
    m_time.after(milliseconds(9), [this, index] {
        const int home = find_machine(m_jobs[index].m_ticket.m_home);
        if (!m_machines[home].m_process)
            return;
        submission other{m_jobs[index].m_ticket, "cercles", "another digest", job_budget, {}, {"other body"}};
        actions next;
        const admit_result result = on_submit(*m_machines[home].m_process, other, m_time.now(), next);
        const bool is_wrong = result.m_kind == admit_kind::joined &&
                              find_job(m_machines[home].m_process->m_ledger, other.m_ticket.m_id)->m_digest ==
                                  m_jobs[index].m_digest;
        if (is_wrong)
            m_member_violation = "a different body joined the job";
        carry_out(home, next);
    });
}

void world::submit_job(std::size_t job)
{
    const int home = find_machine(m_jobs[job].m_ticket.m_home);
    ++m_jobs[job].m_submissions;
    if (!m_machines[home].m_process) {
        resubmit_later(job);
        return;
    }
    const submission sent{m_jobs[job].m_ticket, "cercles", m_jobs[job].m_digest,
                          job_budget,           {},        m_jobs[job].m_payloads};
    send(
        step::submit, home,
        [this, job, home, sent] {
            actions next;
            const admit_result result = on_submit(*m_machines[home].m_process, sent, m_time.now(), next);
            const int incarnation = m_machines[home].m_incarnation;
            if (const auto injected = m_faults.reach_step(step::recorded))
                inject_fault(*injected, home);
            if (!is_alive(home, incarnation))
                return;
            const job_record* record = find_job(m_machines[home].m_process->m_ledger, sent.m_ticket.m_id);
            const bool is_other_body = result.m_refusal.m_reason == reason::body_differs;
            if (result.m_kind == admit_kind::refused && (record == nullptr || is_other_body))
                answer_caller(job, {result.m_refusal, {}, {}});
            else if (record->m_answer)
                answer_caller(job, *record->m_answer);
            else
                m_waiting.emplace(job, incarnation);
            // A fault at the answer may have ended the home; its successor must not perform its actions.
            if (is_alive(home, incarnation))
                carry_out(home, next);
        },
        [this, job] { resubmit_later(job); });
}

void world::resubmit_later(std::size_t job)
{
    if (m_jobs[job].m_submissions < max_submissions)
        m_time.after(resubmit_delay, [this, job] { submit_job(job); });
}

void world::answer_caller(std::size_t job, job_answer answer)
{
    const auto injected = m_faults.reach_step(step::answer);
    if (injected == fault::lost || injected == fault::connection_cut ||
        injected == fault::delayed_past_timeout) {
        resubmit_later(job);
        if (injected != fault::delayed_past_timeout)
            return;
    }
    if (injected)
        inject_fault(*injected, find_machine(m_jobs[job].m_ticket.m_home));
    m_jobs[job].m_answers.push_back(answer);
    if (injected == fault::duplicated)
        m_jobs[job].m_answers.push_back(answer);
}

void world::cancel_job(std::size_t job)
{
    if (job >= m_jobs.size())
        return;
    const int home = find_machine(m_jobs[job].m_ticket.m_home);
    if (!m_machines[home].m_process)
        return;
    const ticket cancelled = m_jobs[job].m_ticket;
    send(
        step::cancel, home,
        [this, home, job, cancelled] {
            actions next;
            const outcome result = on_cancel(*m_machines[home].m_process, cancelled, m_time.now(), next);
            carry_out(home, next);
            // A not_run that answers a cancel is as binding as any other.
            if (result.m_verdict == verdict::not_run)
                m_jobs[job].m_is_cancelled_as_not_run = true;
        },
        [] {});
}

void world::publish(std::size_t change)
{
    // Change 0 creates a team file. Changes 1 and 2 race on the same file: 1 is based on its absence, as
    // change 0 is, and 2 on the record at offset 1.
    if (m_changes.empty()) {
        m_changes.push_back({{"change-0", {{"a/team.ini", no_offset, team_file("cercles", 1)}}}, {}});
        m_changes.push_back({{"change-1", {{"a/team.ini", no_offset, team_file("cercles", 2)}}}, {}});
        m_changes.push_back({{"change-2", {{"a/team.ini", 1, team_file("cercles", 3)}}}, {}});
    }
    const auto injected = m_faults.reach_step(step::publish);
    if (injected)
        inject_fault(*injected, 0);
    const config_record record{no_offset, m_changes[change].m_change, {}};
    const auto append = [this, record, change] {
        if (m_time.now() < m_log_down_until) {
            m_time.at(m_log_down_until, [this, change] { publish(change); });
            return;
        }
        append_record(record);
        if (m_loses_next_answer) {
            // Nothing is appended again: an operator without an answer first looks for the change's id in the
            // log.
            m_loses_next_answer = false;
        }
    };
    if (injected == fault::lost)
        return;
    const milliseconds delay = m_time.now() < m_log_slow_until ? milliseconds(300) : milliseconds(3);
    m_time.after(delay, append);
    if (injected == fault::duplicated || injected == fault::delayed_past_timeout)
        m_time.after(milliseconds(350), append);
}

void world::append_record(config_record record)
{
    record.m_offset = m_log_first_offset + m_log.size();
    m_log.push_back(std::move(record));
}

void world::read_log()
{
    m_time.after(log_poll_interval, [this] { read_log(); });
    if (m_time.now() < m_log_down_until)
        return;
    for (std::size_t reader = 0; reader < m_readers.size(); ++reader) {
        config_state& state = m_readers[reader];
        const log_offset before = state.m_version;
        const auto injected = m_faults.reach_step(step::apply);
        if (injected)
            inject_fault(*injected, 0);
        if (injected == fault::lost || injected == fault::connection_cut)
            continue;
        if (injected == fault::receiver_crashes || injected == fault::receiver_restarted) {
            // A new reader replays the log from its first kept record, as an entry that replaces another
            // does.
            last_reason why;
            const auto replayed_state = replay_log(m_log, m_log_first_offset, why);
            if (replayed_state && replayed_state->m_version >= before)
                state = *replayed_state;
            continue;
        }
        // A duplicated or late page contains records that were applied before.
        const bool is_old_page = injected == fault::duplicated || injected == fault::delayed_past_timeout;
        for (const config_record& record : m_log) {
            last_reason why;
            if (record.m_offset <= before && !is_old_page)
                continue;
            const auto replayed_state = apply_record(state, record, why);
            if (state.m_version < before)
                m_config_violation = "the version in force decreased";
            if (!replayed_state || !record.m_change)
                continue;
            for (operator_change& change : m_changes) {
                if (change.m_change.m_id == record.m_change->m_id && !change.m_received_verdict)
                    change.m_received_verdict = replayed_state;
            }
        }
    }
}

void world::append_checkpoint()
{
    const auto injected = m_faults.reach_step(step::checkpoint);
    if (injected)
        inject_fault(*injected, 0);
    const config_checkpoint checkpoint = make_checkpoint(m_readers[0]);
    const auto append = [this, checkpoint] {
        if (m_time.now() < m_log_down_until || checkpoint.m_as_of == no_offset)
            return;
        append_record({no_offset, {}, checkpoint});
    };
    if (injected == fault::lost || injected == fault::connection_cut)
        return;
    m_time.after(injected == fault::delayed_past_timeout ? milliseconds(400) : milliseconds(3), append);
    if (injected == fault::duplicated)
        m_time.after(milliseconds(5), append);
    // The log removes the records that a checkpoint covers.
    m_time.after(milliseconds(600), [this] {
        log_offset end_of_reach = no_offset;
        for (const config_record& record : m_log) {
            if (record.m_checkpoint)
                end_of_reach = std::max(end_of_reach, record.m_checkpoint->m_as_of);
        }
        while (!m_log.empty() && m_log.front().m_offset <= end_of_reach) {
            m_log.erase(m_log.begin());
            ++m_log_first_offset;
        }
    });
}

} // namespace hawthornpin::fault_matrix
