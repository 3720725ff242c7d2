// Checks the guarantees to callers, members and operators on the results of a finished run.

#include "tests/fault_matrix/world.h"

namespace hawthornpin::fault_matrix {

namespace {

std::string describe(const job_answer& answer)
{
    return std::string(to_text(answer.m_outcome.m_verdict)) + "/" +
           std::string(to_text(answer.m_outcome.m_reason));
}

} // namespace

int world::completed_jobs() const
{
    int completed = 0;
    for (const caller_job& job : m_jobs) {
        for (const job_answer& answer : job.m_answers) {
            if (is_success(answer.m_outcome)) {
                ++completed;
                break;
            }
        }
    }
    return completed;
}

std::string world::find_violation() const
{
    for (const std::string& found :
         {check_starts(), check_answers(), check_leaks(), check_members(), check_config()}) {
        if (!found.empty())
            return found;
    }
    return {};
}

std::string world::check_starts() const
{
    std::map<grant_id, int> starts;
    for (const agent_machine& machine : m_machines) {
        for (const auto& [id, count] : machine.m_target.m_starts)
            starts[id] += count;
    }
    for (const auto& [id, count] : starts) {
        if (count > 1)
            return "task " + to_text(id) + " was started " + std::to_string(count) + " times";
    }
    for (const caller_job& job : m_jobs) {
        if (job.m_is_expired && has_started(job, true))
            return "a job was started under an expired ticket";
        if (job.m_is_cancelled_as_not_run && has_started(job, true))
            return "a job was started although its cancel was answered not_run";
        for (const job_answer& answer : job.m_answers) {
            const bool is_promise = answer.m_outcome.m_verdict == verdict::not_run &&
                                    answer.m_outcome.m_ticket == ticket_state::closed;
            if (is_promise && has_started(job, false))
                return "a job was started although a caller was answered not_run, " +
                       std::string(to_text(answer.m_outcome.m_reason));
        }
    }
    return {};
}

bool world::has_started(const caller_job& job, bool accepts_any_body) const
{
    for (const agent_machine& machine : m_machines) {
        for (std::uint32_t task = 0; task < job.m_payloads.size(); ++task) {
            const auto found = machine.m_target.m_payloads.find({job.m_ticket.m_id, task});
            if (found == machine.m_target.m_payloads.end())
                continue;
            if (accepts_any_body || found->second == job.m_payloads[task])
                return true;
        }
    }
    return false;
}

std::string world::check_answers() const
{
    for (const caller_job& job : m_jobs) {
        const job_answer* first = nullptr;
        for (const job_answer& answer : job.m_answers) {
            if (answer.m_outcome.m_reason == reason::wrong_incarnation)
                continue;
            if (first != nullptr && !(answer == *first))
                return "two answers to one ticket differ: " + describe(*first) + " and " + describe(answer);
            first = &answer;
            if (!is_success(answer.m_outcome)) {
                if (!answer.m_answers.empty())
                    return "a failed job has answers";
                continue;
            }
            if (answer.m_answers.size() != job.m_payloads.size())
                return "an answer is partial";
            for (std::size_t task = 0; task < job.m_payloads.size(); ++task) {
                if (answer.m_answers[task] != "done " + job.m_payloads[task])
                    return "an answer is out of order or of another request";
            }
        }
    }
    return {};
}

std::string world::check_leaks() const
{
    for (const agent_machine& machine : m_machines) {
        if (!machine.m_process)
            continue;
        const dispatcher& state = *machine.m_process;
        if (!is_idle(state))
            return machine.m_id + " is not idle: " + std::to_string(work_in_progress(state)) +
                   " in progress, " + std::to_string(state.m_queue.m_live) + " queued";
        if (!state.m_grants.m_running.empty() || !state.m_grants.m_running_by_team.empty())
            return machine.m_id + " still holds slots";
        if (!state.m_ledger.m_jobs.empty() || state.m_ledger.m_bytes != 0 ||
            !state.m_ledger.m_by_keep_until.empty())
            return machine.m_id + " still holds ledger records";
        if (!state.m_grants.m_grants.empty() || !state.m_grants.m_by_validity.empty())
            return machine.m_id + " still holds grant records";
    }
    return {};
}

std::string world::check_members() const
{
    if (!m_member_violation.empty() || !m_drain_violation.empty())
        return m_member_violation + m_drain_violation;
    for (const agent_machine& machine : m_machines) {
        const auto found = m_members.m_members.find(machine.m_id);
        if (!machine.m_process || found == m_members.m_members.end())
            continue;
        if (found->second.m_announcement.m_worker.identity() != machine.m_process->m_self.identity())
            return "an older incarnation of " + machine.m_id + " is in the member table";
    }
    return {};
}

std::string world::check_config() const
{
    if (!m_config_violation.empty())
        return m_config_violation;
    if (m_readers[0].m_files != m_readers[1].m_files)
        return "two readers of the log hold different configurations";
    int accepted_first = 0;
    for (const operator_change& change : m_changes) {
        const bool is_on_empty = change.m_change.m_files.front().m_base == no_offset;
        accepted_first += is_on_empty && change.m_received_verdict == apply_verdict::accepted ? 1 : 0;
    }
    if (accepted_first > 1)
        return "two changes with the same base were both accepted";
    return {};
}

} // namespace hawthornpin::fault_matrix
