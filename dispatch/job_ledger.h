// The job ledger of a home: the only component that decides whether a ticket may still start tasks.
//
// Pure. Records stay until the ticket has expired and answers need not be kept any longer; they are never
// dropped earlier to save memory. When memory runs out, new jobs are refused instead.

#pragma once

#include "dispatch/messages.h"

#include <map>
#include <optional>
#include <unordered_map>

namespace hawthornpin {

enum class task_phase {
    // Waits for a slot; provably not started.
    queued,
    // Granted to a worker, this one included; may have started.
    granted,
    // Ran to a successful end.
    done,
    // Will never start.
    dropped,
    // Ended without a successful answer after it may have started.
    lost,
};

struct task_record {
    std::string m_payload;
    std::string m_answer;
    task_phase m_phase = task_phase::queued;
    std::uint32_t m_attempt = 0;
    agent_identity m_worker;
};

enum class job_phase {
    // Tasks wait or run.
    running,
    // Failed, cancelled or past its deadline; the verdict waits for the answers to revocations.
    ending,
    // The answer is final.
    ended,
};

// Invariants: m_queued and m_granted count the tasks in these phases; m_answer is set exactly when ended;
// tombstones are ended records without tasks.
struct job_record {
    ticket m_ticket;
    std::string m_team;
    std::string m_digest;
    task_needs m_needs;
    // Estimated run time of each task, as it was when the job was queued.
    milliseconds m_estimated{0};
    std::vector<task_record> m_tasks;
    job_phase m_phase = job_phase::running;
    int m_queued = 0;
    int m_granted = 0;
    int m_done = 0;
    bool m_may_have_run = false;
    bool m_has_run = false;
    reason m_end_reason = reason::none;
    std::optional<job_answer> m_answer;
    instant m_accepted_at;
    instant m_deadline;
    instant m_ending_deadline;
    // The record is kept at least until this instant.
    instant m_keep_until;
    std::size_t m_bytes = 0;
};

struct ledger_limits {
    std::size_t m_max_records = 200'000;
    std::size_t m_max_bytes = 48 * 1024 * 1024;
    milliseconds m_answer_retention{60'000};
    // How long the verdict of an ending job waits for the answers to revocations.
    milliseconds m_revoke_timeout{1'000};
};

struct job_ledger {
    ledger_limits m_limits;
    std::unordered_map<ticket_id, job_record> m_jobs;
    std::multimap<instant, ticket_id> m_by_keep_until;
    std::multimap<instant, ticket_id> m_by_deadline;
    std::size_t m_bytes = 0;
    // Unknown tickets that expire at or before this instant are refused. It is raised when a refusal can't be
    // recorded for lack of room, so that a late duplicate of the refused job can't start.
    instant m_refused_watermark;
    int m_live_jobs = 0;
};

// Result of a submission: a new record, an existing one, or a refusal.
enum class admit_kind { accepted, joined, refused };

struct admit_result {
    admit_kind m_kind = admit_kind::refused;
    outcome m_refusal;
};

job_record* find_job(job_ledger& ledger, const ticket_id& id);

// Result for a ticket that has a record already or can no longer be admitted; empty if a new record may be
// made. Never starts a task.
std::optional<admit_result> find_admit_result(job_ledger& ledger, const submission& job, instant now);

// Whether the limits leave room for the job.
bool has_room(const job_ledger& ledger, const submission& job);

// Records a new job with all tasks queued.
job_record& record_job(job_ledger& ledger, const submission& job, milliseconds estimated, instant now);

// Records that the ticket was refused and will never start. Without room for a record, raises the refused
// watermark instead.
void record_refusal(job_ledger& ledger, const ticket& refused, const job_answer& answer, instant now);

// Phase changes of tasks; each checks its precondition and returns false where it does not hold.
bool mark_granted(job_record& job, std::uint32_t task, const agent_identity& worker);
bool mark_returned(job_record& job, std::uint32_t task, std::uint32_t attempt);
bool mark_done(job_ledger& ledger, job_record& job, std::uint32_t task, std::uint32_t attempt,
               std::string answer);
bool mark_lost(job_record& job, std::uint32_t task, std::uint32_t attempt, bool is_certain);

// Drops all queued tasks and records why the job ends; returns how many were dropped.
int begin_ending(job_record& job, reason why);

// Sets the final answer once no task is outstanding, or in any case if `is_forced`; true if this call set it.
bool finalize_job(job_ledger& ledger, job_record& job, bool is_forced);

// Removes the jobs past their deadline from the deadline index and returns their tickets, earliest first.
std::vector<ticket_id> take_overdue(job_ledger& ledger, instant now);

// Adds a deadline of a job to the deadline index.
void index_deadline(job_ledger& ledger, const ticket_id& id, instant when);

// Drops records that need not be kept any longer.
void drop_expired(job_ledger& ledger, instant now);

} // namespace hawthornpin
