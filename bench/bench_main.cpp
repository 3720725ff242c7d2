// hawthornpin-bench: runs a seeded workload against running entries, verifies such a run, prints tables of
// results, or queries one process.

#include "bench/capacity.h"
#include "bench/judge.h"
#include "bench/load_client.h"
#include "bench/report.h"
#include "core/settings.h"

#include <boost/program_options.hpp>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

using namespace hawthornpin;
namespace options = boost::program_options;

std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> items;
    std::istringstream stream(text);
    for (std::string item; std::getline(stream, item, ',');)
        items.push_back(item);
    return items;
}

// get ADDRESS PATH [BODY]: prints the answer; a body makes it a POST.
int run_get(const std::vector<std::string>& arguments)
{
    if (arguments.size() < 3)
        return 2;
    constexpr unsigned first_error = 400;
    event_loop loop;
    http_client client(1);
    const std::string body = arguments.size() > 3 ? arguments[3] : "";
    const auto response = run_until_complete(
        loop,
        client.send({body.empty() ? "GET" : "POST", "http://" + arguments[1] + arguments[2], body, {}}));
    std::cout << response.m_body;
    return response.m_transport == http_transport::answered && response.m_status < first_error ? 0 : 1;
}

// judge: fails if a guarantee was violated.
int run_judge(const options::variables_map& values)
{
    const auto result = bench::verify_run(split(values["targets"].as<std::string>()),
                                          values["tickets"].as<std::string>(), "demo-ticket-key");
    std::cout << "tickets " << result.m_tickets << ", started tasks " << result.m_started_tasks
              << ", double starts " << result.m_double_starts << ", broken not_run "
              << result.m_broken_not_run << ", incomplete " << result.m_incomplete << ", unreachable targets "
              << result.m_unreachable_targets << '\n';
    return result.is_clean() ? 0 : 1;
}

int run_load(const options::variables_map& values)
{
    bench::workload_plan workload;
    workload.m_seed = values["seed"].as<std::uint64_t>();
    workload.m_length = milliseconds(values["length-ms"].as<int>());
    workload.m_slots = values["slots"].as<int>();
    workload.m_load = values["load"].as<double>();
    workload.m_shape = values["shape"].as<std::string>();
    workload.m_burst_load = values["burst-load"].as<double>();
    workload.m_burst_begin = milliseconds(values["burst-begin-ms"].as<int>());
    workload.m_burst_length = milliseconds(values["burst-length-ms"].as<int>());
    bench::client_plan plan;
    plan.m_entries = split(values["entries"].as<std::string>());
    plan.m_service = values["service"].as<std::string>();
    plan.m_keys = split(values["keys"].as<std::string>());
    plan.m_deadline = milliseconds(values["deadline-ms"].as<int>());
    plan.m_client_link = microseconds(values["client-link-us"].as<int>());
    workload.m_teams = plan.m_keys.size();
    const auto jobs = bench::draw_workload(workload);
    event_loop loop;
    bench::load_client client(loop, plan, jobs);
    client.run();
    const microseconds min_link_time =
        (plan.m_client_link + microseconds(values["process-link-us"].as<int>())) * 2;
    std::cout << bench::to_json({jobs, client.results(), workload.m_slots, min_link_time}) << '\n';
    if (values.count("tickets") != 0) {
        std::ofstream out(values["tickets"].as<std::string>());
        for (std::size_t job = 0; job < jobs.size(); ++job) {
            const bench::job_result& result = client.results()[job];
            // A refusal that leaves the ticket open says nothing about other submissions of the ticket.
            const std::string verdict = result.m_is_complete      ? "complete"
                                        : result.m_is_ticket_open ? "open"
                                                                  : result.m_verdict;
            if (!result.m_ticket.empty())
                out << result.m_ticket << ' ' << verdict << ' ' << jobs[job].m_run_times.size() << '\n';
        }
    }
    return 0;
}

} // namespace

int main(int argument_count, char** arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    options::options_description description("Usage: hawthornpin-bench load|judge [options] | capacity "
                                             "SLOPES | summary REPORT TITLE | get ADDRESS PATH [BODY]");
    auto add = description.add_options();
    add("help", "show this help");
    add("entries", options::value<std::string>()->default_value("127.0.0.1:21101"),
        "addresses at which the entries serve callers");
    add("service", options::value<std::string>()->default_value("circles"), "service");
    add("keys", options::value<std::string>()->default_value("quebec-demo-key"), "keys of the teams");
    add("seed", options::value<std::uint64_t>()->default_value(1), "seed of the workload");
    add("length-ms", options::value<int>()->default_value(10'000), "duration of the arrivals");
    add("slots", options::value<int>()->default_value(88), "slots of all workers");
    add("load", options::value<double>()->default_value(0.7), "offered work as a share of all slots");
    add("shape", options::value<std::string>()->default_value("one"),
        "shape of the jobs: one, mixed, noop or noop-wide");
    add("burst-load", options::value<double>()->default_value(0),
        "offered work of the first team during the burst, as a multiple of all slots");
    add("burst-begin-ms", options::value<int>()->default_value(5'000), "start of the burst");
    add("burst-length-ms", options::value<int>()->default_value(10'000), "duration of the burst");
    add("deadline-ms", options::value<int>()->default_value(30'000), "time limit of each job");
    add("client-link-us", options::value<int>()->default_value(0), "one-way latency of callers");
    add("process-link-us", options::value<int>()->default_value(0), "one-way latency between processes");
    add("targets", options::value<std::string>()->default_value(""),
        "addresses of the target stand-ins (judge)");
    add("tickets", options::value<std::string>(), "file for tickets and their verdicts");
    options::options_description hidden;
    hidden.add_options()("arguments", options::value<std::vector<std::string>>());
    options::options_description all;
    all.add(description).add(hidden);
    options::positional_options_description positional;
    positional.add("arguments", -1);
    options::variables_map values;
    try {
        options::store(
            options::command_line_parser(argument_count, arguments).options(all).positional(positional).run(),
            values);
    }
    catch (const options::error& error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
    const auto words = values.count("arguments") == 0 ? std::vector<std::string>()
                                                      : values["arguments"].as<std::vector<std::string>>();
    if (!words.empty() && words[0] == "get")
        return run_get(words);
    if (words.size() == 3 && words[0] == "summary") {
        last_reason why;
        const auto content = read_file(words[1], why);
        const auto summary = content ? bench::summarize(*content, words[2]) : std::nullopt;
        std::cout << summary.value_or("no report\n");
        return summary ? 0 : 1;
    }
    if (words.size() == 2 && words[0] == "capacity") {
        last_reason why;
        const auto tables = bench::make_capacity_tables(words[1], why);
        std::cout << tables.value_or("");
        std::cerr << why.text();
        return tables ? 0 : 1;
    }
    if (!words.empty() && words[0] == "judge")
        return run_judge(values);
    if (words.empty() || words[0] != "load" || values.count("help") != 0) {
        std::cout << description;
        return values.count("help") != 0 ? 0 : 2;
    }
    return run_load(values);
}
