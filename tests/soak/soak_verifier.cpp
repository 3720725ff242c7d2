// Verifies the guarantees to callers at each start, end and answer.

#include "tests/soak/soak_verifier.h"

#include "platform/message_decoding.h"

#include <algorithm>

namespace hawthornpin::soak {

void soak_verifier::record_violation(const std::string& what)
{
    ++m_violations;
    if (m_violation.empty())
        m_violation = what;
}

void soak_verifier::set_evacuation_bounds(milliseconds evacuate, milliseconds max_stretch)
{
    m_evacuate = evacuate;
    m_max_stretch = max_stretch;
}

void soak_verifier::record_evacuated(const std::string& zone)
{
    const instant now = boot_now();
    m_evacuated.try_emplace(zone, evacuation{now, m_store_fault_end >= now});
}

void soak_verifier::record_revoked(const std::string& zone)
{
    const auto evacuated = m_evacuated.find(zone);
    if (evacuated == m_evacuated.end())
        return;
    if (boot_now() > evacuation_bound(evacuated->second))
        ++m_verified_evacuations;
    m_evacuated.erase(evacuated);
}

void soak_verifier::record_store_fault(instant until)
{
    m_store_fault_end = std::max(m_store_fault_end, until);
    for (auto& [zone, evacuated] : m_evacuated) {
        if (boot_now() < evacuated.m_evacuated_at + m_evacuate)
            evacuated.m_is_extended = true;
    }
}

instant soak_verifier::evacuation_bound(const evacuation& zone) const
{
    return zone.m_evacuated_at + m_evacuate + (zone.m_is_extended ? m_max_stretch : milliseconds(0));
}

void soak_verifier::record_run_start(const std::string& worker, const std::string& zone, const run_id& run,
                                     std::int64_t used_milli, std::int64_t capacity_milli)
{
    ++m_starts;
    const auto evacuated = m_evacuated.find(zone);
    if (evacuated != m_evacuated.end() && boot_now() >= evacuation_bound(evacuated->second))
        record_violation("EVAC: " + to_text(run) + " starts on " + worker + " in the evacuated zone " + zone);
    if (used_milli > capacity_milli)
        record_violation("LIMIT: " + worker + " exceeds its capacity with " + to_text(run));
    const auto [other, is_inserted] = m_running.emplace(run.m_task, worker);
    if (!is_inserted)
        record_violation("TWICE: " + to_text(run) + " on " + worker + " while it runs on " + other->second);
    const auto job = m_jobs.find(run.m_task.m_job);
    if (job == m_jobs.end())
        record_violation("UNASKED: run of a job that was never submitted: " + to_text(run));
    else
        job->second.m_has_started = true;
}

void soak_verifier::record_run_end(const std::string& worker, const run_id& run, bool is_done)
{
    const auto running = m_running.find(run.m_task);
    if (running != m_running.end() && running->second == worker)
        m_running.erase(running);
    const auto job = m_jobs.find(run.m_task.m_job);
    if (is_done && job != m_jobs.end())
        job->second.m_done.insert(run.m_task);
}

void soak_verifier::record_submitted(const std::string& job, std::uint32_t tasks)
{
    m_jobs[job].m_tasks = tasks;
}

void soak_verifier::record_completed(const std::string& job)
{
    ++m_completed;
    tracked_job& tracked = m_jobs.at(job);
    tracked.m_is_only_refused = false;
    if (tracked.m_done.size() < tracked.m_tasks)
        record_violation("MIXED: " + job + " answered as completed with " +
                         std::to_string(tracked.m_done.size()) + " of " + std::to_string(tracked.m_tasks) +
                         " tasks done");
}

void soak_verifier::record_refused(const std::string& job)
{
    ++m_refused;
    m_jobs.at(job).m_is_refused = true;
}

void soak_verifier::record_unanswered(const std::string& job)
{
    ++m_unanswered;
    m_jobs.at(job).m_is_only_refused = false;
}

void soak_verifier::check_refusals()
{
    for (const auto& [id, job] : m_jobs) {
        if (job.m_is_refused && job.m_is_only_refused && job.m_has_started)
            record_violation("REFUSED: " + id + " was refused as not run, and a task of it started");
    }
}

std::string soak_verifier::summary() const
{
    return std::to_string(m_jobs.size()) + " jobs, " + std::to_string(m_completed) + " completed, " +
           std::to_string(m_refused) + " refused, " + std::to_string(m_unanswered) +
           " attempts unanswered, " + std::to_string(m_starts) + " starts, " + std::to_string(m_violations) +
           " violations";
}

} // namespace hawthornpin::soak
