// The load view: what a process believes of each worker's load, between reports.
//
// A report replaces the belief; placements that the report can't have counted are added to it. Sender and
// worker number the tasks sent, so that a report says which of them it has counted.

#pragma once

#include "membership/member_table.h"

#include <map>

namespace hawthornpin {

// One worker as placement sees it.
struct worker_view {
    worker m_worker;
    worker_load m_load;
    instant m_reported_at;
    // Tasks sent there by this process, and how many of them the last report had counted.
    std::uint64_t m_sent = 0;
    std::uint64_t m_seen = 0;
    // Tickets minted for this home since the last report and not submitted yet.
    int m_minted_tickets = 0;
    bool m_is_usable = true;
    // Quarantined workers get one task as a probe when this instant has passed.
    instant m_next_probe;
};

using load_view = std::map<std::string, worker_view>;

// Takes a member into the view; a new incarnation starts afresh.
void update_member(load_view& view, const member& known);

// Removes workers that are not in the list.
void retain_members(load_view& view, const std::vector<std::string>& ids);

// A load with the number of the sender's tasks that it counts; zero if it came by other ways.
struct load_report {
    worker_load m_load;
    std::uint64_t m_seen = 0;

    friend bool operator==(const load_report&, const load_report&) = default;
};

// Takes a report that came with an answer or with news of members.
void record_report(load_view& view, const agent_identity& from, const load_report& report, instant now);

// Counts tasks sent to a worker. Returns the number of all tasks sent so far, for the message.
std::uint64_t record_sent(load_view& view, const agent_identity& to, int tasks);

// Takes tasks up to this number as seen, without a report.
void acknowledge_sent(load_view& view, const agent_identity& to, std::uint64_t sent);

// Counts tickets minted for a home, or submitted ones off again with a negative number.
void record_minted_tickets(load_view& view, const std::string& id, int tickets);

// Tasks that run or wait at a worker as far as this process knows.
int estimated_tasks(const worker_view& target);

// Slots believed free, plus a buffer of `buffer_per_slot` tasks a slot; may be negative under load.
double estimated_free_slots(const worker_view& target, double buffer_per_slot);

// Tasks believed to run or wait there, per slot.
double estimated_load_per_slot(const worker_view& target);

} // namespace hawthornpin
