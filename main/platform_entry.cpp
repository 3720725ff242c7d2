// Entry on the platform: start, RPC calls of agents and entries, configuration, ticks and shutdown.

#include "main/platform_entry.h"

#include "core/logging.h"
#include "core/random.h"
#include "dispatch/run_guard.h"
#include "main/process_gauges.h"
#include "platform/call_paths.h"
#include "platform/message_decoding.h"

namespace hawthornpin {

namespace {

// Interval of time-driven decisions; all others are made when their event arrives.
constexpr unsigned tick_ms = decision_tick.count();
// Time for the last response to reach its client.
constexpr milliseconds linger_after_last_response{300};
constexpr milliseconds exit_before_grace_end{400};
constexpr std::size_t max_links = 512;
constexpr std::size_t max_peer_connections = 1'024;

} // namespace

class platform_entry::node_server final : public wire::Node::Server {
public:
    explicit node_server(platform_entry& entry) : m_entry(entry) {}

    kj::Promise<void> report(ReportContext context) override
    {
        const auto params = context.getParams();
        m_entry.m_home.on_report(read_wire(params.getStatus()), read_wire(params.getOutcomes()));
        return kj::READY_NOW;
    }

    kj::Promise<void> present(PresentContext context) override
    {
        const instant now = boot_now();
        m_entry.m_evacuation.learn_unconfirmed(read_wire(context.getParams().getEvacuation()),
                                               evacuation_source::agent);
        m_entry.m_home.on_report(read_wire(context.getParams().getStatus()), {});
        auto entries = list_live(m_entry.m_entries, now);
        entries.push_back(m_entry.m_settings.m_peer_address);
        const auto homes = m_entry.list_homes_of(context.getParams().getStatus().getLife().getId().cStr());
        // Agents of an earlier version look for their homes among the entries.
        entries.insert(entries.end(), homes.begin(), homes.end());
        write_wire(context.getResults().initEntries(static_cast<unsigned>(entries.size())), entries);
        write_wire(context.getResults().initHomes(static_cast<unsigned>(homes.size())), homes);
        if (const auto evacuation = m_entry.m_evacuation.report())
            write_wire(context.getResults().initEvacuation(), evacuation);
        return kj::READY_NOW;
    }

    kj::Promise<void> share(ShareContext context) override
    {
        const instant now = boot_now();
        const auto params = context.getParams();
        record_contact(m_entry.m_entries, params.getAddress().cStr(), now);
        add_learned_entries(m_entry.m_entries, read_wire(params.getEntries()), now);
        const auto entries = list_live(m_entry.m_entries, now);
        auto results = context.getResults();
        write_wire(results.initEntries(static_cast<unsigned>(entries.size())), entries);
        m_entry.m_evacuation.learn_unconfirmed(read_wire(params.getEvacuation()), evacuation_source::entry);
        if (const auto evacuation = m_entry.m_evacuation.report())
            write_wire(results.initEvacuation(), evacuation);
        if (!m_entry.m_configuration)
            return kj::READY_NOW;
        const std::int64_t version = m_entry.m_configuration->directory().m_version;
        results.setVersion(version);
        if (version > params.getVersion())
            results.setDirectory(m_entry.m_directory_text);
        return kj::READY_NOW;
    }

private:
    platform_entry& m_entry;
};

platform_entry::platform_entry(event_loop& loop, const node_settings& settings)
    : m_loop(loop), m_settings(settings), m_store(settings.m_store_address), m_links(max_links),
      m_home(settings, generate_secure_random(), m_links, m_metrics,
             [this](const job_answer_event& answer) { deliver(answer); }),
      m_evacuation(settings,
                   [this](const evacuation_view& view) { set_evacuation(m_home.scheduler(), view); })
{
    m_home_table.m_self = settings.m_node;
    m_home_table.m_random.seed(generate_secure_random());
    m_random.seed(generate_secure_random());
    m_entries.m_self = settings.m_peer_address;
    add_seeds(m_entries, settings.m_seed_addresses);
}

platform_entry::~platform_entry() = default;

bool platform_entry::start(last_reason& why)
{
    m_ready_server = std::make_unique<api_server>(
        [this](const api_request& request) { return on_readiness_probe(request); }, bodyless_port_limits(),
        m_input_guard);
    if (!m_ready_server->listen(m_settings.m_ready_address, why))
        return false;
    api_limits limits;
    limits.m_max_body_bytes = service_directory().m_max_body_bytes;
    limits.m_extra_headers = {caller_timeout_header};
    limits.m_is_cancelled_on_disconnect = true;
    m_caller_server = std::make_unique<api_server>(
        [this](const api_request& request) {
            m_last_request_at = boot_now();
            return on_caller_request(request).then([this](api_response response) {
                m_last_request_at = boot_now();
                response.m_is_last_on_connection = m_leaving_since.has_value();
                return response;
            });
        },
        limits, m_input_guard);
    if (!m_caller_server->listen(m_settings.m_caller_address, why))
        return false;
    auto socket = listen_on(m_settings.m_peer_listen_address, why);
    if (!socket)
        return false;
    rpc_server_limits rpc_limits;
    rpc_limits.m_max_connections = max_peer_connections;
    m_rpc_server = std::make_unique<rpc_server>(std::move(*socket), platform_cluster_key,
                                                kj::heap<node_server>(*this), rpc_limits, m_metrics);
    directory_follower::evacuation_receiver receive_evacuations;
    if (m_evacuation.is_enabled())
        receive_evacuations = [this](const evacuation_update& update) {
            m_evacuation.learn_from_store(update);
        };
    m_follower = std::make_unique<directory_follower>(
        m_store,
        [this](const service_directory& directory, const std::string& text) {
            apply_directory(directory, text);
        },
        std::move(receive_evacuations));
    publish_address();
    learn_entries_from_store();
    m_tick = std::make_unique<timer>(tick_ms, [this] { return on_tick(); });
    return true;
}

void platform_entry::begin_leaving()
{
    if (m_leaving_since)
        return;
    log_event(log_level::info, "leaving");
    m_leaving_since = boot_now();
}

void platform_entry::apply_directory(const service_directory& directory, const std::string& text)
{
    if (m_configuration && !is_newer(directory, m_configuration->directory()))
        return;
    log_event(log_level::info, "configuration_applied", {{"version", std::to_string(directory.m_version)}});
    m_metrics.count(counter::config_changes_applied);
    m_configuration.emplace(directory);
    m_directory_text = text;
}

bool platform_entry::on_tick()
{
    const instant now = boot_now();
    m_loop_watch.on_tick(now);
    flush_logs();
    if (m_follower->is_connected() != m_was_store_connected) {
        m_was_store_connected = m_follower->is_connected();
        log_event(log_level::info, m_was_store_connected ? "store_regained" : "store_lost");
    }
    remove_unresponsive_entries(m_entries, now);
    m_home.scheduler().m_entries = list_live(m_entries, now);
    m_home.scheduler().m_homes_per_agent =
        1 + static_cast<std::uint32_t>(m_home.scheduler().m_entries.size());
    evict_cached_answers(now);
    share_with_entries();
    choose_service_homes();
    send_home_heartbeats();
    update_forwarding();
    forward_waiting_jobs();
    m_home.tick();
    finish_if_idle();
    return true;
}

metrics& platform_entry::collect_metrics()
{
    update_process_gauges(m_metrics);
    m_input_guard.report(m_metrics);
    m_metrics.set_gauge("requests_in_progress", m_caller_server->in_progress());
    m_metrics.set_gauge("jobs_handed_on", static_cast<double>(m_forwarded.size()));
    m_evacuation.set_gauges(m_metrics);
    return m_metrics;
}

void platform_entry::evict_cached_answers(instant now)
{
    // Much shorter than the time for which answers are kept. Scanning all of them at each tick would cost
    // more than handling the calls.
    constexpr milliseconds eviction_interval{1'000};
    if (m_answers_evicted_at + eviction_interval > now)
        return;
    m_answers_evicted_at = now;
    std::erase_if(m_cached_answers, [now](const auto& item) { return item.second.m_expires_at < now; });
}

void platform_entry::finish_if_idle()
{
    if (!m_leaving_since)
        return;
    const instant now = boot_now();
    const bool is_idle =
        m_caller_server->in_progress() == 0 && m_last_request_at + linger_after_last_response < now;
    const bool is_done = *m_leaving_since + serve_while_leaving < now && is_idle;
    const bool is_grace_over = *m_leaving_since + m_settings.m_shutdown_grace - exit_before_grace_end < now;
    if (is_done || is_grace_over)
        m_loop.stop();
}

} // namespace hawthornpin
