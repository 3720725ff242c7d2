// Rounds of announcements and their replies.

#include "main/announcer.h"

#include "core/logging.h"
#include "rpc/wire.h"

#include <glib.h>

#include <algorithm>

namespace hawthornpin {

namespace {

constexpr unsigned reply_timeout_ms = 2'000;

std::string to_string(capnp::Text::Reader text)
{
    return {text.begin(), text.size()};
}

// Spreads agents over entries: each agent ranks the entries by its own hash.
std::size_t rank(const std::string& agent, const std::string& entry)
{
    return g_str_hash((agent + "|" + entry).c_str());
}

} // namespace

struct announcer::reply {
    std::uint64_t m_superseded_by = 0;
    std::uint64_t m_changes = 0;
    std::vector<std::string> m_entry_addresses;
    std::vector<std::pair<announcement, milliseconds>> m_members;
    std::vector<heartbeat> m_peers;
    bool m_has_peers = false;
    log_offset m_config_version = no_offset;
    std::map<std::string, published_file> m_files;
};

announcer::announcer(announcer_settings settings, announcer_hooks hooks, link_pool& links,
                     const process_clock& clock, metrics& counts)
    : m_settings(std::move(settings)), m_hooks(std::move(hooks)), m_links(links), m_clock(clock),
      m_metrics(counts), m_generation(static_cast<std::uint64_t>(to_unix_ms(clock.now())))
{
}

bool announcer::has_contact(milliseconds within) const
{
    return m_clock.now() - m_last_reply <= within;
}

std::vector<std::string> announcer::choose_entries() const
{
    if (m_entries.empty())
        return m_settings.m_seeds;
    std::vector<std::string> addresses;
    for (const auto& [address, entry] : m_entries)
        addresses.push_back(address);
    std::sort(addresses.begin(), addresses.end(), [&](const std::string& left, const std::string& right) {
        return rank(m_settings.m_self.m_id, left) < rank(m_settings.m_self.m_id, right);
    });
    addresses.resize(std::min(addresses.size(), m_settings.m_fanout));
    return addresses;
}

void announcer::announce()
{
    mark_overdue(m_table, m_clock.now());
    ++m_sequence;
    bool wants_peers = true;
    for (const std::string& address : choose_entries()) {
        announce_to(address, wants_peers);
        wants_peers = false;
    }
}

void announcer::announce_to(const std::string& address, bool wants_peers)
{
    // One announcement at a time to each entry, so that they do not accumulate at a slow one.
    if (!m_in_flight.insert(address).second)
        return;
    m_metrics.count(counter::announces_sent);
    announcement own_announcement = m_hooks.m_describe_self();
    own_announcement.m_generation = m_generation;
    own_announcement.m_sequence = m_sequence;
    const auto known = m_entries.find(address);
    const std::uint64_t seen = known == m_entries.end() ? 0 : known->second.m_seen;
    auto call = call_node<reply>(
        m_links, address, [this, own_announcement, seen, wants_peers](wire::Node::Client node) {
            auto request = node.announceRequest();
            write_wire(request.initAnnouncement(), own_announcement, milliseconds(0));
            request.setConfigVersion(m_config.m_version);
            request.setSeen(seen);
            request.setWantsPeers(wants_peers);
            return request.send().then([wants_peers](auto response) {
                reply read;
                read.m_has_peers = wants_peers;
                read.m_superseded_by = response.getSupersededBy();
                read.m_changes = response.getChanges();
                for (const auto entry : response.getEntries())
                    read.m_entry_addresses.push_back(to_string(entry.getAddress()));
                for (const auto item : response.getMembers()) {
                    if (const auto parsed = read_wire(item))
                        read.m_members.emplace_back(*parsed, milliseconds(item.getAgeMs()));
                }
                for (const auto peer : response.getPeers())
                    read.m_peers.push_back(read_wire(peer));
                read.m_config_version = response.getConfig().getVersion();
                read.m_files = read_wire(response.getConfig());
                return read;
            });
        });
    auto timed_out = after_delay(reply_timeout_ms).then([] {
        return call_result<reply>{call_status::lost, {}};
    });
    m_tasks.add(call.exclusiveJoin(kj::mv(timed_out)).then([this, address](call_result<reply> result) {
        m_in_flight.erase(address);
        if (result.m_status == call_status::answered)
            apply_reply(address, result.m_response);
        else
            m_entries.erase(address);
    }));
}

void announcer::apply_reply(const std::string& address, const reply& received)
{
    const instant now = m_clock.now();
    if (received.m_superseded_by != 0) {
        raise_generation_above(received.m_superseded_by);
        return;
    }
    m_was_accepted = true;
    m_last_reply = now;
    for (const std::string& entry : received.m_entry_addresses)
        m_entries.try_emplace(entry, known_entry{entry, 0});
    if (received.m_has_peers)
        apply_peers(address, received);
    if (received.m_config_version > m_config.m_version)
        apply_config(received.m_config_version, received.m_files);
}

void announcer::apply_peers(const std::string& address, const reply& received)
{
    const instant now = m_clock.now();
    for (const auto& [member_update, age] : received.m_members)
        apply_announcement(m_table, member_update, address, age, now);
    bool has_unknown_members = false;
    std::vector<member> usable;
    for (const heartbeat& peer : received.m_peers) {
        if (!apply_heartbeat(m_table, peer, address, milliseconds(0), now)) {
            has_unknown_members = true;
            continue;
        }
        member& known = m_table.m_members.at(peer.m_identity.m_id);
        // The entry lists only usable members, so a listed one counts as alive even if its heartbeat is not
        // newer.
        known.m_last_contact_at = now;
        known.m_is_suspect = false;
        if (is_usable(known))
            usable.push_back(known);
    }
    const auto answering = m_entries.find(address);
    if (answering != m_entries.end())
        answering->second.m_seen = has_unknown_members ? 0 : received.m_changes;
    m_hooks.m_on_members(usable);
}

void announcer::apply_config(log_offset version, const std::map<std::string, published_file>& files)
{
    config_checkpoint merged = make_checkpoint(m_config);
    merged.m_as_of = version;
    for (const auto& [path, file] : files)
        merged.m_files.insert_or_assign(path, file);
    last_reason why;
    if (!adopt_checkpoint(m_config, merged, why)) {
        log_event(log_level::error, "config_unusable", {{"detail", why.text()}});
        return;
    }
    m_metrics.count(counter::config_changes_applied);
    const auto found = m_config.m_contracts.find(m_settings.m_service);
    if (found != m_config.m_contracts.end())
        m_hooks.m_on_config(found->second, m_config.m_teams);
}

void announcer::raise_generation_above(std::uint64_t generation)
{
    // A process that was accepted before and is superseded now was replaced while it was suspended.
    if (m_was_accepted) {
        log_event(log_level::warning, "superseded");
        m_hooks.m_on_superseded();
        return;
    }
    m_generation = std::max(m_generation, generation) + 1;
}

} // namespace hawthornpin
