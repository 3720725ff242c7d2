// The member table: what one entry knows of agents and of the other entries.
//
// Time is an argument and nothing does I/O. The table only makes placement faster: correctness does not
// depend on it being up to date.

#pragma once

#include "core/instant.h"
#include "world/worker.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hawthornpin {

// State that an agent reports of its incarnation. `gone` is final.
enum class member_state { serving, leaving, gone };

// Load as an agent reports it with every answer and heartbeat.
struct worker_load {
    int m_running = 0;
    // Tasks accepted and not yet started, of jobs that the agent schedules itself and of jobs of its peers.
    int m_queued = 0;
    // Estimated time until a task that arrives now would start.
    milliseconds m_estimated_wait{0};
    // Share of recent tasks that failed on the target, in thousandths.
    int m_failures_per_mille = 0;
    // Whether the target is throttled or unreachable, so that nothing should be placed there.
    bool m_is_stopped = false;

    friend bool operator==(const worker_load&, const worker_load&) = default;
};

// What an agent reports of itself. Generation and sequence order announcements: a process takes its start
// time as generation and raises it when it learns that an earlier incarnation had a higher one.
struct announcement {
    worker m_worker;
    std::uint64_t m_generation = 0;
    std::uint64_t m_sequence = 0;
    member_state m_state = member_state::serving;
    worker_load m_load;

    friend bool operator==(const announcement&, const announcement&) = default;
};

// An agent as this entry knows it.
struct member {
    announcement m_announcement;
    // Last message from the agent to this entry or to the one that reported it.
    instant m_last_contact_at;
    // Set when no update has arrived for m_suspect_after; cleared by the next one.
    bool m_is_suspect = false;
    // Values of member_table::m_changes at the last update that changed more than the load, and at the last
    // update.
    std::uint64_t m_changed_at = 0;
    std::uint64_t m_updated_at = 0;
    // Address of the entry that reported the agent; empty if the agent announced itself here.
    std::string m_learned_from;
};

// Another entry.
struct entry_member {
    std::string m_id;
    std::string m_address;
    instant m_last_contact_at;

    friend bool operator==(const entry_member&, const entry_member&) = default;
};

struct membership_limits {
    milliseconds m_suspect_after{3'000};
    // Members without an update for this long are removed from the table.
    milliseconds m_forget_after{30'000};
};

// Keyed by agent id: only one incarnation of an agent is listed at a time.
struct member_table {
    membership_limits m_limits;
    std::map<std::string, member> m_members;
    std::map<std::string, entry_member> m_entries;
    // Number of updates so far; a reader asks for the updates since the value it last saw.
    std::uint64_t m_changes = 0;
};

// Result of applying an announcement.
enum class announce_verdict {
    applied,
    // Not newer than what is known of the same incarnation, or that incarnation is gone; nothing changed.
    repeated,
    // The table holds another incarnation of the agent with a higher generation; nothing changed.
    superseded,
};

struct announce_result {
    announce_verdict m_verdict = announce_verdict::applied;
    // The generation in the table; a superseded announcer has to exceed it.
    std::uint64_t m_generation = 0;
};

// Applies an announcement from the agent itself (`learned_from` empty) or from another entry. `age` is the
// time since the sender's last contact with the agent.
announce_result apply_announcement(member_table& table, const announcement& update,
                                   const std::string& learned_from, milliseconds age, instant now);

// Short form of an announcement for a known member: updates only the load and the last contact.
struct heartbeat {
    agent_identity m_identity;
    std::uint64_t m_sequence = 0;
    worker_load m_load;

    friend bool operator==(const heartbeat&, const heartbeat&) = default;
};

// Applies a heartbeat; false if that incarnation is not known, so that its announcement must be requested.
bool apply_heartbeat(member_table& table, const heartbeat& update, const std::string& learned_from,
                     milliseconds age, instant now);

heartbeat make_heartbeat(const member& known);

void apply_entry(member_table& table, const std::string& id, const std::string& address, milliseconds age,
                 instant now);

// Marks members without a recent update as suspect and removes members and entries without one for
// m_forget_after. Returns how many became suspect.
int mark_overdue(member_table& table, instant now);

// Returns the members of which more than the load changed after `since`, without those learned from
// `excluded_source`.
std::vector<member> members_changed_since(const member_table& table, std::uint64_t since,
                                          const std::string& excluded_source);

// Returns the members updated after `since` of which at most the load changed, without those learned from
// `excluded_source`.
std::vector<member> members_refreshed_since(const member_table& table, std::uint64_t since,
                                            const std::string& excluded_source);

// Whether the member should be given new work.
bool is_usable(const member& candidate);

// Status of one incarnation of an agent in the table. One that is gone counts as replaced.
enum class presence { present, replaced, unknown };
presence find_presence(const member_table& table, const agent_identity& identity);

// Returns the usable members of a service, ordered by id.
std::vector<const member*> usable_members(const member_table& table, const std::string& service);

} // namespace hawthornpin
