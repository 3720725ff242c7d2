// Turns calls of agents and other entries into changes of the member table.

#include "main/entry_node.h"

#include "config/record_json.h"
#include "rpc/wire.h"

#include <algorithm>

namespace hawthornpin {

namespace {

template <typename List>
void write_members(List to, const std::vector<member>& members, instant now)
{
    for (unsigned index = 0; index < to.size(); ++index) {
        const auto age = std::chrono::duration_cast<milliseconds>(now - members[index].m_last_contact_at);
        write_wire(to[index], members[index].m_announcement, age);
    }
}

template <typename List>
void write_heartbeats(List to, const std::vector<member>& members, instant now)
{
    for (unsigned index = 0; index < to.size(); ++index) {
        const auto age = std::chrono::duration_cast<milliseconds>(now - members[index].m_last_contact_at);
        write_wire(to[index], make_heartbeat(members[index]), age);
    }
}

// The members that are sent to an agent: the nearest first, and at equal distance in an order that differs
// from agent to agent.
std::vector<const member*> choose_peers(const member_table& table, const worker& asking, std::size_t limit)
{
    auto peers = usable_members(table, asking.service());
    const auto rank = [&asking](const member* candidate) {
        const worker& other = candidate->m_announcement.m_worker;
        const auto distance = measure_distance(asking.where(), other.where());
        // All racks of a zone count as equally distant, so that a subset spreads over the racks.
        const bool is_near = distance <= link_distance::same_zone;
        const std::size_t hash = std::hash<std::string>()(asking.identity().m_id + other.identity().m_id);
        return std::pair(is_near ? link_distance::same_zone : distance, hash);
    };
    std::sort(peers.begin(), peers.end(),
              [&](const member* left, const member* right) { return rank(left) < rank(right); });
    peers.resize(std::min(peers.size(), limit));
    return peers;
}

} // namespace

void entry_process::node_server::write_entries(capnp::List<wire::EntryInfo>::Builder to) const
{
    const instant now = m_process.m_clock.now();
    write_wire(to[0], {m_process.m_id, m_process.m_server->address(), now}, milliseconds(0));
    unsigned index = 1;
    for (const auto& [id, entry] : m_process.m_members.m_entries) {
        const auto age = std::chrono::duration_cast<milliseconds>(now - entry.m_last_contact_at);
        write_wire(to[index++], entry, age);
    }
}

void entry_process::node_server::write_peers(wire::Node::AnnounceResults::Builder to, const worker& asking,
                                             std::uint64_t seen) const
{
    const auto limit = static_cast<std::size_t>(m_process.m_settings.integer("limits", "peers_per_agent"));
    const auto peers = choose_peers(m_process.m_members, asking, limit);
    std::vector<member> changed;
    std::vector<member> all;
    for (const member* peer : peers) {
        all.push_back(*peer);
        if (peer->m_changed_at > seen)
            changed.push_back(*peer);
    }
    const instant now = m_process.m_clock.now();
    write_members(to.initMembers(static_cast<unsigned>(changed.size())), changed, now);
    write_heartbeats(to.initPeers(static_cast<unsigned>(all.size())), all, now);
}

kj::Promise<void> entry_process::node_server::announce(AnnounceContext context)
{
    const auto params = context.getParams();
    const auto update = read_wire(params.getAnnouncement());
    if (!update)
        return KJ_EXCEPTION(FAILED, "the announcement does not describe a worker");
    const instant now = m_process.m_clock.now();
    member_table& table = m_process.m_members;
    const announce_result applied = apply_announcement(table, *update, "", milliseconds(0), now);
    auto results = context.getResults();
    if (applied.m_verdict == announce_verdict::superseded) {
        results.setSupersededBy(applied.m_generation);
        return kj::READY_NOW;
    }
    if (params.getWantsPeers())
        write_peers(results, update->m_worker, params.getSeen());
    results.setChanges(table.m_changes);
    write_entries(results.initEntries(static_cast<unsigned>(table.m_entries.size()) + 1));
    const config_state& config = m_process.m_config.state();
    if (config.m_version > params.getConfigVersion())
        write_wire(results.initConfig(), config.m_version, files_since(config, params.getConfigVersion()));
    return kj::READY_NOW;
}

kj::Promise<void> entry_process::node_server::exchange(ExchangeContext context)
{
    const auto params = context.getParams();
    const instant now = m_process.m_clock.now();
    member_table& table = m_process.m_members;
    const std::string from_id = params.getFrom().getId().cStr();
    const std::string from_address = params.getFrom().getAddress().cStr();
    for (const auto item : params.getMembers()) {
        if (const auto update = read_wire(item))
            apply_announcement(table, *update, from_address, milliseconds(item.getAgeMs()), now);
    }
    bool is_missing = false;
    for (const auto item : params.getHeartbeats())
        is_missing |=
            !apply_heartbeat(table, read_wire(item), from_address, milliseconds(item.getAgeMs()), now);
    if (from_id != m_process.m_id)
        apply_entry(table, from_id, from_address, milliseconds(0), now);
    auto results = context.getResults();
    results.setIsMissingMembers(is_missing);
    const bool is_sharing = m_process.m_settings.is_enabled("entries", "share_members");
    const auto none = std::vector<member>();
    const auto changed = is_sharing ? members_changed_since(table, params.getSeen(), from_address) : none;
    const auto refreshed = is_sharing ? members_refreshed_since(table, params.getSeen(), from_address) : none;
    write_members(results.initMembers(static_cast<unsigned>(changed.size())), changed, now);
    write_heartbeats(results.initHeartbeats(static_cast<unsigned>(refreshed.size())), refreshed, now);
    results.setId(m_process.m_id);
    results.setChanges(table.m_changes);
    write_entries(results.initEntries(static_cast<unsigned>(table.m_entries.size()) + 1));
    const config_state& config = m_process.m_config.state();
    results.setConfigVersion(config.m_version);
    if (params.getWantsCheckpoint() && config.m_version > params.getConfigVersion())
        results.setCheckpoint(to_json(make_checkpoint(config)));
    return kj::READY_NOW;
}

} // namespace hawthornpin
