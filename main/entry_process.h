// Entry daemon: serves callers, and exchanges state with agents and other entries.

#pragma once

#include "core/event_loop.h"
#include "core/settings.h"
#include "http/api_server.h"
#include "main/caller_api.h"
#include "main/config_follower.h"
#include "main/input_settings.h"
#include "main/operator_api.h"
#include "membership/drain.h"
#include "rpc/link.h"
#include "rpc/rpc_server.h"

namespace hawthornpin {

// All components of one entry. Its state is rebuilt from agents, peers and the log after a restart.
class entry_process {
public:
    entry_process(event_loop& loop, const settings& values);
    ~entry_process();
    entry_process(const entry_process&) = delete;
    entry_process& operator=(const entry_process&) = delete;

    // Opens the listeners; false with a reason if an address can't be used.
    bool start(last_reason& why);

    // Begins a graceful shutdown: fails the readiness check, lingers, closes the listener, finishes the
    // requests in progress and stops the loop.
    void begin_leaving();

private:
    class node_server;

    // Progress of the exchanges with a peer entry: the change count of this entry that the peer has
    // acknowledged, and the peer's change count up to which its changes were received here.
    struct peer_progress {
        std::uint64_t m_acknowledged = 0;
        std::uint64_t m_seen = 0;
        bool m_is_waiting = false;
    };
    struct exchange_reply;

    caller_context make_caller_context();
    operator_hooks make_operator_hooks();
    bool tick();
    void exchange_with_peers();
    void exchange_with(const std::string& address);
    void apply_exchange(const std::string& address, const exchange_reply& reply, std::uint64_t sent);
    std::vector<std::string> list_peer_addresses() const;
    int count_entries() const;
    std::string explain_not_ready() const;
    std::string list_members() const;
    void update_gauges(metrics& counts);

    event_loop& m_loop;
    settings m_settings;
    process_clock m_clock;
    metrics m_metrics;
    std::string m_id;
    member_table m_members;
    link_pool m_links;
    config_follower m_config;
    caller_api m_callers;
    input_guard m_input_guard{read_input_limits(m_settings)};
    api_server m_caller_server;
    api_server m_operator_server;
    std::unique_ptr<rpc_server> m_server;
    std::map<std::string, peer_progress> m_peers;
    drain_state m_drain;
    background_tasks m_tasks;
    std::vector<std::unique_ptr<timer>> m_timers;
};

} // namespace hawthornpin
