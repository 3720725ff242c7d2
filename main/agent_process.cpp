// Agent daemon: start, timers, target polling, lease renewal, shutdown and operator data.

#include "main/agent_process.h"

#include "core/json.h"
#include "core/logging.h"
#include "core/random.h"
#include "main/agent_node.h"
#include "main/process_gauges.h"
#include "main/process_settings.h"
#include "rpc/wire.h"

#include <algorithm>

namespace hawthornpin {

namespace {

constexpr unsigned tick_ms = 20;
// Time to send the last announcement.
constexpr unsigned final_announcement_ms = 50;
// Connections reserved for the target, its control interface, the operator, and those that are being closed.
constexpr std::size_t reserved_connections = 4;

agent_identity make_identity(const settings& values)
{
    return {values.text("agent", "id"), generate_incarnation()};
}

announcer_settings make_announcer_settings(const settings& values, const agent_identity& self)
{
    return {values.list("entries", "seeds"), static_cast<std::size_t>(values.integer("entries", "fanout")),
            values.text("agent", "service"), self};
}

// Maximum number of outgoing links, and also of incoming connections: each gets half of the connections that
// the limit leaves after those reserved for the target and the operator.
std::size_t compute_link_budget(const settings& values)
{
    constexpr std::size_t typical_slots = 8;
    const auto total = static_cast<std::size_t>(values.integer("limits", "connections"));
    return (total - std::min(total / 2, typical_slots + reserved_connections)) / 2;
}

} // namespace

agent_process::agent_process(event_loop& loop, const settings& values)
    : m_loop(loop), m_settings(values), m_identity(make_identity(values)),
      m_target(values.text("agent", "target_address"),
               static_cast<unsigned>(values.integer("limits", "connections"))),
      m_links(values.text("keys", "cluster_key"), compute_link_budget(values), read_message_limits(values)),
      m_announcer(make_announcer_settings(values, m_identity), make_announcer_hooks(), m_links, m_clock,
                  m_metrics),
      m_operator_server(make_operator_handler(make_operator_hooks(), m_metrics), bodyless_port_limits(),
                        m_input_guard)
{
    m_drain.m_limits.m_linger = milliseconds(0);
    m_drain.m_limits.m_grace = std::chrono::duration_cast<milliseconds>(values.duration("timing", "grace"));
}

agent_process::~agent_process() = default;

announcer_hooks agent_process::make_announcer_hooks()
{
    announcer_hooks hooks;
    hooks.m_describe_self = [this] { return describe_self(); };
    hooks.m_on_members = [this](const std::vector<member>& members) {
        actions requested;
        on_members(*m_dispatcher, members, m_clock.now(), requested);
        execute(requested);
    };
    hooks.m_on_config = [this](const contract& service, const std::map<std::string, team>& teams) {
        apply_contract(*m_dispatcher, service, teams);
        log_event(log_level::info, "contract_in_force", {{"service", service.service()}});
    };
    hooks.m_on_superseded = [this] { begin_leaving(); };
    return hooks;
}

operator_hooks agent_process::make_operator_hooks()
{
    operator_hooks hooks;
    hooks.m_explain_not_ready = [this] { return explain_not_ready(); };
    hooks.m_begin_drain = [this] { begin_leaving(); };
    hooks.m_list_members = [this] { return list_members(); };
    hooks.m_update_gauges = [this](metrics& counts) { update_gauges(counts); };
    return hooks;
}

bool agent_process::start(last_reason& why)
{
    auto socket = listen_on(m_settings.text("agent", "rpc_address"), why);
    if (!socket || !m_operator_server.listen(m_settings.text("agent", "operator_address"), why))
        return false;
    rpc_server_limits limits;
    limits.m_max_connections = compute_link_budget(m_settings);
    limits.m_messages = read_message_limits(m_settings);
    m_server = std::make_unique<rpc_server>(std::move(*socket), m_settings.text("keys", "cluster_key"),
                                            kj::heap<node_server>(*this), limits, m_metrics);
    m_timers.push_back(std::make_unique<timer>(timer_ms(m_settings, "timing", "target_poll"), [this] {
        poll_target();
        return true;
    }));
    poll_target();
    log_event(log_level::info, "agent_started", {{"rpc_address", m_server->address()}});
    return true;
}

void agent_process::poll_target()
{
    if (m_is_polling_target)
        return;
    m_is_polling_target = true;
    m_tasks.add(m_target.status().then([this](std::optional<target_status> status) {
        m_is_polling_target = false;
        apply_target_status(status);
    }));
}

void agent_process::apply_target_status(const std::optional<target_status>& status)
{
    if (status.has_value() != m_has_target)
        log_event(log_level::info, status ? "target_reached" : "target_lost");
    m_has_target = status.has_value();
    if (!m_dispatcher) {
        if (status)
            begin_serving(*status);
        return;
    }
    int orphaned = 0;
    if (status) {
        orphaned = static_cast<int>(
            std::count_if(status->m_grants.begin(), status->m_grants.end(), [this](const std::string& text) {
                const auto id = grant_id_from_text(text);
                return !id || !m_dispatcher->m_grants.m_grants.contains(*id);
            }));
    }
    const bool is_stopped = !status || status->m_is_leaving || status->m_is_throttled;
    actions requested;
    on_target_status(*m_dispatcher, orphaned, is_stopped, m_clock.now(), requested);
    execute(requested);
}

void agent_process::begin_serving(const target_status& status)
{
    worker_builder builder(m_identity, m_settings.text("agent", "service"));
    builder
        .set_place({m_settings.text("place", "region"), m_settings.text("place", "zone"),
                    m_settings.text("place", "rack")})
        .set_address(m_server->address())
        .set_capacity(status.m_slots, status.m_memory_mib, status.m_accelerators);
    last_reason why;
    const auto self = builder.build(why);
    if (!self) {
        log_event(log_level::error, "target_unusable", {{"detail", why.text()}});
        return;
    }
    m_dispatcher = std::make_unique<dispatcher>(*self, read_dispatch(m_settings), generate_secure_random());
    m_timers.push_back(std::make_unique<timer>(tick_ms, [this] { return tick(); }));
    m_timers.push_back(std::make_unique<timer>(timer_ms(m_settings, "timing", "heartbeat"), [this] {
        m_announcer.announce();
        return true;
    }));
    constexpr unsigned renewals_per_lease = 3;
    m_timers.push_back(
        std::make_unique<timer>(timer_ms(m_settings, "timing", "lease") / renewals_per_lease, [this] {
            renew_leases();
            return true;
        }));
    apply_target_status(status);
    m_announcer.announce();
}

bool agent_process::tick()
{
    actions requested;
    on_tick(*m_dispatcher, m_clock.now(), requested);
    execute(requested);
    if (is_draining(m_drain) && !m_is_finished)
        advance_leaving();
    return true;
}

milliseconds agent_process::lease() const
{
    return std::chrono::duration_cast<milliseconds>(m_settings.duration("timing", "lease"));
}

void agent_process::renew_leases()
{
    std::vector<std::string> running;
    for (const grant_id& id : m_dispatcher->m_grants.m_running) {
        if (!m_dispatcher->m_grants.m_grants.at(id).m_is_stopping)
            running.push_back(to_text(id));
    }
    if (running.empty())
        return;
    m_metrics.count(counter::leases_renewed, running.size());
    m_tasks.add(m_target.renew(running, lease()));
}

void agent_process::begin_leaving()
{
    if (is_draining(m_drain))
        return;
    log_event(log_level::info, "leaving");
    begin_drain(m_drain, m_clock.now());
    if (!m_dispatcher) {
        m_loop.stop();
        return;
    }
    actions requested;
    on_leave(*m_dispatcher, m_clock.now(), requested);
    execute(requested);
    m_announcer.announce();
}

void agent_process::advance_leaving()
{
    // Jobs that have this agent as their home are answered as long as a caller waits for them.
    std::size_t waiting = m_offered.size();
    for (const auto& [id, waiters] : m_waiters)
        waiting += waiters.size();
    const int in_progress = work_in_progress(*m_dispatcher) + static_cast<int>(waiting);
    if (advance_drain(m_drain, in_progress, m_clock.now()) != drain_step::finished)
        return;
    log_event(log_level::info, "left", {{"cut_off", std::to_string(in_progress)}});
    m_is_finished = true;
    m_announcer.announce();
    m_timers.push_back(std::make_unique<timer>(final_announcement_ms, [this] {
        m_loop.stop();
        return false;
    }));
}

announcement agent_process::describe_self() const
{
    announcement own_announcement{m_dispatcher->m_self, 0, 0, member_state::serving,
                                  current_load(*m_dispatcher)};
    if (m_dispatcher->m_is_leaving)
        own_announcement.m_state = m_is_finished ? member_state::gone : member_state::leaving;
    return own_announcement;
}

std::string agent_process::explain_not_ready() const
{
    constexpr milliseconds contact_window{10'000};
    if (!m_has_target || !m_dispatcher)
        return "target not reached";
    if (m_dispatcher->m_is_leaving)
        return "leaving";
    if (!m_dispatcher->m_contract)
        return "no contract for the service";
    return m_announcer.has_contact(contact_window) ? "" : "no entry answers";
}

std::string agent_process::list_members() const
{
    json_writer writer;
    writer.begin_object().key("members").begin_array();
    for (const auto& [id, known] : m_announcer.table().m_members)
        writer.text(id);
    writer.end_array().end_object();
    return writer.to_string();
}

void agent_process::update_gauges(metrics& counts)
{
    update_process_gauges(counts);
    m_input_guard.report(counts);
    counts.set_gauge("config_version", static_cast<double>(m_announcer.config_version()));
    counts.set_gauge("connections", static_cast<double>(m_links.size() + m_server->connections()));
    if (!m_dispatcher)
        return;
    counts.set_gauge("slots", m_dispatcher->m_self.slots());
    counts.set_gauge("running", static_cast<double>(m_dispatcher->m_grants.m_running.size()));
    counts.set_gauge("queued", m_dispatcher->m_queue.m_live);
    counts.set_gauge("ledger_records", static_cast<double>(m_dispatcher->m_ledger.m_jobs.size()));
    counts.set_gauge("ledger_bytes", static_cast<double>(m_dispatcher->m_ledger.m_bytes));
    counts.set_gauge("grant_records", static_cast<double>(m_dispatcher->m_grants.m_grants.size()));
    counts.set_gauge("foreign_running", m_dispatcher->m_orphans_running);
    counts.set_gauge("quarantined_peers",
                     static_cast<double>(m_dispatcher->m_placement.m_quarantined.size()));
}

} // namespace hawthornpin
