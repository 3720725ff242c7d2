// Agent on the platform: start, orders, reports, registration with entries, and shutdown.

#include "main/platform_agent.h"

#include "core/logging.h"
#include "core/random.h"
#include "main/process_gauges.h"
#include "platform/call_paths.h"
#include "platform/message_decoding.h"

#include <algorithm>

namespace hawthornpin {

namespace {

// Interval of time-driven decisions; all others are made when their event arrives.
constexpr unsigned tick_ms = decision_tick.count();
// A report or registration that is not answered within this time is repeated.
constexpr milliseconds call_timeout{250};
// After this long without orders, entries are looked up in the store, at this interval.
constexpr milliseconds read_store_after{1'500};
constexpr milliseconds store_read_interval{2'000};
// Before the shutdown grace period ends: when remaining runs are stopped, and when the process exits.
constexpr milliseconds stop_before_grace_end{1'000};
constexpr milliseconds exit_before_grace_end{400};
// Orders that were sent before their homes learned of the shutdown arrive within this time; they are still
// returned to the home without being started.
constexpr milliseconds linger_when_idle{300};
// Enough for all entries of a large system, the agents to which this one sends orders as a home, and its own
// homes. A link that is closed to make room for another one would be opened again within seconds.
constexpr std::size_t max_links = 256;
// Largest report of a worker.
constexpr std::size_t max_report_bytes = std::size_t{4} * 1024 * 1024;
constexpr std::size_t max_peer_connections = 256;

} // namespace

class platform_agent::node_server final : public wire::Node::Server {
public:
    explicit node_server(platform_agent& agent) : m_agent(agent) {}

    kj::Promise<void> order(OrderContext context) override
    {
        const order_batch batch = read_wire(context.getParams().getBatch());
        context.releaseParams();
        m_agent.on_orders(batch);
        write_wire(context.getResults().initStatus(),
                   m_agent.make_status(&batch.m_home, batch.m_home_address));
        return kj::READY_NOW;
    }

    kj::Promise<void> report(ReportContext context) override
    {
        const auto params = context.getParams();
        m_agent.m_home.on_report(read_wire(params.getStatus()), read_wire(params.getOutcomes()));
        return kj::READY_NOW;
    }

    kj::Promise<void> present(PresentContext context) override
    {
        m_agent.m_evacuation.learn_unconfirmed(read_wire(context.getParams().getEvacuation()),
                                               evacuation_source::agent);
        m_agent.m_home.on_report(read_wire(context.getParams().getStatus()), {});
        if (const auto evacuation = m_agent.m_evacuation.report())
            write_wire(context.getResults().initEvacuation(), evacuation);
        return kj::READY_NOW;
    }

    kj::Promise<void> attend(AttendContext context) override
    {
        m_agent.on_entry_heartbeat(read_wire(context.getParams().getPresence()));
        write_wire(context.getResults().initStatus(), m_agent.make_home_status());
        return kj::READY_NOW;
    }

    kj::Promise<void> handIn(HandInContext context) override // NOLINT(readability-identifier-naming)
    {
        const auto params = context.getParams();
        auto ended = m_agent.host_job(read_wire(params.getPresence()), read_wire(params.getWork()),
                                      read_wire(params.getQueue()), milliseconds(params.getPatienceMs()));
        context.releaseParams();
        // An entry cancels its job by dropping the call.
        context.allowCancellation();
        return ended.then([this, context](const job_answer_event& answer) mutable {
            write_wire(context.getResults().initEnd(), answer);
            write_wire(context.getResults().initStatus(), m_agent.make_home_status());
        });
    }

private:
    platform_agent& m_agent;
};

platform_agent::platform_agent(event_loop& loop, const node_settings& settings)
    : m_loop(loop), m_settings(settings), m_identity{settings.m_node, generate_secure_random()},
      m_worker(settings.m_worker_address), m_store(settings.m_store_address), m_links(max_links),
      m_home(settings, generate_secure_random(), m_links, m_metrics,
             [this](const job_answer_event& answer) { on_hosted_job_end(answer); }),
      m_evacuation(settings, [this](const evacuation_view& view) {
          m_guard.m_evacuation = view;
          set_evacuation(m_home.scheduler(), view);
      })
{
    m_random.seed(generate_secure_random());
    m_guard.m_zone = settings.m_zone;
    m_guard.m_evacuation = m_evacuation.view();
    schedule_evacuation_read(milliseconds(0));
    m_entry_leases.m_limits = make_entry_lease_limits(settings.m_resubmit_after);
    m_home.scheduler().m_knows_all_agents = false;
    m_home.scheduler().m_is_dormant = true;
    m_home.set_local_agent([this](const order_batch& batch) {
        on_orders(batch);
        return make_status(&batch.m_home, batch.m_home_address);
    });
    m_guard.m_limits =
        make_run_guard_limits(settings.m_max_lease, settings.m_max_stop_time, settings.m_resubmit_after);
    m_guard.m_incarnation = m_identity.m_incarnation;
    // Rises from one incarnation to the next. If the clock was set back, the worker refuses the fence and it
    // is raised.
    m_guard.m_fence = to_unix_ms(process_clock().now());
    m_entries.m_self = settings.m_peer_address;
    add_seeds(m_entries, settings.m_seed_addresses);
}

platform_agent::~platform_agent() = default;

bool platform_agent::start(last_reason& why)
{
    api_limits limits;
    limits.m_max_body_bytes = max_report_bytes;
    m_report_server = std::make_unique<api_server>(
        [this](const api_request& request) { return on_worker_call(request); }, limits, m_input_guard);
    if (!m_report_server->listen(m_settings.m_report_address, why))
        return false;
    auto socket = listen_on(m_settings.m_peer_listen_address, why);
    if (!socket)
        return false;
    rpc_server_limits rpc_limits;
    rpc_limits.m_max_connections = max_peer_connections;
    m_rpc_server = std::make_unique<rpc_server>(std::move(*socket), platform_cluster_key,
                                                kj::heap<node_server>(*this), rpc_limits, m_metrics);
    m_tasks.add(renew_forever());
    m_tick = std::make_unique<timer>(tick_ms, [this] { return on_tick(); });
    return true;
}

metrics& platform_agent::collect_metrics()
{
    update_process_gauges(m_metrics);
    m_input_guard.report(m_metrics);
    m_metrics.set_gauge("jobs_hosted", static_cast<double>(m_hosted.size()));
    m_evacuation.set_gauges(m_metrics);
    return m_metrics;
}

void platform_agent::begin_leaving()
{
    if (m_leaving_since)
        return;
    log_event(log_level::info, "leaving");
    m_leaving_since = boot_now();
    m_guard.m_is_shutting_down = true;
    for (const auto& [home, home_state] : m_guard.m_homes)
        register_with(home_state.m_address);
    schedule_step();
}

void platform_agent::on_orders(const order_batch& batch)
{
    const instant now = boot_now();
    m_orders_received_at = now;
    // With homes assigned, only entries are added to the list of entries.
    const bool is_entry = m_assignment.m_homes.empty() || m_entries.m_entries.contains(batch.m_home_address);
    if (!record_home_orders(m_assignment, batch.m_home_address, now) && is_entry)
        record_contact(m_entries, batch.m_home_address, now);
    add_learned_entries(m_entries, batch.m_entries, now);
    // A clock that an earlier incarnation has sent may be that of the machine before its restart.
    if (batch.m_agent_incarnation == m_identity.m_incarnation)
        m_evacuation.learn_by_clock(batch.m_evacuation, batch.m_clock_seen, evacuation_source::home);
    accept_orders(m_guard, batch, now);
    schedule_step();
}

void platform_agent::step()
{
    const guard_actions actions = advance(m_guard, boot_now());
    for (const run_order& order : actions.m_starts)
        call_start(order, actions);
    for (const run_id& run : actions.m_stops)
        call_stop(run);
    count_barred_orders();
    m_evacuation.log_confirmation();
    log_state_change();
    send_reports();
}

void platform_agent::send_reports()
{
    for (const auto& [home, home_state] : m_guard.m_homes) {
        if (!home_state.m_outcomes.empty() && !m_reports_in_flight.contains(home))
            send_report(home, home_state);
    }
}

void platform_agent::send_report(const home_identity& home, const guarded_home& home_state)
{
    m_reports_in_flight.insert(home);
    log_outcomes(home, home_state);
    const std::size_t count = home_state.m_outcomes.size();
    const agent_status status = make_status(&home, home_state.m_address);
    const bool is_own_home = home_state.m_address == m_settings.m_peer_address;
    if (is_own_home)
        m_home.on_report(status, home_state.m_outcomes);
    auto call = is_own_home
                    ? kj::Promise<bool>(true)
                    : m_links.report(home_state.m_address, status, home_state.m_outcomes, call_timeout);
    m_tasks.add(call.then([this, home, count](bool is_answered) {
        m_reports_in_flight.erase(home);
        if (!is_answered)
            return;
        m_metrics.count(counter::tasks_finished, count);
        acknowledge_outcomes(m_guard, home, count);
        send_reports();
    }));
}

void platform_agent::log_outcomes(const home_identity& home, const guarded_home& home_state)
{
    for (const run_outcome& outcome : home_state.m_outcomes) {
        m_metrics.count_labelled("run_ends", to_text(outcome.m_result));
        if (outcome.m_duration.count() > 0)
            m_metrics.observe(distribution::task_run,
                              std::chrono::duration<double>(outcome.m_duration).count());
        log_event(log_level::info, "run_ended",
                  {{"run", to_text(outcome.m_run)},
                   {"result", to_text(outcome.m_result)},
                   {"verdict", std::string(to_text(outcome.m_verdict))},
                   {"ran_ms", std::to_string(outcome.m_duration.count())},
                   {"entry", home.m_id},
                   {"worker", worker_id()}});
    }
}

void platform_agent::log_state_change()
{
    const agent_state state = state_of(m_guard, boot_now());
    if (state == m_logged_state)
        return;
    log_event(log_level::info, "agent_state_changed",
              {{"from", to_text(m_logged_state)},
               {"to", to_text(state)},
               {"worker", worker_id()},
               {"fence", std::to_string(m_guard.m_fence)},
               {"is_worker_reached", m_guard.m_unreachable_since ? "false" : "true"},
               {"foreign_runs", std::to_string(m_guard.m_orphans.size())}});
    m_logged_state = state;
}

bool platform_agent::on_tick()
{
    m_loop_watch.on_tick(boot_now());
    flush_logs();
    remove_unresponsive_entries(m_entries, boot_now());
    register_with_entries();
    read_evacuation_if_due();
    end_expired_sessions();
    m_home.tick();
    step();
    finish_if_idle();
    return true;
}

void platform_agent::register_with_entries()
{
    const instant now = boot_now();
    for (auto& [address, entry] : m_entries.m_entries) {
        if (!is_registration_due(m_entries, entry, now) || m_registrations_in_flight.contains(address))
            continue;
        record_registration_attempt(entry, now);
        register_with(address);
    }
    for (const std::string& address : take_due_home_registrations(m_assignment, now)) {
        if (address == m_settings.m_peer_address)
            m_home.on_report(make_status(nullptr, ""), {});
        else if (!m_registrations_in_flight.contains(address))
            register_with(address);
    }
    const bool is_store_read_due =
        m_orders_received_at + read_store_after < now && m_store_read_at + store_read_interval < now;
    if (is_store_read_due)
        learn_entries_from_store();
}

void platform_agent::register_with(const std::string& address)
{
    m_registrations_in_flight.insert(address);
    m_metrics.count(counter::announces_sent);
    const instant sent_at = boot_now();
    m_tasks.add(m_links.register_agent(address, make_status(nullptr, ""), m_evacuation.report(), call_timeout)
                    .then([this, address, sent_at](std::optional<registration_answer> answer) {
                        m_registrations_in_flight.erase(address);
                        if (!answer)
                            return;
                        const bool is_entry = !answer->m_entries.empty();
                        m_evacuation.learn(answer->m_evacuation, sent_at,
                                           is_entry ? evacuation_source::entry : evacuation_source::home);
                        on_registration_answer(address, *answer);
                    }));
}

void platform_agent::on_registration_answer(const std::string& address, const registration_answer& answer)
{
    // A home that is an agent answers without entries.
    if (answer.m_entries.empty()) {
        record_known_to_home(m_entries, address);
        return;
    }
    const instant now = boot_now();
    record_registration(m_entries, address, now);
    set_ranked_homes(m_assignment, answer.m_homes, now);
    std::vector<std::string> entries = answer.m_entries;
    std::erase_if(entries, [&answer](const std::string& entry) {
        return std::find(answer.m_homes.begin(), answer.m_homes.end(), entry) != answer.m_homes.end();
    });
    add_learned_entries(m_entries, entries, now);
}

void platform_agent::learn_entries_from_store()
{
    if (m_is_reading_store)
        return;
    m_is_reading_store = true;
    m_store_read_at = boot_now();
    m_tasks.add(m_store.read_newest(entry_topic).then([this](std::optional<newest_page> page) {
        m_is_reading_store = false;
        if (!page)
            return;
        std::vector<std::string> addresses;
        for (const keyed_record& record : page->m_records)
            addresses.push_back(record.m_value);
        add_learned_entries(m_entries, addresses, boot_now());
    }));
}

void platform_agent::schedule_evacuation_read(milliseconds delay)
{
    // Spreads the reads of many agents that lose contact with their homes at the same time.
    constexpr std::size_t jitter_ms = 250;
    m_next_evacuation_read_at = boot_now() + delay + milliseconds(random_below(m_random, jitter_ms));
}

void platform_agent::read_evacuation_if_due()
{
    constexpr milliseconds read_interval{1'000};
    const instant now = boot_now();
    if (m_is_reading_evacuation || now < m_next_evacuation_read_at ||
        !is_store_read_due(m_evacuation.view(), m_settings.m_zone, now))
        return;
    schedule_evacuation_read(read_interval);
    read_evacuation();
}

void platform_agent::read_evacuation()
{
    m_is_reading_evacuation = true;
    const instant sent_at = boot_now();
    m_tasks.add(m_store.read_newest(operator_topic).then([this, sent_at](std::optional<newest_page> page) {
        m_is_reading_evacuation = false;
        // A zone could be on a page that was not read.
        if (!page || page->m_has_more ||
            !m_evacuation.learn_from_store(make_evacuation_snapshot(*page, sent_at)))
            return;
        // The store may be rejecting the entries' reads.
        for (const auto& [address, entry] : m_entries.m_entries) {
            if (!m_registrations_in_flight.contains(address))
                register_with(address);
        }
        schedule_step();
    }));
}

void platform_agent::count_barred_orders()
{
    for (const auto& [why, count] : std::exchange(m_guard.m_barred_orders, {}))
        m_metrics.count_labelled("orders_refused", to_text(why), count);
}

void platform_agent::finish_if_idle()
{
    if (!m_leaving_since)
        return;
    const instant now = boot_now();
    if (*m_leaving_since + m_settings.m_shutdown_grace - stop_before_grace_end < now)
        stop_all(m_guard, now);
    if (!is_idle(m_guard) || !m_hosted.empty())
        m_idle_since.reset();
    else if (!m_idle_since)
        m_idle_since = now;
    const bool is_done = m_idle_since && *m_idle_since + linger_when_idle < now;
    const bool is_grace_over = *m_leaving_since + m_settings.m_shutdown_grace - exit_before_grace_end < now;
    if (is_done || is_grace_over)
        m_loop.stop();
}

agent_status platform_agent::make_status(const home_identity* receiver, const std::string& address)
{
    const instant now = boot_now();
    agent_status status;
    status.m_identity = m_identity;
    status.m_address = m_settings.m_peer_address;
    status.m_zone = m_settings.m_zone;
    status.m_service = m_settings.m_service;
    status.m_state = state_of(m_guard, now);
    const bool is_entry = receiver == nullptr || m_entries.m_entries.contains(address);
    if (status.m_state == agent_state::serving && !is_entry &&
        is_assigned_elsewhere(m_assignment, address, now))
        status.m_state = agent_state::assigned_elsewhere;
    status.m_is_reconciled = m_guard.m_has_listing && m_guard.m_orphans.empty();
    status.m_free = free_capacity(m_guard);
    status.m_clock = static_cast<std::uint64_t>(now.time_since_epoch().count());
    status.m_sequence = ++m_status_sequence;
    if (m_guard.m_report) {
        status.m_capacity = m_guard.m_report->m_capacity;
        status.m_labels = m_guard.m_report->m_labels;
    }
    if (receiver != nullptr)
        status.m_receiver = *receiver;
    const auto home = receiver == nullptr ? m_guard.m_homes.end() : m_guard.m_homes.find(*receiver);
    if (home != m_guard.m_homes.end())
        status.m_orders_seen = home->second.m_orders_seen;
    return status;
}

} // namespace hawthornpin
