// State changes of jobs and their tasks.

#include "dispatch/job_ledger.h"

#include "core/fault_injection.h"

#include <algorithm>

namespace hawthornpin {

namespace {

constexpr std::size_t bytes_per_record = 512;
constexpr std::size_t bytes_per_task = 160;

std::size_t estimate_bytes(const submission& job)
{
    std::size_t bytes = bytes_per_record;
    for (const std::string& payload : job.m_payloads)
        bytes += bytes_per_task + payload.size();
    return bytes;
}

void change_bytes(job_ledger& ledger, job_record& job, std::size_t bytes)
{
    ledger.m_bytes += bytes;
    ledger.m_bytes -= job.m_bytes;
    job.m_bytes = bytes;
}

instant keep_until(const job_ledger& ledger, const ticket& value, instant deadline)
{
    return std::max(value.m_expiry, deadline) + max_clock_skew + ledger.m_limits.m_answer_retention;
}

task_record* find_granted(job_record& job, std::uint32_t task, std::uint32_t attempt)
{
    if (task >= job.m_tasks.size())
        return nullptr;
    task_record& record = job.m_tasks[task];
    const bool is_current = record.m_phase == task_phase::granted && record.m_attempt == attempt;
    return is_current ? &record : nullptr;
}

outcome final_outcome(const job_record& job)
{
    if (job.m_end_reason == reason::none)
        return {verdict::ran, reason::none, ticket_state::closed};
    const bool is_unstarted = !job.m_may_have_run && !job.m_has_run && job.m_granted == 0;
    if (is_unstarted || is_mutant_active(mutant::not_run_after_send))
        return {verdict::not_run, job.m_end_reason, ticket_state::closed};
    const bool is_certain = job.m_has_run && !job.m_may_have_run && job.m_granted == 0;
    return {is_certain ? verdict::ran : verdict::may_have_run, job.m_end_reason, ticket_state::closed};
}

std::vector<std::string> collect_answers(job_record& job)
{
    std::vector<std::string> answers;
    answers.reserve(job.m_tasks.size());
    for (task_record& task : job.m_tasks)
        answers.push_back(std::move(task.m_answer));
    if (is_mutant_active(mutant::answers_swapped) && answers.size() > 1)
        std::swap(answers.front(), answers.back());
    return answers;
}

void insert_record(job_ledger& ledger, job_record record)
{
    const ticket_id id = record.m_ticket.m_id;
    ledger.m_by_keep_until.emplace(record.m_keep_until, id);
    ledger.m_bytes += record.m_bytes;
    ledger.m_jobs.emplace(id, std::move(record));
}

} // namespace

job_record* find_job(job_ledger& ledger, const ticket_id& id)
{
    const auto found = ledger.m_jobs.find(id);
    return found == ledger.m_jobs.end() ? nullptr : &found->second;
}

std::optional<admit_result> find_admit_result(job_ledger& ledger, const submission& job, instant now)
{
    const auto refuse = [](verdict value, reason why) {
        return admit_result{admit_kind::refused, {value, why, ticket_state::closed}};
    };
    if (const job_record* known = find_job(ledger, job.m_ticket.m_id)) {
        const bool is_tombstone = known->m_tasks.empty();
        const bool is_same = known->m_digest == job.m_digest || is_tombstone;
        if (is_same || is_mutant_active(mutant::join_ignores_digest))
            return admit_result{admit_kind::joined, {}};
        // The job with the recorded body may be running; one with this body never will.
        return refuse(verdict::not_run, reason::body_differs);
    }
    if (job.m_ticket.m_expiry <= now && !is_mutant_active(mutant::expired_ticket_starts)) {
        // Records are kept for long after the ticket's expiry; within that time, a ticket without one has
        // started nothing.
        const instant record_end = keep_until(ledger, job.m_ticket, job.m_ticket.m_expiry);
        return refuse(now < record_end ? verdict::not_run : verdict::may_have_run, reason::ticket_expired);
    }
    if (job.m_ticket.m_expiry > now + max_ticket_lifetime + max_clock_skew)
        return refuse(verdict::not_run, reason::ticket_too_far_ahead);
    if (job.m_ticket.m_expiry <= ledger.m_refused_watermark)
        return refuse(verdict::not_run, reason::ledger_full);
    return std::nullopt;
}

bool has_room(const job_ledger& ledger, const submission& job)
{
    const bool has_record = ledger.m_jobs.size() < ledger.m_limits.m_max_records;
    return has_record && ledger.m_bytes + estimate_bytes(job) <= ledger.m_limits.m_max_bytes;
}

job_record& record_job(job_ledger& ledger, const submission& job, milliseconds estimated, instant now)
{
    job_record record;
    record.m_ticket = job.m_ticket;
    record.m_team = job.m_team;
    record.m_digest = job.m_digest;
    record.m_needs = job.m_needs;
    record.m_estimated = estimated;
    record.m_tasks.resize(job.m_payloads.size());
    for (std::size_t index = 0; index < job.m_payloads.size(); ++index)
        record.m_tasks[index].m_payload = job.m_payloads[index];
    record.m_queued = static_cast<int>(job.m_payloads.size());
    record.m_accepted_at = now;
    record.m_deadline = now + job.m_budget;
    record.m_keep_until = keep_until(ledger, job.m_ticket, record.m_deadline);
    record.m_bytes = estimate_bytes(job);
    index_deadline(ledger, job.m_ticket.m_id, record.m_deadline);
    ++ledger.m_live_jobs;
    insert_record(ledger, std::move(record));
    return ledger.m_jobs.at(job.m_ticket.m_id);
}

void record_refusal(job_ledger& ledger, const ticket& refused, const job_answer& answer, instant now)
{
    if (is_mutant_active(mutant::refusal_drops_tombstone))
        return;
    // Tombstones may use a tenth more records than jobs; beyond that the watermark replaces them.
    const std::size_t max_records = ledger.m_limits.m_max_records + ledger.m_limits.m_max_records / 10;
    if (ledger.m_jobs.size() >= max_records) {
        ledger.m_refused_watermark = std::max(ledger.m_refused_watermark, refused.m_expiry);
        return;
    }
    job_record record;
    record.m_ticket = refused;
    record.m_phase = job_phase::ended;
    record.m_answer = answer;
    record.m_end_reason = answer.m_outcome.m_reason;
    record.m_accepted_at = now;
    record.m_keep_until = keep_until(ledger, refused, now);
    record.m_bytes = bytes_per_record;
    insert_record(ledger, std::move(record));
}

bool mark_granted(job_record& job, std::uint32_t task, const agent_identity& worker)
{
    if (task >= job.m_tasks.size() || job.m_tasks[task].m_phase != task_phase::queued)
        return false;
    task_record& record = job.m_tasks[task];
    record.m_phase = task_phase::granted;
    record.m_worker = worker;
    ++record.m_attempt;
    --job.m_queued;
    ++job.m_granted;
    return true;
}

bool mark_returned(job_record& job, std::uint32_t task, std::uint32_t attempt)
{
    task_record* record = find_granted(job, task, attempt);
    if (record == nullptr)
        return false;
    --job.m_granted;
    if (job.m_phase != job_phase::running) {
        record->m_phase = task_phase::dropped;
        return true;
    }
    record->m_phase = task_phase::queued;
    ++job.m_queued;
    return true;
}

bool mark_done(job_ledger& ledger, job_record& job, std::uint32_t task, std::uint32_t attempt,
               std::string answer)
{
    task_record* record = find_granted(job, task, attempt);
    if (record == nullptr)
        return false;
    change_bytes(ledger, job, job.m_bytes - std::min(job.m_bytes, record->m_payload.size()) + answer.size());
    record->m_payload = std::string();
    record->m_answer = std::move(answer);
    record->m_phase = task_phase::done;
    --job.m_granted;
    ++job.m_done;
    job.m_has_run = true;
    return true;
}

bool mark_lost(job_record& job, std::uint32_t task, std::uint32_t attempt, bool is_certain)
{
    task_record* record = find_granted(job, task, attempt);
    if (record == nullptr)
        return false;
    record->m_phase = task_phase::lost;
    --job.m_granted;
    (is_certain ? job.m_has_run : job.m_may_have_run) = true;
    return true;
}

int begin_ending(job_record& job, reason why)
{
    if (job.m_phase != job_phase::running)
        return 0;
    job.m_phase = job_phase::ending;
    job.m_end_reason = why;
    const int dropped = job.m_queued;
    for (task_record& task : job.m_tasks) {
        if (task.m_phase == task_phase::queued)
            task.m_phase = task_phase::dropped;
    }
    job.m_queued = 0;
    return dropped;
}

bool finalize_job(job_ledger& ledger, job_record& job, bool is_forced)
{
    if (job.m_phase == job_phase::ended)
        return false;
    const bool is_complete = job.m_done == static_cast<int>(job.m_tasks.size());
    const bool is_partial_allowed = is_mutant_active(mutant::partial_answer) && job.m_done > 0;
    if (job.m_phase == job_phase::running && !is_complete && !is_partial_allowed)
        return false;
    if (job.m_phase == job_phase::ending && job.m_granted > 0 && !is_forced)
        return false;
    job_answer answer;
    answer.m_outcome = final_outcome(job);
    if (is_success(answer.m_outcome))
        answer.m_answers = collect_answers(job);
    for (task_record& task : job.m_tasks) {
        task.m_payload = std::string();
        task.m_answer = std::string();
    }
    std::size_t bytes = bytes_per_record + job.m_tasks.size() * bytes_per_task;
    for (const std::string& text : answer.m_answers)
        bytes += text.size();
    change_bytes(ledger, job, bytes);
    job.m_answer = std::move(answer);
    job.m_phase = job_phase::ended;
    --ledger.m_live_jobs;
    return true;
}

std::vector<ticket_id> take_overdue(job_ledger& ledger, instant now)
{
    std::vector<ticket_id> overdue;
    while (!ledger.m_by_deadline.empty() && ledger.m_by_deadline.begin()->first <= now) {
        overdue.push_back(ledger.m_by_deadline.begin()->second);
        ledger.m_by_deadline.erase(ledger.m_by_deadline.begin());
    }
    return overdue;
}

void index_deadline(job_ledger& ledger, const ticket_id& id, instant when)
{
    ledger.m_by_deadline.emplace(when, id);
}

void drop_expired(job_ledger& ledger, instant now)
{
    while (!ledger.m_by_keep_until.empty() && ledger.m_by_keep_until.begin()->first <= now) {
        const ticket_id id = ledger.m_by_keep_until.begin()->second;
        ledger.m_by_keep_until.erase(ledger.m_by_keep_until.begin());
        const auto found = ledger.m_jobs.find(id);
        if (found == ledger.m_jobs.end())
            continue;
        if (found->second.m_phase != job_phase::ended) {
            // The job has not ended yet; its record is checked again later rather than dropped.
            ledger.m_by_keep_until.emplace(now + ledger.m_limits.m_answer_retention, id);
            continue;
        }
        ledger.m_bytes -= found->second.m_bytes;
        ledger.m_jobs.erase(found);
    }
}

} // namespace hawthornpin
