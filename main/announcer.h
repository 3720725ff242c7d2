// An agent's announcer: sends announcements to entries and applies their replies.

#pragma once

#include "config/config_state.h"
#include "core/event_loop.h"
#include "core/metrics.h"
#include "membership/member_table.h"
#include "rpc/link.h"

#include <functional>
#include <map>
#include <set>

namespace hawthornpin {

// Callbacks into the agent.
struct announcer_hooks {
    std::function<announcement()> m_describe_self;
    // Called after every reply with peers; gets the usable members of the service.
    std::function<void(const std::vector<member>&)> m_on_members;
    // Called when a newer configuration is in force.
    std::function<void(const contract&, const std::map<std::string, team>&)> m_on_config;
    // Called when another incarnation has replaced this agent.
    std::function<void()> m_on_superseded;
};

struct announcer_settings {
    std::vector<std::string> m_seeds;
    std::size_t m_fanout = 2;
    std::string m_service;
    agent_identity m_self;
};

// Sends a round of announcements at each announce(). Entries are learned from replies; the seeds are used
// while none is known.
class announcer {
public:
    announcer(announcer_settings settings, announcer_hooks hooks, link_pool& links,
              const process_clock& clock, metrics& counts);

    // Sends one round of announcements.
    void announce();

    // The log offset of the configuration in force here.
    log_offset config_version() const { return m_config.m_version; }
    const member_table& table() const { return m_table; }
    // Whether a reply arrived within the given time.
    bool has_contact(milliseconds within) const;
    std::uint64_t generation() const { return m_generation; }

private:
    struct known_entry {
        std::string m_address;
        // The entry's change count whose members are known here; 0 requests all members.
        std::uint64_t m_seen = 0;
    };
    struct reply;

    std::vector<std::string> choose_entries() const;
    // Only the first entry of a round is asked for the peers.
    void announce_to(const std::string& address, bool wants_peers);
    void apply_reply(const std::string& address, const reply& received);
    void apply_peers(const std::string& address, const reply& received);
    void apply_config(log_offset version, const std::map<std::string, published_file>& files);
    void raise_generation_above(std::uint64_t generation);

    announcer_settings m_settings;
    announcer_hooks m_hooks;
    link_pool& m_links;
    const process_clock& m_clock;
    metrics& m_metrics;
    // By address. Entries that do not answer are removed, and learned again from others.
    std::map<std::string, known_entry> m_entries;
    std::set<std::string> m_in_flight;
    member_table m_table;
    config_state m_config;
    std::uint64_t m_generation;
    std::uint64_t m_sequence = 0;
    bool m_was_accepted = false;
    instant m_last_reply;
    background_tasks m_tasks;
};

} // namespace hawthornpin
