// Wiring of the entry on the platform: callers, agents, other entries, configuration and shutdown.

#include "main/platform_entry.h"

#include "core/json.h"
#include "core/logging.h"
#include "core/random.h"
#include "dispatch/job_admission.h"
#include "platform/call_paths.h"
#include "platform/message_decoding.h"

#include <algorithm>
#include <charconv>

namespace hawthornpin {

namespace {

// Time-driven decisions happen at this pace; all others at once.
constexpr unsigned tick_ms = 20;
// Between two exchanges with another entry: a configuration that one entry has reaches the others well within
// the bound of two seconds.
constexpr milliseconds share_pause{400};
constexpr milliseconds call_timeout{300};
// Before a store that did not answer is asked again.
constexpr unsigned store_retry_ms = 1'000;
// A hand-in that is repeated although it was answered arrives within seconds.
constexpr milliseconds keep_answer_for{10'000};
// A caller that does not say how long it waits.
constexpr milliseconds default_patience{30'000};
// An answer leaves this much before the caller's deadline, so that it arrives in time.
constexpr milliseconds answer_margin{20};
// The balancer needs two missed probes, a second apart, to stop sending connections; a connection that is
// open then may still bring requests.
constexpr milliseconds serve_while_leaving{3'500};
// Time in which the last response reaches its client.
constexpr milliseconds linger_when_quiet{300};
constexpr milliseconds exit_before_grace{400};
constexpr std::size_t max_links = 512;
constexpr std::size_t max_peer_connections = 1'024;

api_response make_response(unsigned status, std::string body = "{}")
{
    api_response response;
    response.m_status = status;
    response.m_body = std::move(body);
    return response;
}

api_response make_state_response(const std::string& state)
{
    return make_response(200, json_writer().begin_object().key("state").text(state).end_object().to_string());
}

api_response make_refusal(unsigned status, const char* why, milliseconds retry_after)
{
    constexpr long long second_ms = 1'000;
    auto response =
        make_response(status, json_writer().begin_object().key("error").text(why).end_object().to_string());
    response.m_verdict = "not_run";
    response.m_retry_after = std::to_string((retry_after.count() + second_ms - 1) / second_ms);
    return response;
}

milliseconds read_patience(const api_request& request)
{
    const std::string& text = request.m_kept_headers.front();
    long long value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end == text.data() || value <= 0)
        return default_patience;
    return std::max(milliseconds(1), milliseconds(value) - answer_margin);
}

} // namespace

class platform_entry::node_server final : public wire::Node::Server {
public:
    explicit node_server(platform_entry& entry) : m_entry(entry) {}

    kj::Promise<void> report(ReportContext context) override
    {
        const auto params = context.getParams();
        m_entry.on_report(read_wire(params.getStatus()), read_wire(params.getOutcomes()));
        return kj::READY_NOW;
    }

    kj::Promise<void> present(PresentContext context) override
    {
        const instant now = boot_now();
        m_entry.on_report(read_wire(context.getParams().getStatus()), {});
        const auto entries = list_live(m_entry.m_entries, now);
        write_wire(context.getResults().initEntries(static_cast<unsigned>(entries.size())), entries);
        return kj::READY_NOW;
    }

    kj::Promise<void> share(ShareContext context) override
    {
        const instant now = boot_now();
        const auto params = context.getParams();
        note_heard(m_entry.m_entries, params.getAddress().cStr(), now);
        note_hearsay(m_entry.m_entries, read_wire(params.getEntries()), now);
        const auto entries = list_live(m_entry.m_entries, now);
        auto results = context.getResults();
        write_wire(results.initEntries(static_cast<unsigned>(entries.size())), entries);
        if (!m_entry.m_directory)
            return kj::READY_NOW;
        results.setVersion(m_entry.m_directory->m_version);
        if (m_entry.m_directory->m_version > params.getVersion())
            results.setDirectory(m_entry.m_directory_text);
        return kj::READY_NOW;
    }

private:
    platform_entry& m_entry;
};

// Lives as long as a caller waits; its destruction before the answer means that the caller has left.
class platform_entry::caller_wait {
public:
    caller_wait(platform_entry& entry, std::string job) : m_entry(entry), m_job(std::move(job)) {}
    ~caller_wait() { m_entry.abandon(m_job); }
    caller_wait(const caller_wait&) = delete;
    caller_wait& operator=(const caller_wait&) = delete;

private:
    platform_entry& m_entry;
    std::string m_job;
};

platform_entry::platform_entry(event_loop& loop, const process_place& place)
    : m_loop(loop), m_place(place), m_store(place.m_store_address), m_links(max_links)
{
    m_scheduler.m_self = {place.m_node, draw_unpredictable()};
    m_scheduler.m_self_address = place.m_peer_address;
    m_scheduler.m_agents.m_zone = place.m_zone;
    m_scheduler.m_agents.m_started = boot_now();
    m_scheduler.m_agents.m_random.seed(draw_unpredictable());
    m_entries.m_self = place.m_peer_address;
    add_seeds(m_entries, place.m_seed_addresses);
}

platform_entry::~platform_entry() = default;

bool platform_entry::start(last_reason& why)
{
    m_ready_server = std::make_unique<api_server>(
        [this](const api_request& request) { return on_readiness_probe(request); }, api_limits());
    if (!m_ready_server->listen(m_place.m_ready_address, why))
        return false;
    api_limits limits;
    limits.m_max_body_bytes = service_directory().m_max_body_bytes;
    limits.m_kept_headers = {patience_header};
    limits.m_is_abandoned_on_close = true;
    m_caller_server = std::make_unique<api_server>(
        [this](const api_request& request) {
            m_last_request_at = boot_now();
            return on_caller_request(request).then([this](api_response response) {
                m_last_request_at = boot_now();
                response.m_is_last_on_connection = m_leaving_since.has_value();
                return response;
            });
        },
        limits);
    if (!m_caller_server->listen(m_place.m_caller_address, why))
        return false;
    auto socket = listen_on(m_place.m_peer_address, why);
    if (!socket)
        return false;
    rpc_server_limits rpc_limits;
    rpc_limits.m_max_connections = max_peer_connections;
    m_rpc_server = std::make_unique<rpc_server>(std::move(*socket), platform_cluster_key,
                                                kj::heap<node_server>(*this), rpc_limits, m_metrics);
    m_follower = std::make_unique<directory_follower>(
        m_store, [this](const service_directory& directory, const std::string& text) {
            apply_directory(directory, text);
        });
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

bool platform_entry::is_ready() const
{
    return m_directory && !m_leaving_since;
}

kj::Promise<api_response> platform_entry::on_readiness_probe(const api_request& request)
{
    if (!is_readiness_probe(request.m_method, request.m_path))
        return make_response(404);
    return make_response(is_ready() ? 200 : 503);
}

kj::Promise<api_response> platform_entry::on_caller_request(const api_request& request)
{
    if (request.m_input_fault != reason::none)
        return make_refusal(413, "body_too_large", milliseconds(0));
    if (!m_directory)
        return make_refusal(503, "not_ready", milliseconds(1'000));
    const queue_contract* queue = find_queue(*m_directory, request.m_host, request.m_path);
    if (queue == nullptr)
        return make_response(404);
    const std::string id = request.m_path.substr(queue->m_path_prefix.size());
    if (request.m_method == "GET" && id.empty()) {
        const auto pending = static_cast<std::int64_t>(count_pending(m_scheduler, queue->m_name));
        return make_response(
            200, json_writer().begin_object().key("pending").integer(pending).end_object().to_string());
    }
    if (!is_job_name(id))
        return make_response(400);
    if (request.m_method == "POST")
        return submit(*queue, id, request);
    if (request.m_method == "GET")
        return describe_job(id);
    if (request.m_method == "DELETE")
        return cancel(id);
    return make_response(405);
}

kj::Promise<api_response> platform_entry::submit(const queue_contract& queue, const std::string& id,
                                                 const api_request& request)
{
    const auto kept = m_kept_answers.find(id);
    if (kept != m_kept_answers.end())
        return make_state_response(kept->second.m_state);
    if (m_leaving_since && *m_leaving_since + serve_while_leaving < boot_now())
        return make_refusal(503, to_text(job_end_reason::shutting_down), milliseconds(0));
    last_reason why;
    const auto job = decode_work_request(id, request.m_body, why);
    if (!job) {
        log_event(log_level::warning, "job_unreadable", {{"job", id}, {"reason", why.text()}});
        return make_response(400);
    }
    m_metrics.count(counter::jobs_submitted);
    auto answer = wait_for_answer(id);
    submit_job(m_scheduler, *job, queue, read_patience(request), boot_now());
    m_arrivals[id] = boot_now();
    log_admission(*job, queue);
    schedule_step();
    return answer;
}

kj::Promise<api_response> platform_entry::wait_for_answer(const std::string& id)
{
    auto pair = kj::newPromiseAndFulfiller<api_response>();
    m_waiters[id].push_back(kj::mv(pair.fulfiller));
    return pair.promise.attach(kj::heap<caller_wait>(*this, id));
}

void platform_entry::abandon(const std::string& id)
{
    const auto waiting = m_waiters.find(id);
    if (waiting == m_waiters.end())
        return;
    std::erase_if(waiting->second, [](fulfiller& waiter) { return !waiter->isWaiting(); });
    if (!waiting->second.empty())
        return;
    m_waiters.erase(waiting);
    log_event(log_level::info, "caller_left", {{"job", id}});
    m_metrics.count(counter::jobs_cancelled);
    m_arrivals.erase(id);
    cancel_job(m_scheduler, id);
    schedule_step();
}

api_response platform_entry::describe_job(const std::string& id) const
{
    const auto kept = m_kept_answers.find(id);
    if (kept != m_kept_answers.end())
        return make_state_response(kept->second.m_state);
    const auto job = m_scheduler.m_jobs.find(id);
    if (job == m_scheduler.m_jobs.end())
        return make_response(410);
    return make_state_response(is_untouched(job->second) ? "queued" : "running");
}

api_response platform_entry::cancel(const std::string& id)
{
    if (!cancel_job(m_scheduler, id))
        return make_response(m_kept_answers.contains(id) ? 200 : 410);
    m_metrics.count(counter::jobs_cancelled);
    const auto waiting = m_waiters.find(id);
    if (waiting != m_waiters.end()) {
        auto waiters = std::move(waiting->second);
        m_waiters.erase(waiting);
        for (fulfiller& waiter : waiters)
            waiter->fulfill(make_state_response("cancelled"));
    }
    schedule_step();
    return make_response(200);
}

void platform_entry::schedule_step()
{
    if (m_is_step_scheduled)
        return;
    m_is_step_scheduled = true;
    m_tasks.add(kj::evalLater([this] {
        m_is_step_scheduled = false;
        step();
    }));
}

void platform_entry::on_report(const agent_status& status, const std::vector<run_outcome>& outcomes)
{
    const auto known = m_scheduler.m_agents.m_agents.find(status.m_life.m_id);
    const bool is_known = known != m_scheduler.m_agents.m_agents.end();
    const bool is_change = !is_known || known->second.m_status.m_life != status.m_life ||
                           known->second.m_status.m_state != status.m_state;
    if (is_change) {
        log_event(log_level::info, "agent_seen",
                  {{"agent", status.m_life.m_id},
                   {"life", std::to_string(status.m_life.m_incarnation)},
                   {"state", to_text(status.m_state)},
                   {"address", status.m_address}});
    }
    for (const run_outcome& outcome : outcomes) {
        m_metrics.count_labelled("run_outcomes", to_text(outcome.m_result));
        if (outcome.m_result != run_result::done) {
            log_event(log_level::info, "run_returned",
                      {{"run", to_text(outcome.m_run)},
                       {"result", to_text(outcome.m_result)},
                       {"agent", status.m_life.m_id}});
        }
    }
    note_agent_report(m_scheduler, status, outcomes, boot_now());
    schedule_step();
}

void platform_entry::step()
{
    advance(m_scheduler, boot_now());
    send_batches();
    deliver_answers();
}

void platform_entry::send_batches()
{
    for (const outgoing_batch& out : take_batches(m_scheduler, boot_now())) {
        log_orders(out);
        const std::string agent = out.m_agent;
        const std::uint64_t number = out.m_batch.m_number;
        m_tasks.add(m_links.order(out.m_address, out.m_batch, m_scheduler.m_limits.m_answer_timeout)
                        .then([this, agent, number](std::optional<agent_status> status) {
                            on_batch_end(agent, number, status);
                            schedule_step();
                        }));
    }
}

void platform_entry::on_batch_end(const std::string& agent, std::uint64_t number,
                                  const std::optional<agent_status>& status)
{
    if (status) {
        note_batch_answered(m_scheduler, agent, number, *status, boot_now());
        return;
    }
    m_metrics.count_labelled("batches", "unanswered");
    log_event(log_level::warning, "agent_unanswered", {{"agent", agent}});
    note_batch_lost(m_scheduler, agent, number, boot_now());
}

void platform_entry::log_orders(const outgoing_batch& out)
{
    if (out.m_batch.m_starts.empty())
        return;
    m_metrics.count(counter::grants_sent, out.m_batch.m_starts.size());
    std::string runs;
    for (const run_order& order : out.m_batch.m_starts)
        runs += (runs.empty() ? "" : " ") + to_text(order.m_run);
    const agent_view& agent = m_scheduler.m_agents.m_agents.at(out.m_agent);
    const auto age = std::chrono::duration_cast<milliseconds>(boot_now() - agent.m_heard_at);
    log_event(log_level::info, "runs_ordered",
              {{"runs", runs},
               {"agent", out.m_agent},
               {"batch", std::to_string(out.m_batch.m_number)},
               {"free_milli", std::to_string(free_for_orders(agent).m_cpu_milli)},
               {"status_age_ms", std::to_string(age.count())}});
}

void platform_entry::log_admission(const work_request& request, const queue_contract& queue)
{
    const auto job = m_scheduler.m_jobs.find(request.m_id);
    if (job == m_scheduler.m_jobs.end())
        return;
    const auto slack =
        std::chrono::duration_cast<milliseconds>(latest_useful_start(job->second) - boot_now());
    log_event(log_level::info, "job_admitted",
              {{"job", request.m_id},
               {"queue", queue.m_name},
               {"slack_ms", std::to_string(slack.count())},
               {"configuration", std::to_string(m_directory->m_version)}});
}

void platform_entry::deliver_answers()
{
    const auto answers = std::exchange(m_scheduler.m_answers, {});
    for (const job_answer_event& answer : answers)
        deliver(answer);
}

void platform_entry::deliver(const job_answer_event& answer)
{
    constexpr unsigned too_many_requests = 429;
    constexpr unsigned unavailable = 503;
    constexpr unsigned gateway_timeout = 504;
    log_event(log_level::info, "job_answered", {{"job", answer.m_job}, {"reason", to_text(answer.m_reason)}});
    api_response response;
    if (answer.m_end == job_end::refused) {
        const bool is_load = answer.m_reason == job_end_reason::overload ||
                             answer.m_reason == job_end_reason::late_before_start;
        response = make_refusal(is_load ? too_many_requests : unavailable, to_text(answer.m_reason),
                                answer.m_retry_after);
    }
    else if (answer.m_end == job_end::abandoned) {
        response = make_response(gateway_timeout);
        response.m_verdict = "may_have_run";
    }
    else {
        const bool is_completed = answer.m_end == job_end::completed;
        m_metrics.count(is_completed ? counter::jobs_completed : counter::jobs_failed);
        const std::string state = is_completed ? "completed" : "failed";
        m_kept_answers[answer.m_job] = {state, boot_now() + keep_answer_for};
        response = make_state_response(state);
    }
    const auto waiting = m_waiters.find(answer.m_job);
    if (waiting == m_waiters.end())
        return;
    auto waiters = std::move(waiting->second);
    m_waiters.erase(waiting);
    for (fulfiller& waiter : waiters) {
        api_response copy = response;
        waiter->fulfill(kj::mv(copy));
    }
}

void platform_entry::apply_directory(const service_directory& directory, const std::string& text)
{
    if (!is_newer(directory, m_directory))
        return;
    log_event(log_level::info, "configuration_applied", {{"version", std::to_string(directory.m_version)}});
    m_metrics.count(counter::config_changes_applied);
    m_directory = directory;
    m_directory_text = text;
}

bool platform_entry::on_tick()
{
    const instant now = boot_now();
    flush_logs();
    if (m_follower->is_connected() != m_was_store_connected) {
        m_was_store_connected = m_follower->is_connected();
        log_event(log_level::info, m_was_store_connected ? "store_regained" : "store_lost");
    }
    forget_silent(m_entries, now);
    m_scheduler.m_entries = list_live(m_entries, now);
    std::erase_if(m_kept_answers, [now](const auto& item) { return item.second.m_forget_at < now; });
    share_with_entries();
    step();
    finish_if_idle();
    return true;
}

void platform_entry::share_with_entries()
{
    const instant now = boot_now();
    for (auto& [address, entry] : m_entries.m_entries) {
        if (entry.m_called_at + share_pause > now || m_shares_in_flight.contains(address))
            continue;
        entry.m_called_at = now;
        share_with(address);
    }
}

void platform_entry::share_with(const std::string& address)
{
    m_shares_in_flight.insert(address);
    m_metrics.count(counter::exchanges_sent);
    shared_knowledge known;
    known.m_entries = m_scheduler.m_entries;
    known.m_version = m_directory ? m_directory->m_version : 0;
    m_tasks.add(m_links.share(address, m_place.m_peer_address, known, call_timeout)
                    .then([this, address](std::optional<shared_knowledge> other) {
                        m_shares_in_flight.erase(address);
                        if (!other)
                            return;
                        const instant now = boot_now();
                        note_heard(m_entries, address, now);
                        note_hearsay(m_entries, other->m_entries, now);
                        last_reason why;
                        const auto directory = decode_directory(other->m_directory, why);
                        if (directory)
                            apply_directory(*directory, other->m_directory);
                    }));
}

void platform_entry::publish_address()
{
    m_tasks.add(m_store.append_keyed(entry_topic, m_place.m_node, m_place.m_peer_address)
                    .then([this](bool is_stored) -> kj::Promise<void> {
                        if (is_stored)
                            return kj::READY_NOW;
                        return after_delay(store_retry_ms).then([this] { publish_address(); });
                    }));
}

void platform_entry::learn_entries_from_store()
{
    m_tasks.add(
        m_store.read_newest(entry_topic).then([this](std::optional<newest_page> page) -> kj::Promise<void> {
            if (!page)
                return after_delay(store_retry_ms).then([this] { learn_entries_from_store(); });
            std::vector<std::string> addresses;
            for (const keyed_record& record : page->m_records)
                addresses.push_back(record.m_value);
            note_hearsay(m_entries, addresses, boot_now());
            return kj::READY_NOW;
        }));
}

void platform_entry::finish_if_idle()
{
    if (!m_leaving_since)
        return;
    const instant now = boot_now();
    const bool is_quiet = m_caller_server->in_progress() == 0 && m_last_request_at + linger_when_quiet < now;
    const bool is_done = *m_leaving_since + serve_while_leaving < now && is_quiet;
    const bool is_over = *m_leaving_since + m_place.m_shutdown_grace - exit_before_grace < now;
    if (is_done || is_over)
        m_loop.stop();
}

} // namespace hawthornpin
