#include "worker.hh"

#include <algorithm>
#include <cstdlib>

namespace review {

namespace {

// Bounds of the deployment.
constexpr long long max_hold_ms = 1000;
constexpr long long stop_ms = 50;

} // namespace

std::size_t observer::begin(observed_run run)
{
    run.m_begin = now_ms();
    m_record.write(run.m_worker + " starts " + run.m_task + " run " + std::to_string(run.m_number) +
                   ", spec " + run.m_spec + ", in use " + std::to_string(run.m_used) + " of " +
                   std::to_string(run.m_capacity));
    const std::lock_guard lock(m_mutex);
    m_runs.push_back(std::move(run));
    return m_runs.size() - 1;
}

void observer::end(std::size_t index, const std::string& how)
{
    const std::lock_guard lock(m_mutex);
    m_runs[index].m_end = now_ms();
    m_runs[index].m_how = how;
    m_record.write(m_runs[index].m_worker + " ends " + m_runs[index].m_task + " run " +
                   std::to_string(m_runs[index].m_number) + ": " + how);
}

std::vector<observed_run> observer::runs() const
{
    const std::lock_guard lock(m_mutex);
    return m_runs;
}

worker::worker(worker_settings settings, observer& seen) : m_settings(std::move(settings)), m_seen(seen) {}

worker::~worker()
{
    crash();
}

bool worker::start()
{
    {
        const std::lock_guard lock(m_mutex);
        m_started_at = now_ms();
        m_born = unix_ms();
        m_fence = m_deadline = m_sequence = m_end_count = 0;
        m_is_draining = false;
        m_ends.clear();
        m_closed.clear();
    }
    m_server = std::make_unique<http_server>(
        m_settings.m_address,
        [this](const http_message& request, connection& from) { return handle(request, from); });
    m_is_up = true;
    if (!m_server->start())
        return m_is_up = false;
    std::string labels;
    for (const std::string& label : m_settings.m_labels)
        labels += " " + label;
    m_seen.lines().write("worker " + m_settings.m_id + " is up: cpu " + std::to_string(m_settings.m_cpu) +
                         ", labels" + labels);
    m_ticker = std::thread([this] { tick_forever(); });
    m_reporter = std::thread([this] { report_forever(); });
    return true;
}

void worker::crash()
{
    if (!m_is_up)
        return;
    m_is_up = false;
    {
        const std::lock_guard lock(m_mutex);
        while (!m_running.empty())
            end_run(m_running.begin()->first, "lost with its worker");
    }
    m_seen.lines().write("worker " + m_settings.m_id + " is down");
    m_server->stop();
    m_ticker.join();
    m_reporter.join();
}

bool worker::restart(worker_settings settings)
{
    m_settings = std::move(settings);
    return start();
}

void worker::set_interceptor(interceptor intercept)
{
    const std::lock_guard lock(m_mutex);
    m_intercept = std::move(intercept);
}

long long worker::clock_ms() const
{
    return now_ms() - m_started_at;
}

std::string worker::head() const
{
    return "{\"clock_ms\":" + std::to_string(clock_ms()) + ",\"born\":" + std::to_string(m_born);
}

std::string worker::refusal(const char* reason) const
{
    return format_response(409, head() + ",\"reason\":" + quote(reason) + "}");
}

std::string worker::handle(const http_message& request, connection& from)
{
    interceptor intercept;
    {
        const std::lock_guard lock(m_mutex);
        intercept = m_intercept;
    }
    const auto instance = request.m_headers.find("expected-instance");
    if (instance != request.m_headers.end() && instance->second != m_settings.m_id) {
        const std::lock_guard lock(m_mutex);
        return format_response(421, head() + "}");
    }
    if (intercept) {
        if (const auto response = intercept(request, from))
            return *response;
    }
    if (request.m_path == "/hawthornpin/run-start")
        return run_start(request.m_body);
    if (request.m_path == "/hawthornpin/run-stop")
        return run_stop(request.m_body);
    if (request.m_path == "/hawthornpin/hold")
        return hold(request.m_body);
    return format_response(404, "{}");
}

bool worker::admit_fence(const std::string& body)
{
    const long long fence = json_integer(body, "fence").value_or(0);
    if (fence < m_fence)
        return false;
    m_fence = fence;
    return true;
}

void worker::extend_lease(const std::string& body)
{
    if (const auto deadline = json_integer(body, "deadline_ms"))
        m_deadline = std::max(m_deadline, std::min(*deadline, clock_ms() + max_hold_ms));
}

std::string worker::run_start(const std::string& body)
{
    const std::lock_guard lock(m_mutex);
    advance();
    const std::string task = json_text(body, "task");
    const std::string spec = json_text(body, "spec");
    const long long number = json_integer(body, "run").value_or(0);
    if (!admit_fence(body))
        return refusal("fence");
    extend_lease(body);
    const auto known = m_running.find(task);
    if (known != m_running.end() && known->second.m_number == number)
        return format_response(200, head() + "}");
    if (known != m_running.end() || m_closed[task] >= number)
        return refusal("old");
    if (json_integer(body, "deadline_ms").value_or(0) < clock_ms())
        return refusal("late");
    running_task run;
    run.m_number = number;
    run.m_cpu = std::atoll(spec.c_str());
    run.m_duration = std::atoll(spec.substr(spec.find(' ') + 1).c_str());
    run.m_begin = now_ms();
    long long used = run.m_cpu;
    for (const auto& [name, other] : m_running)
        used += other.m_cpu;
    run.m_observed = m_seen.begin({m_settings.m_id, task, number, spec, 0, -1, "", used, m_settings.m_cpu});
    m_running[task] = run;
    return format_response(200, head() + "}");
}

std::string worker::run_stop(const std::string& body)
{
    const std::lock_guard lock(m_mutex);
    advance();
    if (!admit_fence(body))
        return refusal("fence");
    const std::string task = json_text(body, "task");
    const long long number = json_integer(body, "run").value_or(0);
    m_closed[task] = std::max(m_closed[task], number);
    const auto found = m_running.find(task);
    if (found != m_running.end() && found->second.m_number <= number && found->second.m_stopped_at < 0)
        found->second.m_stopped_at = now_ms();
    return format_response(200, head() + "}");
}

std::string worker::hold(const std::string& body)
{
    const long long until = now_ms() + std::min(json_integer(body, "wait_ms").value_or(0), 2000LL);
    const long long last_seen = json_integer(body, "last_seen").value_or(0);
    m_hold_until = until;
    {
        const std::lock_guard lock(m_mutex);
        advance();
        if (!admit_fence(body))
            return refusal("fence");
        extend_lease(body);
        std::erase_if(m_ends, [&](const listed_end& end) { return end.m_sequence <= last_seen; });
    }
    while (m_is_up) {
        {
            const std::lock_guard lock(m_mutex);
            if (!m_ends.empty() || now_ms() >= until)
                return list(last_seen);
        }
        sleep_ms(2);
    }
    return "";
}

std::string worker::list(long long last_seen)
{
    std::string running;
    for (const auto& [task, run] : m_running) {
        const long long percent =
            std::min(99LL, 100 * (now_ms() - run.m_begin) / std::max(1LL, run.m_duration));
        running += std::string(running.empty() ? "" : ",") + "[" + quote(task) + "," +
                   std::to_string(run.m_number) + ",\"\"," + std::to_string(percent) + "," +
                   std::to_string(run.m_cpu) + "]";
    }
    std::string finished;
    for (const listed_end& end : m_ends) {
        if (end.m_sequence <= last_seen)
            continue;
        finished += std::string(finished.empty() ? "" : ",") + "[" + std::to_string(end.m_sequence) + "," +
                    quote(end.m_task) + "," + std::to_string(end.m_run) + "," + quote(end.m_how) + ",\"\"]";
    }
    return format_response(200, head() + ",\"running\":[" + running + "],\"finished\":[" + finished + "]}");
}

void worker::end_run(const std::string& task, const std::string& how)
{
    const running_task run = m_running.at(task);
    m_running.erase(task);
    m_seen.end(run.m_observed, how);
    m_ends.push_back({++m_end_count, task, run.m_number, how});
    m_closed[task] = std::max(m_closed[task], run.m_number);
}

void worker::advance()
{
    const long long now = now_ms();
    std::vector<std::pair<std::string, std::string>> ended;
    for (const auto& [task, run] : m_running) {
        if (run.m_stopped_at >= 0 && run.m_stopped_at + stop_ms / 2 <= now)
            ended.emplace_back(task, "stopped");
        else if (run.m_stopped_at < 0 && run.m_begin + run.m_duration <= now)
            ended.emplace_back(task, "done");
        else if (clock_ms() > m_deadline)
            ended.emplace_back(task, "lapsed");
    }
    for (const auto& [task, how] : ended)
        end_run(task, how);
}

void worker::tick_forever()
{
    while (m_is_up) {
        {
            const std::lock_guard lock(m_mutex);
            advance();
        }
        sleep_ms(2);
    }
}

int worker::report()
{
    const std::lock_guard one_at_a_time(m_report_mutex);
    std::string labels;
    for (const std::string& label : m_settings.m_labels)
        labels += std::string(labels.empty() ? "" : ",") + quote(label);
    const std::string state = m_is_draining ? "\"draining\",\"remaining_ms\":2000" : "\"ready\"";
    const std::string body =
        "{\"service\":" + quote(m_settings.m_service) + ",\"address\":" + quote(m_settings.m_address) +
        ",\"zone\":" + quote(m_settings.m_zone) + ",\"version\":\"v1\",\"slots\":8,\"state\":" + state +
        ",\"cold_left_ms\":0,\"capacity\":{\"cpu\":" + std::to_string(m_settings.m_cpu) +
        ",\"mem_mb\":65536,\"gpu\":0},\"labels\":[" + labels +
        "],\"clock_ms\":" + std::to_string(clock_ms()) + ",\"born\":" + std::to_string(m_born) +
        ",\"seq\":" + std::to_string(++m_sequence) + "}";
    const auto answer =
        call(m_settings.m_report_address, "POST", "/hawthornpin/instances/" + m_settings.m_id + "/heartbeat",
             {{"Host", m_settings.m_report_address}}, body, 1000);
    m_seen.lines().write("worker " + m_settings.m_id + " heartbeat " + std::to_string(m_sequence) +
                         (m_is_draining ? " (draining)" : "") + ": status " +
                         std::to_string(answer.m_status));
    return answer.m_status;
}

void worker::report_forever()
{
    long long next = now_ms() + m_settings.m_first_heartbeat_ms;
    while (m_is_up) {
        if (now_ms() < next) {
            sleep_ms(2);
            continue;
        }
        next += m_settings.m_heartbeat_ms;
        if (report() == 0)
            next = now_ms() + 300;
    }
}

long long worker::drain()
{
    m_is_draining = true;
    return report() == 200 ? now_ms() : -1;
}

int worker::deregister(bool is_connection_reset)
{
    const std::string body = "{\"born\":" + std::to_string(m_born) + "}";
    const auto peer = connect_to(m_settings.m_report_address);
    m_seen.lines().write("worker " + m_settings.m_id + " sends its deregistration");
    peer->send(format_request("POST", "/hawthornpin/instances/" + m_settings.m_id + "/deregister",
                              {{"Host", m_settings.m_report_address}}, body));
    if (is_connection_reset) {
        sleep_ms(1);
        peer->reset();
        m_seen.lines().write("the connection is reset before the acknowledgement arrives");
        return 0;
    }
    const int status = peer->read(false, 1000).value_or(http_message()).m_status;
    m_seen.lines().write("the deregistration is answered " + std::to_string(status));
    return status;
}

} // namespace review
