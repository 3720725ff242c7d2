// Every setting of the daemons, with its check and meaning.

#include "main/process_settings.h"

#include <algorithm>

namespace hawthornpin {

namespace {

constexpr double ms = 1000;
constexpr double second = 1000 * ms;
constexpr double mebibyte = 1024.0 * 1024;

const settings_table& shared_table()
{
    static const settings_table table = {
        plain_setting(setting_kind::name, "place", "region", std::nullopt, "Region of this process."),
        plain_setting(setting_kind::name, "place", "zone", std::nullopt,
                      "Availability zone of this process."),
        plain_setting(setting_kind::name, "place", "rack", "rack-0", "Rack of this process."),
        plain_setting(
            setting_kind::address_list, "entries", "seeds", std::nullopt,
            "RPC addresses from which the entries are learned: the balancer's or those of some entries."),
        plain_setting(setting_kind::text, "keys", "cluster_key", std::nullopt,
                      "Secret by which the processes of this system authenticate each other."),
        choice_setting("log", "level", "info", {"debug", "info", "warning", "error"},
                       "Minimum severity of the events that are logged."),
        ranged_setting(setting_kind::duration, "experiment", "link_delay", "0us", 0, 900 * ms,
                       "One-way latency added to every RPC message; for measuring only."),
        ranged_setting(setting_kind::duration, "timing", "grace", "30s", 0, 3600 * second,
                       "Maximum time that a graceful shutdown waits for requests in progress."),
        ranged_setting(setting_kind::integer, "limits", "memory_mb", "0", 0, 1'000'000,
                       "Memory of this process in MB, from which the limits of request bodies and HTTP "
                       "connections follow; 0 if it is not known: bodies in progress then get 64 MiB."),
        ranged_setting(setting_kind::size, "limits", "incomplete_messages", "128MiB", 32 * mebibyte,
                       4096 * mebibyte,
                       "Maximum memory of RPC messages that have arrived in part, at the RPC port and the "
                       "same on links. Must exceed some of the largest jobs."),
        ranged_setting(setting_kind::integer, "limits", "max_fds", "0", 0, 10'000'000,
                       "Descriptors that this process may open, which limit its HTTP connections; 0 if it "
                       "is not known."),
        choice_setting("placement", "policy", "least_loaded",
                       {"random", "round_robin", "two_choices", "least_loaded"},
                       "How homes and workers are chosen."),
        ranged_setting(
            setting_kind::decimal, "placement", "locality_margin", "0.125", 0, 100,
            "Minimum load difference, in tasks per slot, for a worker in another zone to be preferred."),
        ranged_setting(setting_kind::decimal, "placement", "buffer_per_slot", "0", 0, 8,
                       "Maximum number of tasks that a home queues at a worker, per slot of the worker."),
        plain_setting(setting_kind::flag, "placement", "quarantine", "yes",
                      "Whether failing workers are quarantined, so that they get only probes."),
        ranged_setting(setting_kind::duration, "placement", "probe_interval", "5s", 10 * ms, 600 * second,
                       "Time between two probes of a quarantined worker."),
    };
    return table;
}

settings_table with_shared_settings(settings_table own)
{
    const settings_table& shared = shared_table();
    own.insert(own.end(), shared.begin(), shared.end());
    return own;
}

} // namespace

const settings_table& agent_settings_table()
{
    static const settings_table table = with_shared_settings({
        plain_setting(setting_kind::name, "agent", "id", std::nullopt,
                      "Name of the agent, unique in the system."),
        plain_setting(setting_kind::name, "agent", "service", std::nullopt,
                      "Service that the agent's target offers."),
        plain_setting(setting_kind::address, "agent", "rpc_address", std::nullopt,
                      "Address for entries and peers."),
        plain_setting(setting_kind::address, "agent", "operator_address", std::nullopt,
                      "Address for health checks and metrics."),
        plain_setting(setting_kind::address, "agent", "target_address", std::nullopt,
                      "Loopback address of the target."),
        ranged_setting(setting_kind::integer, "entries", "fanout", "2", 1, 16,
                       "Entries that the agent announces itself to."),
        ranged_setting(setting_kind::duration, "timing", "heartbeat", "1s", 10 * ms, 60 * second,
                       "Time between announcements."),
        ranged_setting(setting_kind::duration, "timing", "lease", "3s", 100 * ms, 600 * second,
                       "Lease of a running task, renewed every third of its duration."),
        ranged_setting(setting_kind::duration, "timing", "target_poll", "500ms", 10 * ms, 60 * second,
                       "Interval at which the agent polls the target's status."),
        ranged_setting(setting_kind::integer, "limits", "connections", "64", 16, 64,
                       "Maximum number of connections, including those to the target."),
        ranged_setting(setting_kind::integer, "limits", "ledger_records", "200000", 100, 10'000'000,
                       "Maximum number of records in the job ledger."),
        ranged_setting(setting_kind::size, "limits", "ledger_bytes", "48MiB", mebibyte, 4096 * mebibyte,
                       "Maximum memory of the job ledger."),
        ranged_setting(setting_kind::integer, "limits", "queued_tasks", "20000", 1, 1'000'000,
                       "Maximum number of tasks that wait at the agent."),
        ranged_setting(setting_kind::decimal, "limits", "accepted_per_slot", "2", 0, 64,
                       "Maximum number of granted tasks of other homes that wait at the agent, per slot, "
                       "when the contract favours messages."),
        choice_setting("dispatch", "queue", "by_work", {"fifo", "by_count", "by_work"},
                       "Order in which the waiting tasks of different teams start."),
        choice_setting("dispatch", "estimates", "observed", {"declared", "observed"},
                       "Source of run-time estimates."),
        plain_setting(setting_kind::flag, "dispatch", "idle_notices", "yes",
                      "Whether a worker with free slots and no waiting tasks notifies a loaded peer."),
    });
    return table;
}

const settings_table& entry_settings_table()
{
    static const settings_table table = with_shared_settings({
        plain_setting(setting_kind::name, "entry", "id", std::nullopt,
                      "Name of the entry, unique in the system."),
        plain_setting(setting_kind::address, "entry", "http_address", std::nullopt,
                      "Address for callers, behind the balancer."),
        plain_setting(setting_kind::address, "entry", "rpc_address", std::nullopt,
                      "Address for agents and other entries."),
        plain_setting(setting_kind::address, "entry", "operator_address", std::nullopt,
                      "Address for health checks and metrics."),
        plain_setting(setting_kind::address, "platform", "log_address", std::nullopt,
                      "Address of the log service."),
        plain_setting(setting_kind::name, "platform", "config_stream", "hawthornpin-config",
                      "Log stream that contains the configuration."),
        ranged_setting(setting_kind::integer, "platform", "checkpoint_every", "200", 1, 100'000,
                       "Number of records after which a checkpoint is appended."),
        plain_setting(
            setting_kind::flag, "entries", "share_members", "yes",
            "Whether entries share the agents that they know. Use no in a large region: tickets name their "
            "homes' addresses, and each entry places work on the agents that announce themselves to it."),
        plain_setting(setting_kind::text, "keys", "ticket_key", std::nullopt, "Secret that signs tickets."),
        plain_setting(setting_kind::text, "keys", "previous_ticket_key", "",
                      "Previous ticket key, accepted while keys are rotated."),
        ranged_setting(setting_kind::duration, "timing", "exchange", "500ms", 10 * ms, 60 * second,
                       "Interval between exchanges with each of the other entries."),
        ranged_setting(setting_kind::duration, "timing", "ticket_life", "2min", second, 600 * second,
                       "Lifetime of a ticket."),
        ranged_setting(setting_kind::duration, "timing", "linger", "2s", 0, 60 * second,
                       "Time between failing the readiness check and closing the listener."),
        ranged_setting(setting_kind::duration, "timing", "suspect_after", "3s", 10 * ms, 600 * second,
                       "Heartbeat timeout after which an agent gets no new work."),
        ranged_setting(setting_kind::duration, "timing", "forget_after", "30s", 10 * ms, 3600 * second,
                       "Heartbeat timeout after which an agent is removed from the member table."),
        ranged_setting(setting_kind::size, "limits", "body", "16MiB", 1024, 64 * mebibyte,
                       "Largest request body."),
        ranged_setting(setting_kind::size, "limits", "headers", "8KiB", 256, mebibyte,
                       "Largest request headers."),
        ranged_setting(setting_kind::integer, "limits", "peers_per_agent", "16", 1, 1000,
                       "Maximum number of peers in the reply to an agent's announcement."),
        ranged_setting(setting_kind::integer, "limits", "agent_links", "4096", 1, 100'000,
                       "Maximum number of connections to agents."),
        ranged_setting(setting_kind::integer, "limits", "agent_connections", "16384", 1, 100'000,
                       "Maximum number of connections from agents and entries."),
    });
    return table;
}

placement_settings read_placement(const settings& values)
{
    placement_settings placement;
    placement.m_policy = placement_policy_from_text(values.text("placement", "policy"))
                             .value_or(placement_policy::least_loaded);
    placement.m_locality_margin = values.decimal("placement", "locality_margin");
    placement.m_buffer_per_slot = values.decimal("placement", "buffer_per_slot");
    placement.m_quarantine.m_is_enabled = values.is_enabled("placement", "quarantine");
    placement.m_quarantine.m_probe_interval =
        std::chrono::duration_cast<milliseconds>(values.duration("placement", "probe_interval"));
    return placement;
}

message_limits read_message_limits(const settings& values)
{
    message_limits limits;
    limits.m_max_incomplete_bytes = static_cast<std::size_t>(values.integer("limits", "incomplete_messages"));
    return limits;
}

log_level read_log_level(const settings& values)
{
    const std::string& text = values.text("log", "level");
    if (text == "debug")
        return log_level::debug;
    if (text == "warning")
        return log_level::warning;
    return text == "error" ? log_level::error : log_level::info;
}

dispatch_settings read_dispatch(const settings& values)
{
    dispatch_settings dispatch;
    dispatch.m_placement = read_placement(values);
    dispatch.m_ledger.m_max_records = static_cast<std::size_t>(values.integer("limits", "ledger_records"));
    dispatch.m_ledger.m_max_bytes = static_cast<std::size_t>(values.integer("limits", "ledger_bytes"));
    dispatch.m_max_queued = static_cast<int>(values.integer("limits", "queued_tasks"));
    dispatch.m_accepted_per_slot = values.decimal("limits", "accepted_per_slot");
    dispatch.m_notifies_idle = values.is_enabled("dispatch", "idle_notices");
    const std::string& queue = values.text("dispatch", "queue");
    if (queue == "fifo")
        dispatch.m_queue = queue_policy::fifo;
    if (queue == "by_count")
        dispatch.m_queue = queue_policy::by_count;
    if (values.text("dispatch", "estimates") == "declared")
        dispatch.m_estimates = estimate_policy::declared;
    return dispatch;
}

unsigned timer_ms(const settings& values, const std::string& section, const std::string& key)
{
    const auto span = std::chrono::duration_cast<milliseconds>(values.duration(section, key));
    return static_cast<unsigned>(std::max<long long>(1, span.count()));
}

} // namespace hawthornpin
