// Merging of announcements and the passing of time in the member table.

#include "membership/member_table.h"

#include "core/fault_injection.h"

#include <algorithm>

namespace hawthornpin {

namespace {

bool is_same_life(const member& known, const announcement& news)
{
    return known.m_announcement.m_worker.identity() == news.m_worker.identity();
}

// The order between two lives of an agent; the incarnation breaks ties the same way everywhere.
bool is_newer_life(const announcement& left, const announcement& right)
{
    if (left.m_generation != right.m_generation)
        return left.m_generation > right.m_generation;
    return left.m_worker.identity().m_incarnation > right.m_worker.identity().m_incarnation;
}

void store(member_table& table, const announcement& news, const std::string& learned_from, instant heard)
{
    member& entry = table.m_members[news.m_worker.identity().m_id];
    const bool is_changed = entry.m_changed_at == 0 || !(entry.m_announcement == news) || entry.m_is_suspect;
    entry.m_announcement = news;
    entry.m_last_heard = heard;
    entry.m_is_suspect = false;
    entry.m_learned_from = learned_from;
    if (is_changed)
        entry.m_changed_at = ++table.m_changes;
}

} // namespace

announce_result apply_announcement(member_table& table, const announcement& news,
                                   const std::string& learned_from, milliseconds age, instant now)
{
    const instant heard = now - age;
    const auto found = table.m_members.find(news.m_worker.identity().m_id);
    if (found == table.m_members.end()) {
        store(table, news, learned_from, heard);
        return {announce_verdict::applied, news.m_generation};
    }
    const member& known = found->second;
    if (is_same_life(known, news)) {
        const bool is_newer = news.m_sequence > known.m_announcement.m_sequence;
        if (!is_newer || known.m_announcement.m_state == member_state::gone)
            return {announce_verdict::repeated, known.m_announcement.m_generation};
    }
    else if (!is_newer_life(news, known.m_announcement) &&
             !is_mutant_active(mutant::older_incarnation_overrides)) {
        return {announce_verdict::superseded, known.m_announcement.m_generation};
    }
    store(table, news, learned_from, heard);
    return {announce_verdict::applied, news.m_generation};
}

void apply_entry(member_table& table, const std::string& id, const std::string& address, milliseconds age,
                 instant now)
{
    const instant heard = now - age;
    auto [found, is_new] = table.m_entries.try_emplace(id, entry_member{id, address, heard});
    if (is_new || found->second.m_last_heard >= heard)
        return;
    found->second = {id, address, heard};
}

int mark_overdue(member_table& table, instant now)
{
    int suspected = 0;
    for (auto& [id, entry] : table.m_members) {
        const bool is_overdue = now - entry.m_last_heard > table.m_limits.m_suspect_after;
        if (!is_overdue || entry.m_is_suspect)
            continue;
        entry.m_is_suspect = true;
        ++suspected;
    }
    std::erase_if(table.m_members, [&](const auto& item) {
        return now - item.second.m_last_heard > table.m_limits.m_forget_after;
    });
    std::erase_if(table.m_entries, [&](const auto& item) {
        return now - item.second.m_last_heard > table.m_limits.m_forget_after;
    });
    return suspected;
}

std::vector<member> members_since(const member_table& table, std::uint64_t since, const std::string& service,
                                  const std::string& except_from, std::size_t limit)
{
    std::vector<member> changed;
    for (const auto& [id, entry] : table.m_members) {
        const bool is_asked_for = service.empty() || entry.m_announcement.m_worker.service() == service;
        const bool is_echo = !except_from.empty() && entry.m_learned_from == except_from;
        if (entry.m_changed_at > since && is_asked_for && !is_echo)
            changed.push_back(entry);
    }
    std::sort(changed.begin(), changed.end(),
              [](const member& left, const member& right) { return left.m_changed_at < right.m_changed_at; });
    if (changed.size() > limit)
        changed.resize(limit);
    return changed;
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
    for (const auto& [id, entry] : table.m_members) {
        if (entry.m_announcement.m_worker.service() == service && is_usable(entry))
            members.push_back(&entry);
    }
    return members;
}

} // namespace hawthornpin
