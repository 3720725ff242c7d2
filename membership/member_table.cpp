// Merging of announcements and expiry of members.

#include "membership/member_table.h"

#include "core/fault_injection.h"

#include <algorithm>

namespace hawthornpin {

namespace {

bool is_same_incarnation(const member& known, const announcement& update)
{
    return known.m_announcement.m_worker.identity() == update.m_worker.identity();
}

// Orders two incarnations of an agent by generation; the incarnation id breaks ties equally in all processes.
bool is_newer_incarnation(const announcement& left, const announcement& right)
{
    if (left.m_generation != right.m_generation)
        return left.m_generation > right.m_generation;
    return left.m_worker.identity().m_incarnation > right.m_worker.identity().m_incarnation;
}

bool is_change_beyond_load(const announcement& known, const announcement& update)
{
    return known.m_worker != update.m_worker || known.m_state != update.m_state ||
           known.m_generation != update.m_generation;
}

void store(member_table& table, const announcement& update, const std::string& learned_from,
           instant contact_at)
{
    member& known = table.m_members[update.m_worker.identity().m_id];
    const bool is_new = known.m_updated_at == 0;
    const bool is_changed =
        is_new || known.m_is_suspect || is_change_beyond_load(known.m_announcement, update);
    known.m_announcement = update;
    known.m_last_contact_at = contact_at;
    known.m_is_suspect = false;
    known.m_learned_from = learned_from;
    known.m_updated_at = ++table.m_changes;
    if (is_changed)
        known.m_changed_at = known.m_updated_at;
}

bool is_learned_from(const member& known, const std::string& excluded_source)
{
    return !excluded_source.empty() && known.m_learned_from == excluded_source;
}

} // namespace

announce_result apply_announcement(member_table& table, const announcement& update,
                                   const std::string& learned_from, milliseconds age, instant now)
{
    const instant contact_at = now - age;
    const auto found = table.m_members.find(update.m_worker.identity().m_id);
    if (found == table.m_members.end()) {
        store(table, update, learned_from, contact_at);
        return {announce_verdict::applied, update.m_generation};
    }
    const member& known = found->second;
    if (is_same_incarnation(known, update)) {
        const bool is_newer = update.m_sequence > known.m_announcement.m_sequence;
        if (!is_newer || known.m_announcement.m_state == member_state::gone)
            return {announce_verdict::repeated, known.m_announcement.m_generation};
    }
    else if (!is_newer_incarnation(update, known.m_announcement) &&
             !is_mutant_active(mutant::older_incarnation_overrides)) {
        return {announce_verdict::superseded, known.m_announcement.m_generation};
    }
    store(table, update, learned_from, contact_at);
    return {announce_verdict::applied, update.m_generation};
}

bool apply_heartbeat(member_table& table, const heartbeat& update, const std::string& learned_from,
                     milliseconds age, instant now)
{
    const auto found = table.m_members.find(update.m_identity.m_id);
    if (found == table.m_members.end() ||
        found->second.m_announcement.m_worker.identity() != update.m_identity)
        return false;
    announcement full = found->second.m_announcement;
    full.m_sequence = update.m_sequence;
    full.m_load = update.m_load;
    apply_announcement(table, full, learned_from, age, now);
    return true;
}

heartbeat make_heartbeat(const member& known)
{
    const announcement& announced = known.m_announcement;
    return {announced.m_worker.identity(), announced.m_sequence, announced.m_load};
}

void apply_entry(member_table& table, const std::string& id, const std::string& address, milliseconds age,
                 instant now)
{
    const instant contact_at = now - age;
    auto [found, is_new] = table.m_entries.try_emplace(id, entry_member{id, address, contact_at});
    if (is_new || found->second.m_last_contact_at >= contact_at)
        return;
    found->second = {id, address, contact_at};
}

int mark_overdue(member_table& table, instant now)
{
    int suspected = 0;
    for (auto& [id, known] : table.m_members) {
        const bool is_overdue = now - known.m_last_contact_at > table.m_limits.m_suspect_after;
        if (!is_overdue || known.m_is_suspect)
            continue;
        known.m_is_suspect = true;
        ++suspected;
    }
    std::erase_if(table.m_members, [&](const auto& item) {
        return now - item.second.m_last_contact_at > table.m_limits.m_forget_after;
    });
    std::erase_if(table.m_entries, [&](const auto& item) {
        return now - item.second.m_last_contact_at > table.m_limits.m_forget_after;
    });
    return suspected;
}

std::vector<member> members_changed_since(const member_table& table, std::uint64_t since,
                                          const std::string& excluded_source)
{
    std::vector<member> changed;
    for (const auto& [id, known] : table.m_members) {
        if (known.m_changed_at > since && !is_learned_from(known, excluded_source))
            changed.push_back(known);
    }
    return changed;
}

std::vector<member> members_refreshed_since(const member_table& table, std::uint64_t since,
                                            const std::string& excluded_source)
{
    std::vector<member> refreshed;
    for (const auto& [id, known] : table.m_members) {
        const bool is_only_refreshed = known.m_updated_at > since && known.m_changed_at <= since;
        if (is_only_refreshed && !is_learned_from(known, excluded_source))
            refreshed.push_back(known);
    }
    return refreshed;
}

bool is_usable(const member& candidate)
{
    return candidate.m_announcement.m_state == member_state::serving && !candidate.m_is_suspect;
}

presence find_presence(const member_table& table, const agent_identity& identity)
{
    const auto found = table.m_members.find(identity.m_id);
    if (found == table.m_members.end())
        return presence::unknown;
    const announcement& known = found->second.m_announcement;
    if (known.m_worker.identity() != identity)
        return presence::replaced;
    return known.m_state == member_state::gone ? presence::replaced : presence::present;
}

std::vector<const member*> usable_members(const member_table& table, const std::string& service)
{
    std::vector<const member*> members;
    for (const auto& [id, known] : table.m_members) {
        if (known.m_announcement.m_worker.service() == service && is_usable(known))
            members.push_back(&known);
    }
    return members;
}

} // namespace hawthornpin
