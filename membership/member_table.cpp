// Merging of announcements and the passing of time in the member table.

#include "membership/member_table.h"

#include "core/fault_injection.h"

#include <algorithm>

namespace hawthornpin {

namespace {

bool is_same_incarnation(const member& known, const announcement& news)
{
    return known.m_announcement.m_worker.identity() == news.m_worker.identity();
}

// The order between two lives of an agent; the incarnation breaks ties the same way everywhere.
bool is_newer_incarnation(const announcement& left, const announcement& right)
{
    if (left.m_generation != right.m_generation)
        return left.m_generation > right.m_generation;
    return left.m_worker.identity().m_incarnation > right.m_worker.identity().m_incarnation;
}

bool is_more_than_load(const announcement& known, const announcement& news)
{
    return known.m_worker != news.m_worker || known.m_state != news.m_state ||
           known.m_generation != news.m_generation;
}

void store(member_table& table, const announcement& news, const std::string& learned_from, instant heard)
{
    member& entry = table.m_members[news.m_worker.identity().m_id];
    const bool is_new = entry.m_heard_at == 0;
    const bool is_changed = is_new || entry.m_is_suspect || is_more_than_load(entry.m_announcement, news);
    entry.m_announcement = news;
    entry.m_last_heard = heard;
    entry.m_is_suspect = false;
    entry.m_learned_from = learned_from;
    entry.m_heard_at = ++table.m_changes;
    if (is_changed)
        entry.m_changed_at = entry.m_heard_at;
}

bool is_echo(const member& known, const std::string& except_from)
{
    return !except_from.empty() && known.m_learned_from == except_from;
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
    if (is_same_incarnation(known, news)) {
        const bool is_newer = news.m_sequence > known.m_announcement.m_sequence;
        if (!is_newer || known.m_announcement.m_state == member_state::gone)
            return {announce_verdict::repeated, known.m_announcement.m_generation};
    }
    else if (!is_newer_incarnation(news, known.m_announcement) &&
             !is_mutant_active(mutant::older_incarnation_overrides)) {
        return {announce_verdict::superseded, known.m_announcement.m_generation};
    }
    store(table, news, learned_from, heard);
    return {announce_verdict::applied, news.m_generation};
}

bool apply_heartbeat(member_table& table, const heartbeat& news, const std::string& learned_from,
                     milliseconds age, instant now)
{
    const auto found = table.m_members.find(news.m_identity.m_id);
    if (found == table.m_members.end() || found->second.m_announcement.m_worker.identity() != news.m_identity)
        return false;
    announcement full = found->second.m_announcement;
    full.m_sequence = news.m_sequence;
    full.m_load = news.m_load;
    apply_announcement(table, full, learned_from, age, now);
    return true;
}

heartbeat make_heartbeat(const member& known)
{
    const announcement& news = known.m_announcement;
    return {news.m_worker.identity(), news.m_sequence, news.m_load};
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

std::vector<member> members_changed_since(const member_table& table, std::uint64_t since,
                                          const std::string& except_from)
{
    std::vector<member> changed;
    for (const auto& [id, entry] : table.m_members) {
        if (entry.m_changed_at > since && !is_echo(entry, except_from))
            changed.push_back(entry);
    }
    return changed;
}

std::vector<member> members_heard_since(const member_table& table, std::uint64_t since,
                                        const std::string& except_from)
{
    std::vector<member> heard;
    for (const auto& [id, entry] : table.m_members) {
        const bool is_only_heard = entry.m_heard_at > since && entry.m_changed_at <= since;
        if (is_only_heard && !is_echo(entry, except_from))
            heard.push_back(entry);
    }
    return heard;
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
