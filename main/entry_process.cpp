// Entry daemon: start, timers, exchanges with other entries, shutdown and operator data.

#include "main/entry_process.h"

#include "config/record_json.h"
#include "core/json.h"
#include "core/logging.h"
#include "http/caller_messages.h"
#include "main/entry_node.h"
#include "main/process_gauges.h"
#include "main/process_settings.h"
#include "rpc/wire.h"

#include <algorithm>

namespace hawthornpin {

namespace {

constexpr unsigned tick_ms = 50;
constexpr unsigned exchange_timeout_ms = 2'000;
// The change counter starts at the Unix time in milliseconds, shifted left by this many bits, so that a
// restarted entry's changes are newer than all it made before.
constexpr int change_counter_shift = 16;

milliseconds read_timing(const settings& values, const char* key)
{
    return std::chrono::duration_cast<milliseconds>(values.duration("timing", key));
}

std::string to_string(capnp::Text::Reader text)
{
    return {text.begin(), text.size()};
}

api_limits read_api_limits(const settings& values)
{
    api_limits limits;
    limits.m_max_body_bytes = static_cast<std::size_t>(values.integer("limits", "body"));
    limits.m_max_header_bytes = static_cast<std::size_t>(values.integer("limits", "headers"));
    limits.m_make_refusal = [](reason why, milliseconds retry_after) {
        return make_problem_response({verdict::not_run, why, ticket_state::open}, retry_after);
    };
    return limits;
}

} // namespace

struct entry_process::exchange_reply {
    std::string m_id;
    std::uint64_t m_changes = 0;
    std::vector<entry_member> m_entries;
    std::vector<std::pair<announcement, milliseconds>> m_members;
    std::vector<std::pair<heartbeat, milliseconds>> m_heartbeats;
    // Whether the peer does not know a member whose heartbeat was sent to it.
    bool m_is_missing_members = false;
    std::string m_checkpoint;
};

entry_process::entry_process(event_loop& loop, const settings& values)
    : m_loop(loop), m_settings(values), m_id(values.text("entry", "id")),
      m_links(values.text("keys", "cluster_key"),
              static_cast<std::size_t>(values.integer("limits", "agent_links")), read_message_limits(values)),
      m_config(
          log_client(values.text("platform", "log_address"), values.text("platform", "config_stream")),
          static_cast<unsigned>(values.integer("platform", "checkpoint_every")), [] {}, m_metrics),
      m_callers(make_caller_context()),
      m_caller_server([this](const api_request& request) { return m_callers.handle(request); },
                      read_api_limits(values), m_input_guard),
      m_operator_server(make_operator_handler(make_operator_hooks(), m_metrics), bodyless_port_limits(),
                        m_input_guard)
{
    m_members.m_limits = {read_timing(values, "suspect_after"), read_timing(values, "forget_after")};
    m_members.m_changes = static_cast<std::uint64_t>(to_unix_ms(m_clock.now())) << change_counter_shift;
    m_drain.m_limits = {read_timing(values, "linger"), read_timing(values, "grace")};
}

entry_process::~entry_process() = default;

caller_context entry_process::make_caller_context()
{
    caller_context context;
    context.m_clock = &m_clock;
    context.m_config = &m_config.state();
    context.m_members = &m_members;
    context.m_links = &m_links;
    context.m_metrics = &m_metrics;
    context.m_keys = {m_settings.text("keys", "ticket_key"), m_settings.text("keys", "previous_ticket_key")};
    context.m_ticket_lifetime = read_timing(m_settings, "ticket_life");
    context.m_own_place = {m_settings.text("place", "region"), m_settings.text("place", "zone"),
                           m_settings.text("place", "rack")};
    context.m_placement = read_placement(m_settings);
    context.m_count_entries = [this] { return count_entries(); };
    return context;
}

operator_hooks entry_process::make_operator_hooks()
{
    operator_hooks hooks;
    hooks.m_explain_not_ready = [this] { return explain_not_ready(); };
    hooks.m_begin_drain = [this] { begin_leaving(); };
    hooks.m_list_members = [this] { return list_members(); };
    hooks.m_update_gauges = [this](metrics& counts) { update_gauges(counts); };
    return hooks;
}

bool entry_process::start(last_reason& why)
{
    auto socket = listen_on(m_settings.text("entry", "rpc_address"), why);
    if (!socket || !m_operator_server.listen(m_settings.text("entry", "operator_address"), why) ||
        !m_caller_server.listen(m_settings.text("entry", "http_address"), why))
        return false;
    rpc_server_limits limits;
    limits.m_max_connections = static_cast<std::size_t>(m_settings.integer("limits", "agent_connections"));
    limits.m_messages = read_message_limits(m_settings);
    m_server = std::make_unique<rpc_server>(std::move(*socket), m_settings.text("keys", "cluster_key"),
                                            kj::heap<node_server>(*this), limits, m_metrics);
    m_config.start();
    m_timers.push_back(std::make_unique<timer>(tick_ms, [this] { return tick(); }));
    m_timers.push_back(std::make_unique<timer>(timer_ms(m_settings, "timing", "exchange"), [this] {
        exchange_with_peers();
        return true;
    }));
    exchange_with_peers();
    log_event(log_level::info, "entry_started", {{"rpc_address", m_server->address()}});
    return true;
}

bool entry_process::tick()
{
    const instant now = m_clock.now();
    const int suspected = mark_overdue(m_members, now);
    m_metrics.count(counter::members_suspected, static_cast<std::uint64_t>(suspected));
    m_callers.refresh_members();
    if (!is_draining(m_drain))
        return true;
    const drain_step before = m_drain.m_step;
    const drain_step step = advance_drain(m_drain, m_caller_server.in_progress(), now);
    if (step != before && before == drain_step::lingering)
        m_caller_server.stop_listening();
    if (step == drain_step::finished) {
        log_event(log_level::info, "left", {{"cut_off", std::to_string(m_caller_server.in_progress())}});
        m_loop.stop();
        return false;
    }
    return true;
}

void entry_process::begin_leaving()
{
    if (is_draining(m_drain))
        return;
    log_event(log_level::info, "leaving");
    begin_drain(m_drain, m_clock.now());
}

std::vector<std::string> entry_process::list_peer_addresses() const
{
    std::vector<std::string> addresses = m_settings.list("entries", "seeds");
    for (const auto& [id, entry] : m_members.m_entries)
        addresses.push_back(entry.m_address);
    std::sort(addresses.begin(), addresses.end());
    addresses.erase(std::unique(addresses.begin(), addresses.end()), addresses.end());
    std::erase(addresses, m_server->address());
    return addresses;
}

int entry_process::count_entries() const
{
    return 1 + static_cast<int>(m_members.m_entries.size());
}

void entry_process::exchange_with_peers()
{
    for (const std::string& address : list_peer_addresses())
        exchange_with(address);
}

void entry_process::exchange_with(const std::string& address)
{
    peer_progress& progress = m_peers[address];
    if (progress.m_is_waiting)
        return;
    progress.m_is_waiting = true;
    m_metrics.count(counter::exchanges_sent);
    const std::uint64_t sent = m_members.m_changes;
    const std::uint64_t acknowledged = progress.m_acknowledged;
    const std::uint64_t seen = progress.m_seen;
    auto call = call_node<exchange_reply>(
        m_links, address, [this, address, acknowledged, seen](wire::Node::Client node) {
            auto request = node.exchangeRequest();
            const instant now = m_clock.now();
            write_wire(request.initFrom(), {m_id, m_server->address(), now}, milliseconds(0));
            const auto age_of = [now](const member& known) {
                return std::chrono::duration_cast<milliseconds>(now - known.m_last_contact_at);
            };
            const bool is_sharing = m_settings.is_enabled("entries", "share_members");
            const auto changed =
                is_sharing ? members_changed_since(m_members, acknowledged, address) : std::vector<member>();
            auto list = request.initMembers(static_cast<unsigned>(changed.size()));
            for (unsigned index = 0; index < list.size(); ++index)
                write_wire(list[index], changed[index].m_announcement, age_of(changed[index]));
            const auto refreshed = is_sharing ? members_refreshed_since(m_members, acknowledged, address)
                                              : std::vector<member>();
            auto heartbeats = request.initHeartbeats(static_cast<unsigned>(refreshed.size()));
            for (unsigned index = 0; index < heartbeats.size(); ++index)
                write_wire(heartbeats[index], make_heartbeat(refreshed[index]), age_of(refreshed[index]));
            request.setSeen(seen);
            request.setConfigVersion(m_config.state().m_version);
            request.setWantsCheckpoint(!m_config.is_ready() || m_config.is_log_down());
            return request.send().then([now](auto response) {
                exchange_reply read;
                read.m_id = to_string(response.getId());
                read.m_changes = response.getChanges();
                for (const auto entry : response.getEntries()) {
                    read.m_entries.push_back({to_string(entry.getId()), to_string(entry.getAddress()),
                                              now - milliseconds(entry.getAgeMs())});
                }
                for (const auto item : response.getMembers()) {
                    if (const auto parsed = read_wire(item))
                        read.m_members.emplace_back(*parsed, milliseconds(item.getAgeMs()));
                }
                for (const auto item : response.getHeartbeats())
                    read.m_heartbeats.emplace_back(read_wire(item), milliseconds(item.getAgeMs()));
                read.m_is_missing_members = response.getIsMissingMembers();
                read.m_checkpoint = to_string(response.getCheckpoint());
                return read;
            });
        });
    auto timed_out = after_delay(exchange_timeout_ms).then([] {
        return call_result<exchange_reply>{call_status::lost, {}};
    });
    m_tasks.add(
        call.exclusiveJoin(kj::mv(timed_out)).then([this, address, sent](call_result<exchange_reply> result) {
            m_peers[address].m_is_waiting = false;
            if (result.m_status == call_status::answered)
                apply_exchange(address, result.m_response, sent);
            else
                m_peers[address] = peer_progress();
        }));
}

void entry_process::apply_exchange(const std::string& address, const exchange_reply& reply,
                                   std::uint64_t sent)
{
    // A seed may be the balancer's address and lead back to this entry.
    if (reply.m_id == m_id)
        return;
    const instant now = m_clock.now();
    peer_progress& progress = m_peers[address];
    progress.m_acknowledged = reply.m_is_missing_members ? 0 : sent;
    progress.m_seen = reply.m_changes;
    for (const auto& [member_update, age] : reply.m_members)
        apply_announcement(m_members, member_update, address, age, now);
    for (const auto& [beat, age] : reply.m_heartbeats) {
        // A member that is not known here is requested in full: the peer sends all members again.
        if (!apply_heartbeat(m_members, beat, address, age, now))
            progress.m_seen = 0;
    }
    for (const entry_member& entry : reply.m_entries) {
        if (entry.m_id != m_id) {
            const auto age = std::chrono::duration_cast<milliseconds>(now - entry.m_last_contact_at);
            apply_entry(m_members, entry.m_id, entry.m_address, age, now);
        }
    }
    if (!reply.m_checkpoint.empty())
        m_config.adopt_peer_checkpoint(reply.m_checkpoint);
}

std::string entry_process::explain_not_ready() const
{
    if (is_draining(m_drain))
        return "leaving";
    return m_config.is_ready() ? "" : "no configuration in force yet";
}

std::string entry_process::list_members() const
{
    json_writer writer;
    writer.begin_object().key("entry").text(m_id).key("members").begin_array();
    for (const auto& [id, known] : m_members.m_members) {
        const announcement& announced = known.m_announcement;
        constexpr std::array<const char*, 3> states = {"serving", "leaving", "gone"};
        writer.begin_object().key("id").text(id).key("service").text(announced.m_worker.service());
        writer.key("zone")
            .text(announced.m_worker.where().m_zone)
            .key("rack")
            .text(announced.m_worker.where().m_rack);
        writer.key("state").text(known.m_is_suspect ? "suspect"
                                                    : states.at(static_cast<std::size_t>(announced.m_state)));
        writer.key("slots")
            .integer(announced.m_worker.slots())
            .key("running")
            .integer(announced.m_load.m_running);
        writer.key("queued").integer(announced.m_load.m_queued).end_object();
    }
    writer.end_array().key("entries").begin_array();
    for (const auto& [id, entry] : m_members.m_entries)
        writer.begin_object().key("id").text(id).key("address").text(entry.m_address).end_object();
    writer.end_array().end_object();
    return writer.to_string();
}

void entry_process::update_gauges(metrics& counts)
{
    update_process_gauges(counts);
    m_input_guard.report(counts);
    counts.set_gauge("config_version", static_cast<double>(m_config.state().m_version));
    counts.set_gauge("log_down", m_config.is_log_down() ? 1 : 0);
    counts.set_gauge("members", static_cast<double>(m_members.m_members.size()));
    counts.set_gauge("entries", count_entries());
    counts.set_gauge("links", static_cast<double>(m_links.size()));
    counts.set_gauge("connections", static_cast<double>(m_server->connections()));
    counts.set_gauge("requests_in_progress", m_caller_server.in_progress());
}

} // namespace hawthornpin
