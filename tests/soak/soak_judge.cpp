// Checks at each start, end and answer.

#include "tests/soak/soak_judge.h"

#include "platform/message_decoding.h"

namespace hawthornpin::soak {

void soak_judge::break_promise(const std::string& what)
{
    if (m_violation.empty())
        m_violation = what;
}

void soak_judge::note_start(const std::string& worker, const run_id& run, std::int64_t used_milli,
                            std::int64_t capacity_milli)
{
    ++m_starts;
    if (used_milli > capacity_milli)
        break_promise("LIMIT: " + worker + " over its capacity by " + to_text(run));
    const auto [other, is_only] = m_running.emplace(run.m_task, worker);
    if (!is_only)
        break_promise("TWICE: " + to_text(run) + " on " + worker + " while it runs on " + other->second);
    const auto job = m_jobs.find(run.m_task.m_job);
    if (job == m_jobs.end())
        break_promise("UNASKED: " + to_text(run));
    else
        job->second.m_has_started = true;
}

void soak_judge::note_end(const std::string& worker, const run_id& run, bool is_done)
{
    const auto running = m_running.find(run.m_task);
    if (running != m_running.end() && running->second == worker)
        m_running.erase(running);
    const auto job = m_jobs.find(run.m_task.m_job);
    if (is_done && job != m_jobs.end())
        job->second.m_done.insert(run.m_task);
}

void soak_judge::note_submitted(const std::string& job, std::uint32_t tasks)
{
    m_jobs[job].m_tasks = tasks;
}

void soak_judge::note_completed(const std::string& job)
{
    ++m_completed;
    judged_job& judged = m_jobs.at(job);
    judged.m_is_only_refused = false;
    if (judged.m_done.size() < judged.m_tasks)
        break_promise("MIXED: " + job + " answered as completed with " +
                      std::to_string(judged.m_done.size()) + " of " + std::to_string(judged.m_tasks) +
                      " tasks done");
}

void soak_judge::note_refused(const std::string& job)
{
    ++m_refused;
    m_jobs.at(job).m_is_refused = true;
}

void soak_judge::note_unanswered(const std::string& job)
{
    ++m_unanswered;
    m_jobs.at(job).m_is_only_refused = false;
}

void soak_judge::check_refusals()
{
    for (const auto& [id, job] : m_jobs) {
        if (job.m_is_refused && job.m_is_only_refused && job.m_has_started)
            break_promise("REFUSED: " + id + " was refused as not run, and a task of it started");
    }
}

std::string soak_judge::summary() const
{
    return std::to_string(m_jobs.size()) + " jobs, " + std::to_string(m_completed) + " completed, " +
           std::to_string(m_refused) + " refused, " + std::to_string(m_unanswered) +
           " attempts unanswered, " + std::to_string(m_starts) + " starts";
}

} // namespace hawthornpin::soak
