// The load view: a process's estimate of each worker's load between reports.
//
// A report replaces the estimate; tasks sent that the report can't have counted are added to it. The sender
// numbers the tasks it sends, and a report carries the number of the last one that it has counted.

#pragma once

#include "membership/member_table.h"

#include <map>

namespace hawthornpin {

// What placement knows of one worker.
struct worker_view {
    worker m_worker;
    worker_load m_load;
    instant m_reported_at;
    // Tasks sent there by this process, and how many of them the last report had counted.
    std::uint64_t m_sent = 0;
    std::uint64_t m_seen = 0;
    // Tickets minted for this worker as a home since the last report and not submitted yet.
    int m_minted_tickets = 0;
    bool m_is_usable = true;
    // A quarantined worker gets one task as a probe once this instant has passed.
    instant m_next_probe;
};

using load_view = std::map<std::string, worker_view>;

// Adds or updates a member; a new incarnation starts with a fresh view.
void update_member(load_view& view, const member& known);

// Removes workers that are not in the list.
void retain_members(load_view& view, const std::vector<std::string>& ids);

// A load with the number of the sender's tasks that it has counted; zero if the load did not come as an
// answer to the sender.
struct load_report {
    worker_load m_load;
    std::uint64_t m_seen = 0;

    friend bool operator==(const load_report&, const load_report&) = default;
};

// Applies a report that came with an answer or with a membership update; an older one is ignored.
void record_report(load_view& view, const agent_identity& from, const load_report& report, instant now);

// Counts tasks sent to a worker. Returns the number of all tasks sent so far, which the message carries.
std::uint64_t record_sent(load_view& view, const agent_identity& to, int tasks);

// Marks tasks up to this number as counted by the worker, without a report.
void acknowledge_sent(load_view& view, const agent_identity& to, std::uint64_t sent);

// Adds tickets minted for a home; a negative number subtracts tickets that were submitted.
void record_minted_tickets(load_view& view, const std::string& id, int tickets);

// Estimated number of tasks that run or wait at a worker.
int estimated_tasks(const worker_view& target);

// Estimated number of free slots, plus a buffer of `buffer_per_slot` tasks a slot; may be negative under
// load.
double estimated_free_slots(const worker_view& target, double buffer_per_slot);

// Estimated number of tasks that run or wait at a worker, for each of its slots.
double estimated_load_per_slot(const worker_view& target);

} // namespace hawthornpin
