// Bookkeeping of known entries.

#include "membership/entry_list.h"

#include <algorithm>

namespace hawthornpin {

void add_seeds(entry_list& list, const std::vector<std::string>& addresses)
{
    for (const std::string& address : addresses) {
        if (address != list.m_self)
            list.m_entries[address].m_is_seed = true;
    }
}

void note_hearsay(entry_list& list, const std::vector<std::string>& addresses, instant now)
{
    for (const std::string& address : addresses) {
        if (address == list.m_self || address.empty())
            continue;
        list.m_entries.try_emplace(address, known_entry{false, now, instant(), entry_contact::hearsay});
    }
}

void note_heard(entry_list& list, const std::string& address, instant now)
{
    if (address == list.m_self || address.empty())
        return;
    known_entry& entry = list.m_entries[address];
    entry.m_heard_at = now;
    entry.m_contact = entry_contact::orders;
}

void note_presented(entry_list& list, const std::string& address, instant now)
{
    note_heard(list, address, now);
    note_known_to_home(list, address);
}

void note_known_to_home(entry_list& list, const std::string& address)
{
    const auto entry = list.m_entries.find(address);
    if (entry != list.m_entries.end())
        entry->second.m_contact = entry_contact::presentation;
}

bool is_presentation_due(const known_entry& entry, instant now)
{
    // Between two presentations to one entry that are not answered.
    constexpr milliseconds retry_pause{250};
    // An entry that ordered sends a heartbeat every 100 ms; it may have been replaced.
    constexpr milliseconds after_orders{600};
    // An entry that knows the agent and sends no orders hands its jobs on to homes; it needs the agent's
    // state for the choice of homes only.
    constexpr milliseconds after_presentation{1'500};
    if (entry.m_called_at + retry_pause >= now)
        return false;
    if (entry.m_contact == entry_contact::hearsay)
        return true;
    if (entry.m_contact == entry_contact::orders && entry.m_heard_at + after_orders < now)
        return true;
    // With the answer, the agent learns of its homes.
    if (entry.m_contact == entry_contact::orders)
        return entry.m_called_at + after_presentation < now;
    return std::max(entry.m_heard_at, entry.m_called_at) + after_presentation < now;
}

void forget_silent(entry_list& list, instant now)
{
    std::erase_if(list.m_entries, [now](const auto& item) {
        return !item.second.m_is_seed && item.second.m_heard_at + forget_entry_after < now;
    });
}

std::vector<std::string> list_live(const entry_list& list, instant now)
{
    // Shorter than the time after which others forget, so that hearsay does not keep a dead entry alive.
    constexpr milliseconds live_within{3'000};
    std::vector<std::string> live;
    for (const auto& [address, entry] : list.m_entries) {
        if (entry.m_heard_at + live_within >= now)
            live.push_back(address);
    }
    return live;
}

} // namespace hawthornpin
