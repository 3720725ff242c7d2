// Handles the calls to the worker, sends its reports and injects its faults.

#include "tests/soak/soak_worker.h"

#include "platform/message_decoding.h"

#include <algorithm>
#include <charconv>

namespace hawthornpin::soak {

namespace {

constexpr unsigned tick_ms = 5;
constexpr unsigned report_interval_ms = 500;
constexpr unsigned report_timeout_ms = 1'000;
// Time until a worker that has left starts again.
constexpr unsigned return_ms = 1'000;
// Shorter than most tasks, so that some are at work when the worker deregisters.
constexpr unsigned drain_ms = 40;
// Time until the worker ends once its deregistration is acknowledged, and if it is not.
constexpr unsigned end_ms = 40;
constexpr unsigned end_unacknowledged_ms = 2'000;
// Delay of starts that are carried out late: longer than the timeout of any call.
constexpr unsigned start_delay_ms = 700;
// One call in this many is affected while a fault of calls is active.
constexpr std::size_t calls_per_fault = 4;

long long now_ms()
{
    return std::chrono::duration_cast<milliseconds>(boot_now().time_since_epoch()).count();
}

api_limits make_limits()
{
    api_limits limits;
    limits.m_extra_headers = {"Expected-Instance"};
    return limits;
}

struct task_work {
    std::int64_t m_cpu_milli = 0;
    long long m_duration_ms = 0;
};

task_work read_specification(const std::string& text)
{
    task_work work;
    const char* end = text.data() + text.size();
    const auto cpu = std::from_chars(text.data(), end, work.m_cpu_milli);
    std::from_chars(cpu.ptr + 1, end, work.m_duration_ms);
    return work;
}

void write_running(json_writer& body, const run_listing& listing)
{
    body.key("running").begin_array();
    for (const listed_run& run : listing.m_running) {
        body.begin_array().text(to_text(run.m_run.m_task)).integer(run.m_run.m_number);
        body.text("").integer(run.m_percent).integer(0).end_array();
    }
    body.end_array();
}

const char* to_text(run_end kind)
{
    if (kind == run_end::done)
        return "done";
    return kind == run_end::stopped ? "stopped" : "lapsed";
}

void write_ended(json_writer& body, const run_listing& listing)
{
    body.key("finished").begin_array();
    for (const listed_end& end : listing.m_ended) {
        body.begin_array().integer(end.m_number).text(hawthornpin::to_text(end.m_run.m_task));
        body.integer(end.m_run.m_number).text(to_text(end.m_end_kind)).text("").end_array();
    }
    body.end_array();
}

const char* to_refusal_text(start_answer answer)
{
    if (answer == start_answer::fenced)
        return "fence";
    return answer == start_answer::run_too_old ? "old" : "late";
}

} // namespace

std::string make_specification(std::int64_t cpu_milli, long long duration_ms)
{
    return std::to_string(cpu_milli) + " " + std::to_string(duration_ms);
}

soak_worker::soak_worker(std::string id, std::string zone, std::string report_address,
                         soak_verifier& verifier)
    : m_id(std::move(id)), m_zone(std::move(zone)), m_report_address(std::move(report_address)),
      m_verifier(verifier), m_worker(m_id, now_ms()), m_incarnation_started(now_ms()), m_reports(1)
{
    m_tasks.add(run_report_loop());
    m_tick = std::make_unique<timer>(tick_ms, [this] {
        advance();
        return true;
    });
}

bool soak_worker::listen(const std::string& address, last_reason& why)
{
    m_address = address;
    m_server = std::make_unique<api_server>([this](const api_request& request) { return handle(request); },
                                            make_limits());
    return m_server->listen(address, why);
}

void soak_worker::restart(unsigned away_ms, const resources& capacity)
{
    if (!m_worker.is_up())
        return;
    for (const run_id& run : m_occupying_runs)
        m_verifier.record_run_end(m_id, run, false);
    m_occupying_runs.clear();
    m_worker.crash();
    m_server.reset();
    m_tasks.add(after_delay(away_ms).then([this, capacity] {
        m_worker.begin_incarnation(now_ms(), capacity);
        m_incarnation_started = now_ms();
        last_reason why;
        if (!listen(m_address, why))
            m_verifier.record_violation("a worker could not listen again: " + why.text());
    }));
}

void soak_worker::leave(bool is_acknowledgement_lost)
{
    if (!m_worker.is_up() || m_worker.is_draining())
        return;
    m_worker.begin_draining();
    m_tasks.add(send_report()
                    .then([](const http_response&) { return after_delay(drain_ms); })
                    .then([this, is_acknowledgement_lost] { return deregister(is_acknowledgement_lost); }));
}

kj::Promise<void> soak_worker::deregister(bool is_acknowledgement_lost)
{
    return call_agent("/deregister", "{}")
        .then([is_acknowledgement_lost](const http_response& response) {
            const bool is_acknowledged =
                response.m_transport == http_transport::answered && !is_acknowledgement_lost;
            return after_delay(is_acknowledged ? end_ms : end_unacknowledged_ms);
        })
        .then([this, started = m_incarnation_started] {
            if (m_incarnation_started == started)
                restart(return_ms, model::model_worker::default_capacity);
        });
}

void soak_worker::advance()
{
    if (!m_worker.is_up())
        return;
    m_worker.advance(now_ms());
    const auto busy = m_worker.occupying_runs();
    for (auto run = m_occupying_runs.begin(); run != m_occupying_runs.end();) {
        if (std::find(busy.begin(), busy.end(), *run) != busy.end()) {
            ++run;
            continue;
        }
        m_verifier.record_run_end(m_id, *run, m_worker.has_completed(*run));
        run = m_occupying_runs.erase(run);
    }
}

api_response soak_worker::make_answer(unsigned status, const char* reason) const
{
    json_writer body;
    body.begin_object().key("clock_ms").integer(m_worker.clock_ms(now_ms()));
    if (*reason != '\0')
        body.key("reason").text(reason);
    body.end_object();
    api_response response;
    response.m_status = status;
    response.m_body = body.to_string();
    return response;
}

kj::Promise<api_response> soak_worker::handle(const api_request& request)
{
    if (!m_worker.is_up())
        return kj::NEVER_DONE;
    advance();
    const std::string& expected = request.m_extra_headers.front();
    if (!expected.empty() && expected != m_id)
        return make_answer(421, "");
    reason fault = reason::none;
    const auto document = json_document::parse(request.m_body, fault);
    if (!document)
        return make_answer(400, "");
    if (request.m_path == "/hawthornpin/hold")
        return hold(document->root());
    const bool is_start = request.m_path == "/hawthornpin/run-start";
    const bool is_faulty = ++m_calls % calls_per_fault == 0;
    if (is_start && m_is_delaying_starts && is_faulty) {
        return after_delay(start_delay_ms).then([this, body = request.m_body]() -> kj::Promise<api_response> {
            reason ignored = reason::none;
            const auto delayed = json_document::parse(body, ignored);
            if (m_worker.is_up())
                start(delayed->root());
            return kj::NEVER_DONE;
        });
    }
    // Often the repetition of the start whose answer was lost.
    const bool is_next_faulty = m_calls % calls_per_fault == 1;
    if (is_start && m_is_refusing_starts && is_next_faulty)
        return make_answer(503, "");
    api_response response = is_start ? start(document->root()) : stop(document->root());
    response.m_is_connection_dropped = m_is_losing_answers && is_faulty;
    return response;
}

api_response soak_worker::start(const json_object& request)
{
    advance();
    const auto task = task_id_from_text(request.text("task").value_or(""));
    if (!task)
        return make_answer(400, "");
    const task_work work = read_specification(request.text("spec").value_or(""));
    run_order order;
    order.m_run = {*task, static_cast<std::uint32_t>(request.integer("run").value_or(0))};
    order.m_needs = {work.m_cpu_milli, 0, 0};
    const start_answer answer =
        m_worker.start(order, request.integer("fence").value_or(0),
                       request.integer("deadline_ms").value_or(0), work.m_duration_ms, now_ms());
    if (answer != start_answer::started)
        return make_answer(409, to_refusal_text(answer));
    if (m_occupying_runs.insert(order.m_run).second)
        m_verifier.record_run_start(m_id, m_zone, order.m_run, m_worker.used().m_cpu_milli,
                                    m_worker.capacity().m_cpu_milli);
    return make_answer(200, "");
}

api_response soak_worker::stop(const json_object& request)
{
    const auto task = task_id_from_text(request.text("task").value_or(""));
    if (!task)
        return make_answer(400, "");
    m_worker.stop({*task, static_cast<std::uint32_t>(request.integer("run").value_or(0))},
                  request.integer("fence").value_or(0), now_ms());
    return make_answer(200, "");
}

kj::Promise<api_response> soak_worker::hold(const json_object& request)
{
    renewal wanted;
    wanted.m_fence = request.integer("fence").value_or(0);
    wanted.m_last_seen = request.integer("last_seen").value_or(0);
    wanted.m_deadline_ms = request.integer("deadline_ms");
    // The lease starts at the arrival of the call, not when it is answered.
    if (!m_worker.list(wanted, now_ms()))
        return make_answer(409, "fence");
    return wait_for_new_ends(wanted, now_ms() + request.integer("wait_ms").value_or(0));
}

kj::Promise<api_response> soak_worker::wait_for_new_ends(renewal request, long long until)
{
    if (!m_worker.is_up())
        return kj::NEVER_DONE;
    if (m_worker.has_new_ends(request.m_last_seen) || now_ms() >= until)
        return list(request);
    return after_delay(tick_ms).then([this, request, until] { return wait_for_new_ends(request, until); });
}

api_response soak_worker::list(const renewal& request)
{
    renewal without_lease = request;
    without_lease.m_deadline_ms.reset();
    const auto listing = m_worker.list(without_lease, now_ms());
    if (!listing)
        return make_answer(409, "fence");
    json_writer body;
    body.begin_object()
        .key("clock_ms")
        .integer(listing->m_worker_clock_ms)
        .key("born")
        .integer(m_incarnation_started);
    write_running(body, *listing);
    write_ended(body, *listing);
    body.end_object();
    api_response response;
    response.m_body = body.to_string();
    return response;
}

kj::Promise<http_response> soak_worker::call_agent(const char* call, std::string body)
{
    http_request request;
    request.m_method = "POST";
    request.m_url = "http://" + m_report_address + "/hawthornpin/instances/" + m_id + call;
    request.m_body = std::move(body);
    request.m_can_reuse_connection = true;
    return m_reports.send_within(request, report_timeout_ms);
}

kj::Promise<http_response> soak_worker::send_report()
{
    const worker_report report = m_worker.make_report(now_ms());
    json_writer body;
    body.begin_object()
        .key("service")
        .text("svc")
        .key("address")
        .text("127.0.0.1:1")
        .key("zone")
        .text(m_zone);
    body.key("version").text("v1").key("slots").integer(8).key("state");
    body.text(report.m_is_draining ? "draining" : "ready");
    body.key("capacity").begin_object().key("cpu").integer(report.m_capacity.m_cpu_milli);
    body.key("mem_mb").integer(report.m_capacity.m_memory_mib).key("gpu").integer(0).end_object();
    body.key("labels").begin_array().text("a").end_array();
    body.key("born").integer(m_incarnation_started).key("seq").integer(report.m_sequence).end_object();
    return call_agent("/heartbeat", body.to_string());
}

kj::Promise<void> soak_worker::run_report_loop()
{
    auto sent = m_worker.is_up() ? send_report().ignoreResult() : kj::Promise<void>(kj::READY_NOW);
    return sent.then([] { return after_delay(report_interval_ms); }).then([this] {
        return run_report_loop();
    });
}

} // namespace hawthornpin::soak
