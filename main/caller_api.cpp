// Handles callers' requests at an entry.

#include "main/caller_api.h"

#include "core/logging.h"
#include "rpc/wire.h"

#include <algorithm>

namespace hawthornpin {

namespace {

constexpr int max_submit_attempts = 3;
constexpr milliseconds min_retry_delay{50};

constexpr outcome home_unreachable_outcome{verdict::not_run, reason::home_unreachable, ticket_state::open};
constexpr outcome connection_lost_outcome{verdict::may_have_run, reason::connection_lost, ticket_state::open};
constexpr outcome home_gone_outcome{verdict::may_have_run, reason::home_gone, ticket_state::closed};

kj::Promise<api_response> ready(api_response response)
{
    return kj::Promise<api_response>(kj::mv(response));
}

} // namespace

caller_api::caller_api(caller_context context)
    : m_context(std::move(context)), m_sender(to_text(generate_ticket_id())),
      m_random(generate_secure_random())
{
}

api_response caller_api::refuse(reason why, milliseconds retry_after)
{
    return refuse_with({verdict::not_run, why, ticket_state::open}, retry_after);
}

api_response caller_api::refuse_with(const outcome& refusal, milliseconds retry_after)
{
    m_context.m_metrics->count_refusal(refusal.m_reason);
    return make_problem_response(refusal, retry_after);
}

const team* caller_api::find_team(const std::string& authorization) const
{
    constexpr std::string_view scheme = "Bearer ";
    if (!authorization.starts_with(scheme))
        return nullptr;
    const std::string digest = sha256_hex(std::string_view(authorization).substr(scheme.size()));
    for (const auto& [name, candidate] : m_context.m_config->m_teams) {
        const bool is_current = is_equal_constant_time(digest, candidate.key_sha256());
        if (is_current || is_equal_constant_time(digest, candidate.previous_key_sha256()))
            return &candidate;
    }
    return nullptr;
}

caller_api::service_view& caller_api::find_or_add_view(const std::string& service)
{
    auto [found, is_new] = m_services.try_emplace(service);
    if (is_new) {
        found->second.m_placement.m_settings = m_context.m_placement;
        found->second.m_placement.m_own_place = m_context.m_own_place;
        // Entries start their round-robin at different homes.
        constexpr std::size_t max_first_offset = 4096;
        found->second.m_placement.m_next = random_below(m_random, max_first_offset);
    }
    return found->second;
}

void caller_api::refresh_members()
{
    const member_table& table = *m_context.m_members;
    for (const auto& [id, known] : table.m_members) {
        if (known.m_updated_at > m_seen_changes)
            update_member(find_or_add_view(known.m_announcement.m_worker.service()).m_loads, known);
    }
    m_seen_changes = table.m_changes;
    for (auto& [name, view] : m_services) {
        std::erase_if(view.m_loads, [&](const auto& item) { return !table.m_members.contains(item.first); });
        for (auto& [id, worker] : view.m_loads)
            worker.m_is_usable = is_usable(table.m_members.at(id));
        refresh_quarantine(view.m_placement, view.m_loads);
    }
}

kj::Promise<api_response> caller_api::handle(const api_request& request)
{
    if (request.m_input_fault != reason::none)
        return ready(refuse(request.m_input_fault));
    if (m_context.m_config->m_version == no_offset)
        return ready(refuse(reason::not_ready, unreachable_retry_after));
    const team* caller = find_team(request.m_authorization);
    if (caller == nullptr)
        return ready(refuse(reason::unauthorized));
    const auto path = split_path(request.m_path);
    if (path.size() == 3 && path[0] == "v1" && path[1] == "jobs")
        return handle_ticket(request, path[2], *caller);
    const bool is_service_path = path.size() == 4 && path[0] == "v1" && path[1] == "services";
    if (!is_service_path || request.m_method != "POST")
        return ready(refuse(reason::bad_request));
    if (!is_valid_name(path[2]))
        return ready(refuse(reason::bad_name));
    const auto service = m_context.m_config->m_contracts.find(path[2]);
    if (service == m_context.m_config->m_contracts.end())
        return ready(refuse(reason::unknown_service));
    if (path[3] == "tickets")
        return handle_tickets(request, service->second);
    if (path[3] == "jobs")
        return handle_post_job(request, service->second, *caller);
    return ready(refuse(reason::bad_request));
}

std::optional<ticket> caller_api::mint(const std::string& service, const task_needs& needs, int tasks,
                                       ticket_use use, reason& why)
{
    service_view& view = find_or_add_view(service);
    const instant now = m_context.m_clock->now();
    const bool is_for_later = use == ticket_use::later;
    const auto home = is_for_later ? choose_home_for_ticket(view.m_placement, view.m_loads, needs, now)
                                   : choose_home(view.m_placement, view.m_loads, needs, now, m_random);
    if (!home) {
        const bool can_never_fit = !view.m_loads.empty() && !can_ever_fit(view.m_loads, needs);
        why = can_never_fit ? reason::never_fits : reason::no_worker;
        return std::nullopt;
    }
    if (!is_for_later)
        record_minted_tickets(view.m_loads, *home, tasks);
    m_context.m_metrics->count(counter::tickets_minted);
    const worker& chosen = view.m_loads.at(*home).m_worker;
    return ticket{service, chosen.identity(), generate_ticket_id(), now + m_context.m_ticket_lifetime,
                  chosen.address()};
}

kj::Promise<api_response> caller_api::handle_tickets(const api_request& request, const contract& service)
{
    reason why = reason::none;
    const auto count = parse_ticket_count(request.m_body, why);
    if (!count)
        return ready(refuse(why));
    // Tickets requested together are used one after the other, most of them later.
    const ticket_use use = *count > 1 ? ticket_use::later : ticket_use::now;
    std::vector<std::string> tickets;
    for (int index = 0; index < *count; ++index) {
        const auto minted = mint(service.service(), {}, 1, use, why);
        if (!minted)
            return ready(refuse(why, unreachable_retry_after));
        tickets.push_back(encode_ticket(*minted, m_context.m_keys));
    }
    return ready(make_tickets_response(tickets, m_context.m_ticket_lifetime));
}

std::optional<outcome> caller_api::check_rate(const team& caller, std::size_t tasks,
                                              milliseconds& retry_after)
{
    constexpr double burst_seconds = 1;
    const double rate = caller.rate() / std::max(1, m_context.m_count_entries());
    const double burst = std::max(1.0, rate * burst_seconds);
    token_bucket& bucket = m_rates[caller.name()];
    if (take_tokens(bucket, static_cast<double>(tasks), rate, burst, m_context.m_clock->now()))
        return std::nullopt;
    retry_after = time_until(bucket, static_cast<double>(tasks), rate, burst);
    return outcome{verdict::not_run, reason::team_rate, ticket_state::open};
}

kj::Promise<api_response> caller_api::handle_post_job(const api_request& request, const contract& service,
                                                      const team& caller)
{
    if (!service.is_repeatable())
        return ready(refuse(reason::not_repeatable));
    reason why = reason::none;
    auto job = parse_job(request.m_body, service, why);
    if (!job)
        return ready(refuse(why));
    milliseconds retry_after{0};
    if (const auto limited = check_rate(caller, job->m_payloads.size(), retry_after))
        return ready(refuse_with(*limited, retry_after));
    if (job->m_deadline.count() == 0)
        job->m_deadline = service.job_time_limit();
    return submit_with_new_ticket(std::move(*job), service, caller.name(), sha256_hex(request.m_body), 1)
        .then([this](job_answer answer) {
            if (!is_success(answer.m_outcome))
                m_context.m_metrics->count_refusal(answer.m_outcome.m_reason);
            return make_answer_response("", answer);
        });
}

// Submits under a new ticket, and again under another one while the failure, the job's remaining time, the
// attempts and the service's retry budget allow it.
kj::Promise<job_answer> caller_api::submit_with_new_ticket(job_request job, const contract& service,
                                                           std::string team, std::string digest, int attempt)
{
    reason why = reason::none;
    const auto minted =
        mint(service.service(), job.m_needs, static_cast<int>(job.m_payloads.size()), ticket_use::now, why);
    if (!minted) {
        const milliseconds retry_after =
            why == reason::never_fits ? milliseconds(0) : unreachable_retry_after;
        return job_answer{{verdict::not_run, why, ticket_state::closed}, {}, retry_after};
    }
    auto pending = std::make_shared<pending_submit>();
    pending->m_ticket_text = encode_ticket(*minted, m_context.m_keys);
    pending->m_job = {*minted, team, digest, job.m_deadline, job.m_needs, job.m_payloads};
    pending->m_answer_deadline = m_context.m_clock->now() + job.m_deadline + home_grace;
    const instant started = m_context.m_clock->now();
    return submit(pending).then([this, job = std::move(job), service, team, digest, attempt,
                                 started](job_answer answer) mutable -> kj::Promise<job_answer> {
        const auto elapsed = std::chrono::duration_cast<milliseconds>(m_context.m_clock->now() - started);
        const reason cause = answer.m_outcome.m_reason;
        const bool is_retryable = cause == reason::leaving || cause == reason::home_unreachable ||
                                  cause == reason::connection_lost || cause == reason::home_gone ||
                                  cause == reason::worker_lost || cause == reason::wrong_incarnation;
        const bool has_time = job.m_deadline > elapsed + min_retry_delay;
        if (!is_retryable || !has_time || attempt >= max_submit_attempts ||
            !take_retry(find_or_add_view(service.service()).m_retries))
            return kj::mv(answer);
        m_context.m_metrics->count_retry(cause);
        job.m_deadline -= elapsed;
        return submit_with_new_ticket(std::move(job), service, team, digest, attempt + 1);
    });
}

kj::Promise<api_response> caller_api::handle_ticket(const api_request& request, const std::string& text,
                                                    const team& caller)
{
    reason why = reason::none;
    const auto known = decode_ticket(text, m_context.m_keys, why);
    if (!known)
        return ready(refuse_with({verdict::not_run, why, ticket_state::closed}));
    if (request.m_method == "PUT")
        return handle_put(request, text, *known, caller);
    if (request.m_method == "GET")
        return handle_get(request, text, *known);
    if (request.m_method == "DELETE")
        return handle_delete(text, *known);
    return ready(refuse(reason::bad_request));
}

std::optional<std::string> caller_api::find_home(const ticket& known, outcome& refusal) const
{
    switch (find_presence(*m_context.m_members, known.m_home)) {
    case presence::present:
        return m_context.m_members->m_members.at(known.m_home.m_id).m_announcement.m_worker.address();
    case presence::replaced:
        refusal = home_gone_outcome;
        return std::nullopt;
    case presence::unknown:
        break;
    }
    // If the home is not known (yet), it is called at the address in the ticket.
    if (!known.m_home_address.empty())
        return known.m_home_address;
    refusal = {verdict::may_have_run, reason::home_unreachable, ticket_state::open};
    return std::nullopt;
}

kj::Promise<api_response> caller_api::handle_put(const api_request& request, const std::string& text,
                                                 const ticket& known, const team& caller)
{
    const auto service = m_context.m_config->m_contracts.find(known.m_service);
    if (service == m_context.m_config->m_contracts.end())
        return ready(refuse(reason::unknown_service));
    reason why = reason::none;
    auto job = parse_job(request.m_body, service->second, why);
    if (!job)
        return ready(refuse(why));
    if (!job->m_service.empty() && job->m_service != known.m_service)
        return ready(refuse(reason::ticket_other_service));
    milliseconds retry_after{0};
    if (const auto limited = check_rate(caller, job->m_payloads.size(), retry_after))
        return ready(refuse_with(*limited, retry_after));
    const milliseconds budget =
        job->m_deadline.count() == 0 ? service->second.job_time_limit() : job->m_deadline;
    auto pending = std::make_shared<pending_submit>();
    pending->m_ticket_text = text;
    pending->m_job = {known,  caller.name(), sha256_hex(caller.name() + "\n" + request.m_body),
                      budget, job->m_needs,  std::move(job->m_payloads)};
    pending->m_answer_deadline = m_context.m_clock->now() + budget + home_grace;
    return submit(pending).then([this, text](job_answer answer) {
        if (!is_success(answer.m_outcome))
            m_context.m_metrics->count_refusal(answer.m_outcome.m_reason);
        return make_answer_response(text, answer);
    });
}

// Sends a submission to its home. The home joins repeated submissions of a ticket, so a lost call may be
// repeated.
kj::Promise<job_answer> caller_api::submit(submit_pointer pending)
{
    outcome refusal;
    const auto address = find_home(pending->m_job.m_ticket, refusal);
    if (!address)
        return job_answer{refusal, {}, unreachable_retry_after};
    ++pending->m_attempts;
    m_context.m_metrics->count(counter::submits_sent);
    const int tasks = static_cast<int>(pending->m_job.m_payloads.size());
    load_view& loads = find_or_add_view(pending->m_job.m_ticket.m_service).m_loads;
    record_minted_tickets(loads, pending->m_job.m_ticket.m_home.m_id, -tasks);
    const std::uint64_t sent = record_sent(loads, pending->m_job.m_ticket.m_home, tasks);
    auto call =
        call_node<submit_reply>(*m_context.m_links, *address, [this, pending, sent](wire::Node::Client node) {
            auto request = node.submitRequest();
            write_wire(request.initSubmission(), pending->m_job);
            request.setFrom(m_sender);
            request.setSent(sent);
            return request.send().then([](auto response) {
                return submit_reply{read_wire(response.getAnswer()),
                                    {read_wire(response.getLoad()), response.getSeen()},
                                    false};
            });
        });
    const auto left =
        std::chrono::duration_cast<milliseconds>(pending->m_answer_deadline - m_context.m_clock->now());
    const auto wait_ms = static_cast<unsigned>(std::max<long long>(1, left.count()));
    auto timed_out = after_delay(wait_ms).then([pending] {
        pending->m_attempts = max_submit_attempts;
        return call_result<submit_reply>{call_status::lost, {}};
    });
    return call.exclusiveJoin(kj::mv(timed_out))
        .then([this, pending, sent](call_result<submit_reply> result) -> kj::Promise<job_answer> {
            if (result.m_status == call_status::answered)
                return apply_submit_reply(*pending, result.m_response);
            // A call without an answer must not count as load of its home forever.
            acknowledge_sent(find_or_add_view(pending->m_job.m_ticket.m_service).m_loads,
                             pending->m_job.m_ticket.m_home, sent);
            const bool is_lost = result.m_status == call_status::lost;
            const outcome failure = is_lost ? connection_lost_outcome : home_unreachable_outcome;
            service_view& view = find_or_add_view(pending->m_job.m_ticket.m_service);
            if (pending->m_attempts >= max_submit_attempts || !take_retry(view.m_retries))
                return job_answer{failure, {}, unreachable_retry_after};
            m_context.m_metrics->count_retry(failure.m_reason);
            return after_delay(static_cast<unsigned>(min_retry_delay.count())).then([this, pending, is_lost] {
                return submit(pending).then([is_lost](job_answer answer) {
                    // After a lost attempt, a later refusal by this entry does not prove that nothing ran.
                    const bool is_ticket_open = answer.m_outcome.m_ticket == ticket_state::open;
                    if (is_lost && is_ticket_open)
                        answer.m_outcome.m_verdict = verdict::may_have_run;
                    return answer;
                });
            });
        });
}

job_answer caller_api::apply_submit_reply(const pending_submit& pending, const submit_reply& reply)
{
    service_view& view = find_or_add_view(pending.m_job.m_ticket.m_service);
    record_report(view.m_loads, pending.m_job.m_ticket.m_home, reply.m_report, m_context.m_clock->now());
    if (is_success(reply.m_answer.m_outcome))
        record_success(view.m_retries);
    return reply.m_answer;
}

} // namespace hawthornpin
