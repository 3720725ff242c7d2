// Updates and queries of the list of known entries.

#include "membership/entry_list.h"

#include "core/network_address.h"

#include <algorithm>

namespace hawthornpin {

void add_seeds(entry_list& list, const std::vector<std::string>& addresses)
{
    for (const std::string& address : addresses) {
        if (address != list.m_self)
            list.m_entries[address].m_is_seed = true;
    }
}

void add_learned_entries(entry_list& list, const std::vector<std::string>& addresses, instant now)
{
    for (const std::string& address : addresses) {
        if (address == list.m_self || !is_peer_address(address))
            continue;
        list.m_entries.try_emplace(address, known_entry{false, now, instant(), 0, entry_contact::none});
    }
}

void record_contact(entry_list& list, const std::string& address, instant now)
{
    if (address == list.m_self || !is_peer_address(address))
        return;
    known_entry& entry = list.m_entries[address];
    entry.m_last_contact_at = now;
    entry.m_unanswered_registrations = 0;
    entry.m_contact = entry_contact::message;
}

void record_registration(entry_list& list, const std::string& address, instant now)
{
    record_contact(list, address, now);
    record_known_to_home(list, address);
}

void record_known_to_home(entry_list& list, const std::string& address)
{
    const auto entry = list.m_entries.find(address);
    if (entry == list.m_entries.end())
        return;
    entry->second.m_contact = entry_contact::registration;
    entry->second.m_unanswered_registrations = 0;
}

milliseconds registration_interval(std::size_t entry_count)
{
    // An entry that forwards its jobs needs the agent's state only to choose homes.
    constexpr milliseconds min_interval{1'500};
    // An agent that has left remains a candidate for home for three intervals; then it is excluded.
    constexpr milliseconds max_interval{3'000};
    constexpr milliseconds interval_per_entry{100};
    return std::clamp(static_cast<std::int64_t>(entry_count) * interval_per_entry, min_interval,
                      max_interval);
}

void record_registration_attempt(known_entry& entry, instant now)
{
    entry.m_called_at = now;
    ++entry.m_unanswered_registrations;
}

bool is_registration_due(const entry_list& list, const known_entry& entry, instant now)
{
    // Pause between registrations with one entry that are not answered. The first three follow at this pause,
    // since most entries that are down are being restarted; then it doubles up to max_doublings times.
    constexpr milliseconds retry_pause{250};
    constexpr std::uint32_t quick_retries = 3;
    constexpr std::uint32_t max_doublings = 2;
    // An entry that has sent orders sends a heartbeat every 100 ms. One without a message for this long may
    // have been replaced by another process.
    constexpr milliseconds message_timeout{600};
    const milliseconds after_registration = registration_interval(list.m_entries.size());
    const std::uint32_t slow_retries = entry.m_unanswered_registrations > quick_retries
                                           ? entry.m_unanswered_registrations - quick_retries
                                           : 0;
    if (entry.m_called_at + retry_pause * (1U << std::min(slow_retries, max_doublings)) >= now)
        return false;
    if (entry.m_contact == entry_contact::none)
        return true;
    if (entry.m_contact == entry_contact::message && entry.m_last_contact_at + message_timeout < now)
        return true;
    // The answer to a registration tells the agent its homes, so register also while messages arrive.
    if (entry.m_contact == entry_contact::message)
        return entry.m_called_at + after_registration < now;
    return std::max(entry.m_last_contact_at, entry.m_called_at) + after_registration < now;
}

std::vector<std::string> choose_exchange_peers(entry_list& list, std::size_t count, milliseconds pause,
                                               random_source& random, instant now)
{
    std::vector<std::string> due;
    for (const auto& [address, entry] : list.m_entries) {
        if (entry.m_called_at + pause <= now)
            due.push_back(address);
    }
    std::shuffle(due.begin(), due.end(), random);
    due.resize(std::min(count, due.size()));
    for (const std::string& address : due)
        list.m_entries.at(address).m_called_at = now;
    return due;
}

void remove_unresponsive_entries(entry_list& list, instant now)
{
    std::erase_if(list.m_entries, [now](const auto& item) {
        return !item.second.m_is_seed && item.second.m_last_contact_at + forget_entry_after < now;
    });
}

std::vector<std::string> list_live(const entry_list& list, instant now)
{
    // Shorter than forget_entry_after, so that reports between other processes do not keep a dead entry
    // listed.
    constexpr milliseconds min_span{3'000};
    constexpr milliseconds max_span{9'000};
    // An entry calls three others every 400 ms and is called as often, so this allows for four contacts with
    // each other entry.
    constexpr milliseconds span_per_entry{267};
    const milliseconds live_within =
        std::clamp(static_cast<std::int64_t>(list.m_entries.size()) * span_per_entry, min_span, max_span);
    std::vector<std::string> live;
    for (const auto& [address, entry] : list.m_entries) {
        if (entry.m_last_contact_at + live_within >= now)
            live.push_back(address);
    }
    return live;
}

} // namespace hawthornpin
