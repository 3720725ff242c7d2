// The grant table of a worker: starts each granted task at most once.
//
// Pure. A grant that was refused, revoked or finished leaves a tombstone until its validity has passed;
// a grant whose validity has passed is never started.

#pragma once

#include "dispatch/messages.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace hawthornpin {

enum class grant_phase { queued, running, finished, refused, revoked };

struct grant_record {
    grant_phase m_phase = grant_phase::queued;
    std::uint32_t m_attempt = 0;
    agent_identity m_home;
    std::string m_team;
    std::string m_payload;
    milliseconds m_budget{0};
    milliseconds m_estimated{0};
    instant m_received_at;
    instant m_started_at;
    instant m_valid_until;
    // Set when a running task was asked to stop.
    bool m_is_stopping = false;
};

// Invariants: m_running holds the ids of the running records, m_running_by_team counts them by team, m_queued
// counts the queued records.
struct grant_table {
    std::unordered_map<grant_id, grant_record> m_grants;
    std::multimap<instant, grant_id> m_by_validity;
    std::set<grant_id> m_running;
    int m_queued = 0;
    std::map<std::string, int> m_running_by_team;
};

// Whether the grant is known already. A newer attempt at a refused grant does not count as a repeat.
bool is_repeat(const grant_table& table, const grant& offered);

// Queues an offered grant. Returns the outcome to reply if it was not queued, empty otherwise.
std::optional<outcome> offer_grant(grant_table& table, const grant& offered, instant now);

// Leaves a tombstone for a grant that was refused with not_run.
void refuse_grant(grant_table& table, const grant& refused);

// Moves a queued grant to running; false if it may not start.
bool begin_run(grant_table& table, const grant_id& id, instant now);

// Ends a running grant and returns its record; empty if it was not running.
std::optional<grant_record> end_run(grant_table& table, const grant_id& id);

// Marks a queued or running grant as refused, for one that provably did not start, and returns its record;
// empty if it was neither.
std::optional<grant_record> return_unstarted(grant_table& table, const grant_id& id);

// Revokes a grant, known or not: not_run if it had not started, may_have_run if it runs, ran if it finished.
outcome revoke_grant(grant_table& table, const grant_id& id, instant valid_until);

// Queued grants of other homes, for returning them when the worker leaves.
std::vector<grant_id> queued_grants(const grant_table& table);

// Drops records whose validity has passed, except those that are queued or running.
void drop_expired(grant_table& table, instant now);

} // namespace hawthornpin
