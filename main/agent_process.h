// Agent daemon: connects the dispatcher to one target, to entries and to peers, and executes its actions.

#pragma once

#include "core/event_loop.h"
#include "core/settings.h"
#include "dispatch/dispatcher.h"
#include "http/api_server.h"
#include "http/target_client.h"
#include "main/announcer.h"
#include "main/input_settings.h"
#include "main/operator_api.h"
#include "membership/drain.h"
#include "rpc/link.h"
#include "rpc/rpc_server.h"

#include <map>
#include <set>
#include <unordered_map>

namespace hawthornpin {

// All components of one agent. Runs on the given event loop, from construction until the loop stops.
class agent_process {
public:
    agent_process(event_loop& loop, const settings& values);
    ~agent_process();
    agent_process(const agent_process&) = delete;
    agent_process& operator=(const agent_process&) = delete;

    // Opens the listeners; false with a reason if an address can't be used.
    bool start(last_reason& why);

    // Begins a graceful shutdown; the loop stops when nothing is in progress, or when the grace period ends.
    void begin_leaving();

private:
    class node_server;
    using fulfiller = kj::Own<kj::PromiseFulfiller<void>>;
    using end_fulfiller = kj::Own<kj::PromiseFulfiller<task_end>>;

    // Identifies one offered grant between its arrival and its reply.
    struct offered_key {
        agent_identity m_home;
        grant_id m_id;
        std::uint32_t m_attempt = 0;

        friend auto operator<=>(const offered_key&, const offered_key&) = default;
    };

    void poll_target();
    void apply_target_status(const std::optional<target_status>& status);
    void begin_serving(const target_status& status);
    bool tick();
    milliseconds lease() const;
    void renew_leases();
    void advance_leaving();
    void execute(actions& requested);
    void execute_action(const start_task& requested);
    void execute_action(const stop_task& requested);
    void execute_action(const send_grant& requested);
    void execute_action(const send_revoke& requested);
    void execute_action(const reply_grant& requested);
    void execute_action(const job_ended& requested);
    void execute_action(const notify_idle& requested);
    void record_dispatch_counts();
    announcement describe_self() const;
    std::string explain_not_ready() const;
    std::string list_members() const;
    void update_gauges(metrics& counts);
    operator_hooks make_operator_hooks();
    announcer_hooks make_announcer_hooks();

    event_loop& m_loop;
    settings m_settings;
    process_clock m_clock;
    metrics m_metrics;
    agent_identity m_identity;
    target_client m_target;
    link_pool m_links;
    announcer m_announcer;
    input_guard m_input_guard{read_input_limits(m_settings)};
    api_server m_operator_server;
    std::unique_ptr<rpc_server> m_server;
    // Set once the target's capacity is known.
    std::unique_ptr<dispatcher> m_dispatcher;
    dispatch_counts m_recorded_counts;
    std::unordered_map<ticket_id, std::vector<fulfiller>> m_waiters;
    std::map<offered_key, end_fulfiller> m_offered;
    // Highest number of tasks that each sender reported to have sent; echoed with load reports.
    std::map<std::string, std::uint64_t> m_received;
    drain_state m_drain;
    bool m_is_polling_target = false;
    bool m_has_target = false;
    // Set when nothing is in progress any more and only the last announcement remains to be sent.
    bool m_is_finished = false;
    background_tasks m_tasks;
    std::vector<std::unique_ptr<timer>> m_timers;
};

} // namespace hawthornpin
