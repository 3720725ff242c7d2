// hawthornpin-slow-bodies: many clients send large bodies to a real process, and most of them stop short of
// the end. Verifies that the process survives within its memory and its descriptors and that an ordinary job
// is answered. See tests/soak/run-slow-bodies.

#include "tests/soak/ordinary_job.h"
#include "tests/soak/process_watch.h"
#include "tests/soak/slow_clients.h"
#include "tests/soak/soak_configuration.h"
#include "tests/soak/soak_store.h"
#include "tests/soak/soak_worker.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <iostream>

namespace {

using namespace hawthornpin;
using namespace hawthornpin::soak;

namespace options = boost::program_options;

// Ports on every machine; run-slow-bodies writes them into the settings.
constexpr unsigned caller_port = 8161;
constexpr unsigned worker_port = 8165;
constexpr unsigned report_port = 8166;
constexpr unsigned readiness_port = 8167;
constexpr unsigned store_port = 8169;

// Only keep the test from hanging; the programs are ready, and a job is answered, within a second.
constexpr unsigned startup_limit_ms = 60'000;
constexpr unsigned job_limit_ms = 60'000;
constexpr unsigned load_limit_ms = 90'000;
// The load is complete once the clients have sent everything, or nothing has changed for this long.
constexpr unsigned unchanged_ms = 3'000;
constexpr unsigned check_ms = 20;

constexpr std::size_t max_body_bytes = 262'144;
constexpr std::size_t max_report_bytes = 4 * 1024 * 1024;
constexpr std::uint64_t bytes_per_mb = 1024 * 1024;
// Descriptors of `limits.max_fds` that are reserved for files.
constexpr std::size_t reserved_descriptors = 200;
// Share of the clients' input that the process may read between the arrival of a job and its answer. A
// process that serves its connections in turn reads a small part of it in that time; one that answers only
// after all input is read reads all.
constexpr std::uint64_t max_read_share_divisor = 4;
// In the cases with incomplete bodies, one client in this many sends its body completely.
constexpr std::size_t complete_interval = 16;

enum class completion { few, all };
enum class job_arrival { after_input, during_input };

struct slow_bodies_case {
    const char* m_name;
    const char* m_node;
    unsigned m_port;
    std::size_t m_clients;
    std::size_t m_body_bytes;
    body_form m_form;
    completion m_completion;
    job_arrival m_job_arrival;
};

// Where nothing bounds the bodies, 600 of them take an entry to 230 MB, and 60 reports an agent to 290 MB.
constexpr std::size_t many = 600;
constexpr std::size_t many_reports = 60;
// 90 MB of input, far more than a process reads while it has a job of 20 ms run.
constexpr std::size_t many_small_chunks = 60;
constexpr std::array<slow_bodies_case, 8> cases = {{
    {"whole", "entry-1", caller_port, many, max_body_bytes, body_form::whole, completion::few,
     job_arrival::after_input},
    {"in-pieces", "entry-1", caller_port, many, max_body_bytes, body_form::in_pieces, completion::few,
     job_arrival::after_input},
    {"large-chunks", "entry-1", caller_port, many, max_body_bytes, body_form::large_chunks, completion::few,
     job_arrival::after_input},
    {"small-chunks", "entry-1", caller_port, many_small_chunks, max_body_bytes, body_form::small_chunks,
     completion::few, job_arrival::during_input},
    {"not-a-job", "entry-1", caller_port, many, max_body_bytes, body_form::whole, completion::all,
     job_arrival::after_input},
    {"single-small-chunks", "entry-1", caller_port, 1, max_body_bytes, body_form::small_chunks,
     completion::all, job_arrival::after_input},
    {"agent-reports", "agent-1", report_port, many_reports, max_report_bytes, body_form::whole,
     completion::few, job_arrival::after_input},
    {"readiness", "entry-1", readiness_port, many, max_body_bytes, body_form::whole, completion::few,
     job_arrival::after_input},
}};

struct run_settings {
    std::string m_network;
    std::string m_directory;
    std::uint64_t m_memory_mb = 0;
    std::size_t m_max_fds = 0;
    const slow_bodies_case* m_case = nullptr;

    std::string entry_address() const { return m_network + ".1.1:" + std::to_string(caller_port); }
    std::string agent_ip(unsigned number) const { return m_network + ".2." + std::to_string(number); }
    std::string target_ip() const { return m_case->m_port == report_port ? agent_ip(1) : m_network + ".1.1"; }
};

class slow_bodies_run {
public:
    slow_bodies_run(const run_settings& settings, unsigned agents)
        : m_settings(settings), m_agents(agents), m_random(1),
          m_single_job(make_job(draw_job_id(m_random), "short", 1, 1, 1)),
          m_clients(settings.target_ip() + ":" + std::to_string(settings.m_case->m_port), make_request(),
                    settings.m_case->m_clients),
          m_watch({settings.m_directory + "/" + settings.m_case->m_node + ".pid", settings.target_ip(),
                   settings.m_case->m_port, worker_port},
                  m_clients),
          m_first_job(settings.entry_address(), m_random, m_verifier),
          m_last_job(settings.entry_address(), m_random, m_verifier)
    {
        m_verifier.record_submitted(m_single_job.m_id, m_single_job.m_tasks);
    }

    bool start(last_reason& why)
    {
        m_store.append("keyed.op", "config", make_configuration());
        if (!m_store.listen(m_settings.m_network + ".0.1:" + std::to_string(store_port), why))
            return false;
        for (unsigned number = 1; number <= m_agents; ++number) {
            const std::string ip = m_settings.agent_ip(number);
            m_workers.push_back(std::make_unique<soak_worker>("worker-of-agent-" + std::to_string(number),
                                                              "z", ip + ":" + std::to_string(report_port),
                                                              m_verifier));
            if (!m_workers.back()->listen(ip + ":" + std::to_string(worker_port), why))
                return false;
        }
        return true;
    }

    // Fulfilled with whether the test passed.
    kj::Promise<bool> run()
    {
        return m_first_job.complete_within(startup_limit_ms, [] {})
            .then([this](bool is_completed) -> kj::Promise<bool> {
                if (!is_completed) {
                    std::cout << "the programs did not complete a job without the clients\n";
                    return false;
                }
                m_watch.start();
                m_memory_before = m_watch.peak_memory();
                m_clients.start();
                return send_load().then([this] { return complete_last_job(); }).then([this](bool) {
                    return report_result();
                });
            });
    }

private:
    bool is_single() const { return m_settings.m_case->m_clients == 1; }

    slow_request make_request() const
    {
        const slow_bodies_case& played = *m_settings.m_case;
        std::string target = "POST /short/" + m_single_job.m_id;
        if (played.m_port == report_port)
            target = "POST /hawthornpin/instances/worker-of-agent-1/heartbeat";
        else if (played.m_port == readiness_port)
            target = "POST /hawthornpin/ready";
        return make_slow_request(target, "soak.example",
                                 pad_object(is_single() ? m_single_job.m_body : "{}", played.m_body_bytes),
                                 played.m_form);
    }

    // Fulfilled when the last job is to be submitted.
    kj::Promise<void> send_load()
    {
        if (m_settings.m_case->m_job_arrival == job_arrival::during_input)
            return wait_until([this] { return m_clients.have_all_connected(); }, load_limit_ms);
        return wait_until(
                   [this] { return m_clients.have_all_sent() && m_watch.queued().m_unread_bytes == 0; },
                   load_limit_ms)
            .then([this] {
                const bool is_complete = m_settings.m_case->m_completion == completion::all;
                m_clients.complete_one_in(is_complete ? 1 : complete_interval);
                const std::size_t expected =
                    is_complete ? m_clients.size() : m_clients.size() / complete_interval;
                return wait_until([this, expected] { return m_clients.count_answered() >= expected; },
                                  load_limit_ms);
            });
    }

    // Waits until `is_done`, the limit is over or nothing has changed for a while.
    kj::Promise<void> wait_until(std::function<bool()> is_done, unsigned limit_ms, unsigned unchanged = 0)
    {
        const std::array<std::uint64_t, 4> progress = {
            m_clients.written(), m_clients.count_closed(), m_clients.count_answered(),
            m_watch.queued().m_unread_bytes + m_watch.queued().m_unsent_bytes};
        unchanged = progress == m_progress ? unchanged + check_ms : 0;
        m_progress = progress;
        if (is_done() || limit_ms < check_ms || unchanged >= unchanged_ms)
            return kj::READY_NOW;
        return after_delay(check_ms).then(
            [this, is_done = std::move(is_done), limit_ms, unchanged]() mutable {
                return wait_until(std::move(is_done), limit_ms - check_ms, unchanged);
            });
    }

    kj::Promise<bool> complete_last_job()
    {
        m_watch.sample();
        m_read_before_job = m_watch.input_read();
        m_read_at_answer = m_read_before_job;
        return m_last_job.complete_within(job_limit_ms, [this] { record_answer(); })
            .then([this](bool is_completed) {
                m_watch.sample();
                if (!is_completed)
                    record_answer();
                m_is_job_completed = is_completed;
                return is_completed;
            });
    }

    // Keeps the most input that was read while a submission waited for its answer.
    void record_answer()
    {
        m_watch.sample();
        m_most_read = std::max(m_most_read, m_watch.input_read() - m_read_at_answer);
        m_read_at_answer = m_watch.input_read();
    }

    void check(bool is_met, const char* requirement)
    {
        if (is_met)
            return;
        std::cout << "violated: " << requirement << '\n';
        m_is_passed = false;
    }

    void print_measurement() const
    {
        const auto mb = [](std::uint64_t bytes) { return bytes / bytes_per_mb; };
        std::cout << m_settings.m_case->m_name << ": " << mb(m_watch.peak_memory()) << " of "
                  << m_settings.m_memory_mb << " MB (" << mb(m_watch.unread_at_peak()) << " unread, at first "
                  << mb(m_memory_before) << "), " << m_watch.peak_descriptors() << " of "
                  << m_settings.m_max_fds - reserved_descriptors << " descriptors, job "
                  << (m_is_job_completed ? "completed" : "not completed") << " after "
                  << m_last_job.submissions() << " submissions, " << mb(m_most_read) << " of "
                  << mb(m_clients.total_bytes())
                  << " MB of input read before an answer; clients: " << m_clients.count_connected()
                  << " connected, " << m_clients.summary() << '\n';
    }

    bool report_result()
    {
        constexpr unsigned ok = 200;
        print_measurement();
        check(m_watch.is_same_process(), "the process has ended");
        check(m_watch.peak_memory() <= m_settings.m_memory_mb * bytes_per_mb,
              "resident memory and unread input exceed the machine's memory");
        check(m_watch.peak_descriptors() + reserved_descriptors <= m_settings.m_max_fds,
              "open descriptors exceed what is not reserved for files");
        check(m_is_job_completed, "an ordinary job was not completed");
        if (m_settings.m_case->m_job_arrival == job_arrival::during_input)
            check(m_most_read * max_read_share_divisor <= m_clients.total_bytes(),
                  "an ordinary job waited for more than a quarter of the clients' input to be read");
        if (is_single())
            check(m_clients.count_answered(ok) == 1, "the single body was not served");
        // Otherwise the limits were not put to the test.
        check(2 * m_clients.count_connected() >= m_clients.size(),
              "fewer than half of the clients connected");
        m_verifier.check_refusals();
        check(m_verifier.violation().empty(), m_verifier.violation().c_str());
        return m_is_passed;
    }

    run_settings m_settings;
    unsigned m_agents;
    random_source m_random;
    soak_verifier m_verifier;
    soak_store m_store;
    std::vector<std::unique_ptr<soak_worker>> m_workers;
    // What the client submits in the case with a single body.
    soak_job m_single_job;
    slow_clients m_clients;
    process_watch m_watch;
    ordinary_job m_first_job;
    ordinary_job m_last_job;
    std::uint64_t m_memory_before = 0;
    std::uint64_t m_read_before_job = 0;
    std::uint64_t m_read_at_answer = 0;
    std::uint64_t m_most_read = 0;
    bool m_is_job_completed = false;
    bool m_is_passed = true;
    std::array<std::uint64_t, 4> m_progress{};
};

run_settings read_settings(int argument_count, char** arguments)
{
    run_settings settings;
    std::string name;
    options::options_description description("Options");
    auto add = description.add_options();
    add("network", options::value(&settings.m_network)->required(), "first two parts of all addresses");
    add("directory", options::value(&settings.m_directory)->required(), "folder of the process id files");
    add("case", options::value(&name)->required(), "the case to play");
    add("memory-mb", options::value(&settings.m_memory_mb)->required(), "limits.memory_mb of the programs");
    add("max-fds", options::value(&settings.m_max_fds)->required(), "limits.max_fds of the programs");
    options::variables_map values;
    options::store(options::parse_command_line(argument_count, arguments, description), values);
    options::notify(values);
    const auto* found = std::find_if(cases.begin(), cases.end(), [&name](const slow_bodies_case& played) {
        return played.m_name == name;
    });
    if (found == cases.end())
        throw options::error("no such case: " + name);
    settings.m_case = found;
    return settings;
}

} // namespace

int main(int argument_count, char** arguments)
{
    // run-slow-bodies starts as many.
    constexpr unsigned agents = 2;
    std::signal(SIGPIPE, SIG_IGN);
    try {
        const run_settings settings = read_settings(argument_count, arguments);
        event_loop loop;
        slow_bodies_run run(settings, agents);
        last_reason why;
        if (!run.start(why)) {
            std::cerr << why.text() << '\n';
            return 1;
        }
        return run_until_complete(loop, run.run()) ? 0 : 1;
    }
    catch (const options::error& error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
}
