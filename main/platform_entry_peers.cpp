// Discovery of other entries: exchanges with them, and this entry's address in the store.

#include "main/platform_entry.h"

#include "platform/message_decoding.h"

namespace hawthornpin {

namespace {

// Interval between two rounds of exchanges with other entries, and the exchanges in a round. A configuration
// that half of the entries have reaches the others within three rounds, well within the bound of two seconds.
// The number of messages of one entry does not grow with the number of entries.
constexpr milliseconds share_interval{400};
constexpr std::size_t partners_per_round = 3;
// Interval while no agent is known. Agents learn of this entry from other entries, and callers are refused
// until then.
constexpr milliseconds share_interval_without_agents{100};
constexpr milliseconds call_timeout{300};
// Delay before a store that did not answer is called again.
constexpr unsigned store_retry_ms = 1'000;

} // namespace

void platform_entry::share_with_entries()
{
    const instant now = boot_now();
    const bool has_no_agents = m_home.scheduler().m_agents.m_agents.empty();
    const milliseconds interval = has_no_agents ? share_interval_without_agents : share_interval;
    if (m_shared_at + interval > now)
        return;
    m_shared_at = now;
    for (const std::string& address :
         choose_exchange_peers(m_entries, partners_per_round, interval, m_random, now)) {
        if (!m_shares_in_flight.contains(address))
            share_with(address);
    }
}

void platform_entry::share_with(const std::string& address)
{
    m_shares_in_flight.insert(address);
    m_metrics.count(counter::exchanges_sent);
    entry_sync_state known;
    known.m_entries = m_home.scheduler().m_entries;
    known.m_version = m_configuration ? m_configuration->directory().m_version : 0;
    known.m_evacuation = m_evacuation.report();
    const instant sent_at = boot_now();
    m_tasks.add(m_links.share(address, m_settings.m_peer_address, known, call_timeout)
                    .then([this, address, sent_at](std::optional<entry_sync_state> other) {
                        m_shares_in_flight.erase(address);
                        if (!other)
                            return;
                        const instant now = boot_now();
                        record_contact(m_entries, address, now);
                        add_learned_entries(m_entries, other->m_entries, now);
                        m_evacuation.learn(other->m_evacuation, sent_at, evacuation_source::entry);
                        last_reason why;
                        const auto directory = decode_directory(other->m_directory, why);
                        if (directory)
                            apply_directory(*directory, other->m_directory);
                    }));
}

void platform_entry::publish_address()
{
    m_tasks.add(m_store.append_keyed(entry_topic, m_settings.m_node, m_settings.m_peer_address)
                    .then([this](bool is_stored) -> kj::Promise<void> {
                        if (is_stored)
                            return kj::READY_NOW;
                        return after_delay(store_retry_ms).then([this] { publish_address(); });
                    }));
}

void platform_entry::learn_entries_from_store()
{
    m_tasks.add(
        m_store.read_newest(entry_topic).then([this](std::optional<newest_page> page) -> kj::Promise<void> {
            if (!page)
                return after_delay(store_retry_ms).then([this] { learn_entries_from_store(); });
            std::vector<std::string> addresses;
            for (const keyed_record& record : page->m_records)
                addresses.push_back(record.m_value);
            add_learned_entries(m_entries, addresses, boot_now());
            return kj::READY_NOW;
        }));
}

} // namespace hawthornpin
