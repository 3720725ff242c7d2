// The load view: what a process believes of each worker's load, between reports.
//
// A report replaces the belief; placements made since the report are added to it.

#pragma once

#include "membership/member_table.h"

#include <map>

namespace hawthornpin {

// One worker as placement sees it.
struct worker_view {
    worker m_worker;
    worker_load m_load;
    instant m_reported_at;
    // Tasks that this process placed there and that the report can not have counted yet.
    int m_placed_since_report = 0;
    bool m_is_usable = true;
    // Quarantined workers get one task as a probe when this instant has passed.
    instant m_next_probe;
};

using load_view = std::map<std::string, worker_view>;

// Takes a member into the view; a new incarnation starts afresh.
void update_member(load_view& view, const member& known);

// Removes workers that are not in the list.
void retain_members(load_view& view, const std::vector<std::string>& ids);

// Takes a report that came with an answer.
void record_report(load_view& view, const agent_identity& from, const worker_load& load, instant now);

void record_placement(load_view& view, const std::string& id, int tasks);

// Slots believed free, plus a buffer of `buffer_per_slot` tasks a slot; may be negative under load.
double believed_free(const worker_view& target, double buffer_per_slot);

// Tasks believed to run or wait there, per slot.
double believed_pressure(const worker_view& target);

} // namespace hawthornpin
