// The entry's interface to callers and the balancer: requests, waits and answers.

#include "main/platform_entry.h"

#include "core/json.h"
#include "core/logging.h"
#include "dispatch/job_admission.h"
#include "platform/call_paths.h"
#include "platform/message_decoding.h"

#include <algorithm>
#include <charconv>

namespace hawthornpin {

namespace {

constexpr unsigned too_many_requests = 429;
// The share of refused jobs follows the delay within a second.
constexpr milliseconds retry_after_overload{1'000};
// A repeated submission of a job that was answered or cancelled arrives within seconds.
constexpr milliseconds answer_cache_time{10'000};
// Assumed for a caller that does not state how long it waits.
constexpr milliseconds default_caller_timeout{30'000};
// An answer is sent this long before the caller's deadline, so that it arrives in time.
constexpr milliseconds answer_margin{20};

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

// Empty if the caller does not state how long it waits.
std::optional<milliseconds> read_caller_timeout(const api_request& request)
{
    const std::string& text = request.m_extra_headers.front();
    long long value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end == text.data() || value <= 0)
        return std::nullopt;
    return std::max(milliseconds(1), milliseconds(value) - answer_margin);
}

milliseconds age_of(const api_request& request, instant now)
{
    return std::chrono::duration_cast<milliseconds>(now - request.m_age.m_received_at);
}

} // namespace

// Attached to a caller's wait. If it is destroyed before the answer, the caller has disconnected.
class platform_entry::caller_wait_guard {
public:
    caller_wait_guard(platform_entry& entry, std::string job) : m_entry(entry), m_job(std::move(job)) {}
    ~caller_wait_guard() { m_entry.cancel_if_unawaited(m_job); }
    caller_wait_guard(const caller_wait_guard&) = delete;
    caller_wait_guard& operator=(const caller_wait_guard&) = delete;

private:
    platform_entry& m_entry;
    std::string m_job;
};

bool platform_entry::is_ready() const
{
    return m_configuration && !m_leaving_since;
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
    if (!m_configuration)
        return make_refusal(503, "not_ready", milliseconds(1'000));
    const queue_contract* queue = m_configuration->find(request.m_host, request.m_path);
    if (queue == nullptr)
        return make_response(404);
    const std::string id = request.m_path.substr(queue->m_path_prefix.size());
    if (request.m_method == "GET" && id.empty()) {
        const auto pending = static_cast<std::int64_t>(count_pending(m_home.scheduler(), queue->m_name));
        return make_response(
            200, json_writer().begin_object().key("pending").integer(pending).end_object().to_string());
    }
    if (!is_job_id(id))
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
    const auto cached = m_cached_answers.find(id);
    if (cached != m_cached_answers.end())
        return make_state_response(cached->second.m_state);
    if (m_leaving_since && *m_leaving_since + serve_while_leaving < boot_now())
        return make_refusal(503, to_text(job_end_reason::shutting_down), milliseconds(0));
    const instant now = boot_now();
    record_age(id, request, now);
    const caller_patience patience{read_caller_timeout(request), default_caller_timeout,
                                   m_settings.m_resubmit_after};
    if (may_be_abandoned(request.m_age, patience, now)) {
        m_metrics.count_labelled("job_ends", queue.m_name + ' ' + to_text(job_end_reason::expired_unread));
        return refuse_expired(id);
    }
    if (!m_waiters.contains(id) && is_forwarding() && take_refusal(m_overload)) {
        m_metrics.count_labelled("job_ends", queue.m_name + ' ' + to_text(job_end_reason::entry_overload));
        return make_refusal(too_many_requests, to_text(job_end_reason::entry_overload), retry_after_overload);
    }
    last_reason why;
    const auto job = decode_work_request(id, request.m_body, why);
    if (!job) {
        log_event(log_level::warning, "job_unreadable", {{"job", id}, {"reason", why.text()}});
        return make_response(400);
    }
    m_metrics.count(counter::jobs_submitted);
    const bool is_known = m_waiters.contains(id);
    auto answer = wait_for_answer(id);
    if (is_known)
        return answer;
    m_arrivals[id] = {request.m_age.m_received_at, queue.m_name};
    queue_contract ranked = queue;
    if (record_arrival(m_bursts[queue.m_service], queue.m_name, declared_work(*job), now)) {
        m_metrics.count_labelled("burst_jobs", queue.m_name);
        ranked.m_priority = burst_priority(queue.m_priority);
    }
    const instant deadline = caller_deadline(request.m_age, patience);
    if (is_forwarding())
        forward_job({*job, ranked, deadline, {}});
    else
        m_home.submit(*job, ranked, std::chrono::ceil<milliseconds>(deadline - now));
    return answer;
}

api_response platform_entry::refuse_expired(const std::string& id) const
{
    if (!m_waiters.contains(id))
        return make_refusal(503, to_text(job_end_reason::expired_unread), milliseconds(0));
    // Another submission of the job waits here. This one must not keep the job alive.
    api_response response = make_response(504);
    response.m_verdict = "may_have_run";
    return response;
}

void platform_entry::record_age(const std::string& id, const api_request& request, instant now)
{
    constexpr milliseconds late{500};
    const milliseconds age = age_of(request, now);
    m_metrics.observe(distribution::request_age, std::chrono::duration<double>(age).count());
    if (age < late)
        return;
    const auto silent_for = std::chrono::duration_cast<milliseconds>(now - request.m_age.m_heard_at);
    log_event(log_level::info, "request_read_late",
              {{"job", id},
               {"age_ms", std::to_string(age.count())},
               {"caller_silent_ms", std::to_string(silent_for.count())},
               {"deadline_ms", request.m_extra_headers.front()}});
}

kj::Promise<api_response> platform_entry::wait_for_answer(const std::string& id)
{
    auto pair = kj::newPromiseAndFulfiller<api_response>();
    m_waiters[id].push_back(kj::mv(pair.fulfiller));
    return pair.promise.attach(kj::heap<caller_wait_guard>(*this, id));
}

void platform_entry::cancel_if_unawaited(const std::string& id)
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
    if (!cancel_forwarded(id))
        m_home.cancel(id);
}

api_response platform_entry::describe_job(const std::string& id) const
{
    const auto cached = m_cached_answers.find(id);
    if (cached != m_cached_answers.end())
        return make_state_response(cached->second.m_state);
    if (m_forwarded.contains(id))
        return make_state_response("running");
    if (m_waiting_for_home.contains(id))
        return make_state_response("queued");
    const auto& jobs = m_home.scheduler().m_jobs;
    const auto job = jobs.find(id);
    if (job == jobs.end())
        return make_response(410);
    return make_state_response(is_provably_not_run(job->second) ? "queued" : "running");
}

api_response platform_entry::cancel(const std::string& id)
{
    if (m_cached_answers.contains(id))
        return make_response(200);
    // A submission of the job that is read later must not begin it.
    m_cached_answers[id] = {"cancelled", boot_now() + answer_cache_time};
    m_arrivals.erase(id);
    if (!cancel_forwarded(id) && !m_home.cancel(id))
        return make_response(410);
    m_metrics.count(counter::jobs_cancelled);
    const auto waiting = m_waiters.find(id);
    if (waiting != m_waiters.end()) {
        auto waiters = std::move(waiting->second);
        m_waiters.erase(waiting);
        for (fulfiller& waiter : waiters)
            waiter->fulfill(make_state_response("cancelled"));
    }
    return make_response(200);
}

void platform_entry::log_answer(const job_answer_event& answer)
{
    const auto arrival = m_arrivals.find(answer.m_job);
    if (arrival == m_arrivals.end())
        return;
    const auto took = boot_now() - arrival->second.m_arrived;
    const std::string queue = arrival->second.m_queue;
    m_arrivals.erase(arrival);
    m_metrics.count_labelled("job_ends", queue + ' ' + to_text(answer.m_reason));
    m_metrics.observe(distribution::job_response, std::chrono::duration<double>(took).count());
    log_event(log_level::info, "job_answered",
              {{"job", answer.m_job},
               {"queue", queue},
               {"reason", to_text(answer.m_reason)},
               {"took_ms", std::to_string(std::chrono::duration_cast<milliseconds>(took).count())}});
}

void platform_entry::deliver(const job_answer_event& answer)
{
    constexpr unsigned unavailable = 503;
    constexpr unsigned gateway_timeout = 504;
    log_answer(answer);
    api_response response;
    if (answer.m_end == job_end::refused) {
        const bool is_overload = answer.m_reason == job_end_reason::overload ||
                                 answer.m_reason == job_end_reason::late_before_start;
        response = make_refusal(is_overload ? too_many_requests : unavailable, to_text(answer.m_reason),
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
        m_cached_answers[answer.m_job] = {state, boot_now() + answer_cache_time};
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

} // namespace hawthornpin
