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
        {"place", "region", setting_kind::name, std::nullopt, 0, 0, "Region of this process.", {}},
        {"place", "zone", setting_kind::name, std::nullopt, 0, 0, "Availability zone of this process.", {}},
        {"place", "rack", setting_kind::name, "rack-0", 0, 0, "Rack of this process.", {}},
        {"entries",
         "seeds",
         setting_kind::address_list,
         std::nullopt,
         0,
         0,
         "RPC addresses to learn the entries from: the balancer's, or some entries'.",
         {}},
        {"keys",
         "cluster_key",
         setting_kind::text,
         std::nullopt,
         0,
         0,
         "Secret that proves a process to belong to this system.",
         {}},
        {"log",
         "level",
         setting_kind::choice,
         "info",
         0,
         0,
         "Least severe events that are logged.",
         {"debug", "info", "warning", "error"}},
        {"experiment",
         "link_delay",
         setting_kind::duration,
         "0us",
         0,
         900 * ms,
         "One-way latency added to every RPC message; for measuring only.",
         {}},
        {"timing",
         "grace",
         setting_kind::duration,
         "30s",
         0,
         3600 * second,
         "Longest time that a graceful shutdown waits for requests in progress.",
         {}},
        {"placement",
         "policy",
         setting_kind::choice,
         "least_loaded",
         0,
         0,
         "How homes and workers are chosen.",
         {"random", "round_robin", "two_choices", "least_loaded"}},
        {"placement",
         "locality_margin",
         setting_kind::decimal,
         "0.125",
         0,
         100,
         "Tasks a slot by which a worker of another zone must be less loaded to be preferred.",
         {}},
        {"placement",
         "buffer_per_slot",
         setting_kind::decimal,
         "0",
         0,
         8,
         "Tasks that a home lets wait at a worker, for each of its slots.",
         {}},
        {"placement",
         "quarantine",
         setting_kind::flag,
         "yes",
         0,
         0,
         "Whether failing workers get probes only.",
         {}},
        {"placement",
         "probe_interval",
         setting_kind::duration,
         "5s",
         10 * ms,
         600 * second,
         "Time between two probes of a quarantined worker.",
         {}},
    };
    return table;
}

settings_table join(settings_table own)
{
    const settings_table& shared = shared_table();
    own.insert(own.end(), shared.begin(), shared.end());
    return own;
}

} // namespace

const settings_table& agent_settings_table()
{
    static const settings_table table = join({
        {"agent",
         "id",
         setting_kind::name,
         std::nullopt,
         0,
         0,
         "Name of the agent, unique in the system.",
         {}},
        {"agent",
         "service",
         setting_kind::name,
         std::nullopt,
         0,
         0,
         "Service that the target beside it offers.",
         {}},
        {"agent",
         "rpc_address",
         setting_kind::address,
         std::nullopt,
         0,
         0,
         "Address for entries and peers.",
         {}},
        {"agent",
         "operator_address",
         setting_kind::address,
         std::nullopt,
         0,
         0,
         "Address of health and metrics.",
         {}},
        {"agent",
         "target_address",
         setting_kind::address,
         std::nullopt,
         0,
         0,
         "Loopback address of the target.",
         {}},
        {"entries",
         "fanout",
         setting_kind::integer,
         "2",
         1,
         16,
         "Entries that the agent announces itself to.",
         {}},
        {"timing",
         "heartbeat",
         setting_kind::duration,
         "1s",
         10 * ms,
         60 * second,
         "Time between announcements.",
         {}},
        {"timing",
         "lease",
         setting_kind::duration,
         "3s",
         100 * ms,
         600 * second,
         "Lease of a running task; renewed at a third of it.",
         {}},
        {"timing",
         "target_poll",
         setting_kind::duration,
         "500ms",
         10 * ms,
         60 * second,
         "Time between two looks at the target's status.",
         {}},
        {"limits",
         "connections",
         setting_kind::integer,
         "64",
         16,
         64,
         "Connections in total, the target's included.",
         {}},
        {"limits",
         "ledger_records",
         setting_kind::integer,
         "200000",
         100,
         10'000'000,
         "Most records of the job ledger.",
         {}},
        {"limits",
         "ledger_bytes",
         setting_kind::size,
         "48MiB",
         mebibyte,
         4096 * mebibyte,
         "Most memory of the job ledger.",
         {}},
        {"limits",
         "queued_tasks",
         setting_kind::integer,
         "20000",
         1,
         1'000'000,
         "Most tasks that wait here.",
         {}},
        {"limits",
         "accepted_per_slot",
         setting_kind::decimal,
         "2",
         0,
         64,
         "Granted tasks of other homes that may wait here, for each slot.",
         {}},
        {"dispatch",
         "queue",
         setting_kind::choice,
         "by_work",
         0,
         0,
         "Order of waiting tasks between teams.",
         {"fifo", "by_count", "by_work"}},
        {"dispatch",
         "estimates",
         setting_kind::choice,
         "observed",
         0,
         0,
         "Source of run-time estimates.",
         {"declared", "observed"}},
        {"dispatch",
         "idle_notices",
         setting_kind::flag,
         "yes",
         0,
         0,
         "Whether a worker that runs dry tells a loaded peer.",
         {}},
    });
    return table;
}

const settings_table& entry_settings_table()
{
    static const settings_table table = join({
        {"entry",
         "id",
         setting_kind::name,
         std::nullopt,
         0,
         0,
         "Name of the entry, unique in the system.",
         {}},
        {"entry",
         "http_address",
         setting_kind::address,
         std::nullopt,
         0,
         0,
         "Address for callers, behind the balancer.",
         {}},
        {"entry",
         "rpc_address",
         setting_kind::address,
         std::nullopt,
         0,
         0,
         "Address for agents and other entries.",
         {}},
        {"entry",
         "operator_address",
         setting_kind::address,
         std::nullopt,
         0,
         0,
         "Address of health and metrics.",
         {}},
        {"platform",
         "log_address",
         setting_kind::address,
         std::nullopt,
         0,
         0,
         "Address of the log service.",
         {}},
        {"platform",
         "config_stream",
         setting_kind::name,
         "hawthornpin-config",
         0,
         0,
         "Stream of the configuration.",
         {}},
        {"platform",
         "checkpoint_every",
         setting_kind::integer,
         "200",
         1,
         100'000,
         "Records after which a checkpoint is appended.",
         {}},
        {"keys", "ticket_key", setting_kind::text, std::nullopt, 0, 0, "Secret that signs tickets.", {}},
        {"keys",
         "previous_ticket_key",
         setting_kind::text,
         "",
         0,
         0,
         "Secret before it, accepted while keys are rotated.",
         {}},
        {"timing",
         "exchange",
         setting_kind::duration,
         "500ms",
         10 * ms,
         60 * second,
         "Time between two exchanges with each other entry.",
         {}},
        {"timing",
         "ticket_life",
         setting_kind::duration,
         "2min",
         second,
         600 * second,
         "Life of a ticket.",
         {}},
        {"timing",
         "linger",
         setting_kind::duration,
         "2s",
         0,
         60 * second,
         "Time between failing the readiness check and closing the listener.",
         {}},
        {"timing",
         "suspect_after",
         setting_kind::duration,
         "3s",
         10 * ms,
         600 * second,
         "Silence after which an agent gets no new work.",
         {}},
        {"timing",
         "forget_after",
         setting_kind::duration,
         "30s",
         10 * ms,
         3600 * second,
         "Silence after which an agent is forgotten.",
         {}},
        {"limits", "body", setting_kind::size, "16MiB", 1024, 64 * mebibyte, "Largest request body.", {}},
        {"limits", "headers", setting_kind::size, "8KiB", 256, mebibyte, "Largest request headers.", {}},
        {"limits",
         "peers_per_agent",
         setting_kind::integer,
         "16",
         1,
         1000,
         "Most peers that an agent is told of at once.",
         {}},
        {"limits",
         "agent_links",
         setting_kind::integer,
         "4096",
         1,
         100'000,
         "Most connections to agents.",
         {}},
        {"limits",
         "agent_connections",
         setting_kind::integer,
         "16384",
         1,
         100'000,
         "Most connections from agents and entries.",
         {}},
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
    placement.m_quarantine.m_is_enabled = values.is_set("placement", "quarantine");
    placement.m_quarantine.m_probe_interval =
        std::chrono::duration_cast<milliseconds>(values.duration("placement", "probe_interval"));
    return placement;
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
    dispatch.m_announces_idle = values.is_set("dispatch", "idle_notices");
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
