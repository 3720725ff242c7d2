// Messages between the components of dispatch, and the actions that they ask their caller to carry out.

#pragma once

#include "core/ticket.h"
#include "routing/load_view.h"
#include "world/contract.h"

#include <string>
#include <variant>
#include <vector>

namespace hawthornpin {

// A job as an entry submits it to its home.
struct submission {
    ticket m_ticket;
    std::string m_team;
    // Digest of the caller's body; a repeat with another digest is refused.
    std::string m_digest;
    // Time that is left for the whole job.
    milliseconds m_budget{0};
    task_needs m_needs;
    std::vector<std::string> m_payloads;

    friend bool operator==(const submission&, const submission&) = default;
};

// How one task ended. Verdict `ran` with reason none is a success, with the task's answer.
struct task_end {
    outcome m_outcome;
    std::string m_answer;

    friend bool operator==(const task_end&, const task_end&) = default;
};

inline bool is_success(const outcome& value)
{
    return value.m_verdict == verdict::ran && value.m_reason == reason::none;
}

// The answer to a whole job: all task answers in order after a success, none otherwise.
struct job_answer {
    outcome m_outcome;
    std::vector<std::string> m_answers;
    // When the caller may retry; set if the job was refused because of load.
    milliseconds m_retry_after{0};

    friend bool operator==(const job_answer&, const job_answer&) = default;
};

// The right to start one task once, given by a home to one worker's incarnation.
struct grant {
    agent_identity m_home;
    grant_id m_id;
    // Incremented each time the task is granted again after proof that it did not start.
    std::uint32_t m_attempt = 0;
    std::string m_team;
    std::string m_payload;
    milliseconds m_budget{0};
    milliseconds m_estimated{0};
    // Tasks that the home sent to this worker so far, this one included.
    std::uint64_t m_sent = 0;
    // After this instant of the worker's clock the grant may not start, and its record may be dropped.
    instant m_valid_until;

    friend bool operator==(const grant&, const grant&) = default;
};

// Actions. Every send_grant must be answered by exactly one on_grant_reply, and every start_task by exactly
// one on_task_ended; a lost connection counts as an answer of may_have_run.
struct start_task {
    grant_id m_id;
    std::string m_payload;
    milliseconds m_budget{0};
};

struct stop_task {
    grant_id m_id;
};

struct send_grant {
    agent_identity m_worker;
    std::string m_address;
    grant m_grant;
};

struct send_revoke {
    agent_identity m_worker;
    std::string m_address;
    grant_id m_id;
    instant m_valid_until;
};

struct reply_grant {
    agent_identity m_home;
    grant_id m_id;
    std::uint32_t m_attempt = 0;
    task_end m_end;
};

// The job's answer is final; it can be read from the ledger.
struct job_ended {
    ticket_id m_ticket;
};

// Notifies a loaded peer that this worker has free slots.
struct notify_idle {
    agent_identity m_peer;
    std::string m_address;
};

using action =
    std::variant<start_task, stop_task, send_grant, send_revoke, reply_grant, job_ended, notify_idle>;
using actions = std::vector<action>;

} // namespace hawthornpin
