// The member table: what one entry knows of agents and of the other entries.
//
// Pure: time is an argument. Views only speed things up; no promise depends on one being right.

#pragma once

#include "core/instant.h"
#include "world/worker.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hawthornpin {

// How an agent describes its life. `gone` is final for an incarnation.
enum class member_state { serving, leaving, gone };

// Load as an agent reports it with every answer and heartbeat.
struct worker_load {
    int m_running = 0;
    // Tasks accepted and not yet started, both from jobs at home and from peers.
    int m_queued = 0;
    // Estimated time until a task that arrives now would start.
    milliseconds m_estimated_wait{0};
    // Share of recent tasks that failed on the target, in thousandths.
    int m_failures_per_mille = 0;
    // Whether the target is throttled or unreachable, so that nothing should be placed there.
    bool m_is_stopped = false;

    friend bool operator==(const worker_load&, const worker_load&) = default;
};

// What an agent says of itself. Generation and sequence order announcements: a process takes its start
// time as generation and raises it when told that an older life left a higher one.
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
    instant m_last_contact_at;
    // Set when heartbeats were missed; cleared by the next announcement.
    bool m_is_suspect = false;
    // Values of member_table::m_changes when more than its load changed, and when it was last heard of.
    std::uint64_t m_changed_at = 0;
    std::uint64_t m_updated_at = 0;
    // The entry that told of it; empty if the agent announced itself here.
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
    // Silent members leave the table after this time.
    milliseconds m_forget_after{30'000};
};

// Keyed by agent id: one life of an agent stands for it at a time.
struct member_table {
    membership_limits m_limits;
    std::map<std::string, member> m_members;
    std::map<std::string, entry_member> m_entries;
    // Counts news; readers ask for what came since a value they saw.
    std::uint64_t m_changes = 0;
};

// How an announcement was taken.
enum class announce_verdict {
    applied,
    // Not newer than what is known of the same incarnation; nothing changed.
    repeated,
    // Another incarnation with a higher generation stands for the agent.
    superseded,
};

struct announce_result {
    announce_verdict m_verdict = announce_verdict::applied;
    // The generation that stands, for a superseded announcer to rise above.
    std::uint64_t m_generation = 0;
};

// Takes an announcement from the agent itself (`learned_from` empty) or from another entry. `age` is how
// long ago the agent was heard by whoever passes it on.
announce_result apply_announcement(member_table& table, const announcement& update,
                                   const std::string& learned_from, milliseconds age, instant now);

// A short form of an announcement for members that are known: only load and freshness are new.
struct heartbeat {
    agent_identity m_identity;
    std::uint64_t m_sequence = 0;
    worker_load m_load;

    friend bool operator==(const heartbeat&, const heartbeat&) = default;
};

// Takes a heartbeat; false if that incarnation is not known, so that its announcement must be asked for.
bool apply_heartbeat(member_table& table, const heartbeat& update, const std::string& learned_from,
                     milliseconds age, instant now);

heartbeat make_heartbeat(const member& known);

void apply_entry(member_table& table, const std::string& id, const std::string& address, milliseconds age,
                 instant now);

// Marks silent members suspect and forgets those silent for long. Returns how many became suspect.
int mark_overdue(member_table& table, instant now);

// Members of which more than the load changed after `since`. `excluded_source` leaves out what that entry
// told itself.
std::vector<member> members_changed_since(const member_table& table, std::uint64_t since,
                                          const std::string& excluded_source);

// Members heard of after `since` whose load at most changed.
std::vector<member> members_refreshed_since(const member_table& table, std::uint64_t since,
                                            const std::string& excluded_source);

// Whether the member should be given new work.
bool is_usable(const member& candidate);

// What is known of one incarnation.
enum class presence { present, replaced, unknown };
presence find_presence(const member_table& table, const agent_identity& identity);

// Members of a service that are usable, in id order.
std::vector<const member*> usable_members(const member_table& table, const std::string& service);

} // namespace hawthornpin
