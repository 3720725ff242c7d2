// The entry's knowledge of other entries: exchange with them, and its address in the store.

#include "main/platform_entry.h"

#include "platform/message_decoding.h"

namespace hawthornpin {

namespace {

// Between two rounds of exchanges with other entries, and how many there are in a round. A configuration that
// half of the entries have reaches the others within three rounds, well within the bound of two seconds; the
// messages of an entry do not grow with their number.
constexpr milliseconds share_pause{400};
constexpr std::size_t partners_per_round = 3;
// While no agent is known: agents learn of this entry from the others, and callers are refused until then.
constexpr milliseconds first_share_pause{100};
constexpr milliseconds call_timeout{300};
// Before a store that did not answer is asked again.
constexpr unsigned store_retry_ms = 1'000;

} // namespace

void platform_entry::share_with_entries()
{
    const instant now = boot_now();
    const bool is_alone = m_home.scheduler().m_agents.m_agents.empty();
    const milliseconds pause = is_alone ? first_share_pause : share_pause;
    if (m_shared_at + pause > now)
        return;
    m_shared_at = now;
    for (const std::string& address :
         choose_exchange_peers(m_entries, partners_per_round, pause, m_random, now)) {
        if (!m_shares_in_flight.contains(address))
            share_with(address);
    }
}

void platform_entry::share_with(const std::string& address)
{
    m_shares_in_flight.insert(address);
    m_metrics.count(counter::exchanges_sent);
    shared_knowledge known;
    known.m_entries = m_home.scheduler().m_entries;
    known.m_version = m_configuration ? m_configuration->directory().m_version : 0;
    m_tasks.add(m_links.share(address, m_place.m_peer_address, known, call_timeout)
                    .then([this, address](std::optional<shared_knowledge> other) {
                        m_shares_in_flight.erase(address);
                        if (!other)
                            return;
                        const instant now = boot_now();
                        record_contact(m_entries, address, now);
                        add_learned_entries(m_entries, other->m_entries, now);
                        last_reason why;
                        const auto directory = decode_directory(other->m_directory, why);
                        if (directory)
                            apply_directory(*directory, other->m_directory);
                    }));
}

void platform_entry::publish_address()
{
    m_tasks.add(m_store.append_keyed(entry_topic, m_place.m_node, m_place.m_peer_address)
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
