// A worker runs a task and its answer is lost; the repeated start is answered 503.

#include "../stand_ins/deployment.hh"

#include <cstring>

using namespace review;

namespace {

constexpr int job_count = 200;
constexpr long long job_interval_ms = 50;
// The mean work of a seat-hold, and that of every tenth here; the most is 240.
constexpr long long work_ms = 60;
constexpr long long long_work_ms = 150;
// One of the first 40 answers or more is lost: 2.5%.
constexpr int least_starts = 40;
// The agent repeats a start that was not answered after 100 ms, unless a listing shows the run before.
constexpr long long repeated_after_ms = 110;

std::string job_id(int number)
{
    return "00000000000f" + std::to_string(1000 + number);
}

} // namespace

int main(int, char** arguments)
{
    record lines(arguments[1]);
    const bool has_trouble = std::strcmp(arguments[2], "0") != 0;
    deployment system(lines);
    if (!system.start({{"seat-hold", "/seat/"}}))
        return conclude(lines, 2, "the deployment did not start");
    std::mutex mutex;
    int starts = 0;
    std::string affected_run;
    int starts_of_run = 0;
    for (const auto& started : system.m_workers) {
        worker& here = *started;
        here.set_interceptor(
            [&](const http_message& request, connection& from) -> std::optional<std::string> {
                if (request.m_path != "/hawthornpin/run-start")
                    return std::nullopt;
                const std::string task = json_text(request.m_body, "task");
                const bool is_long =
                    json_text(request.m_body, "spec").ends_with(" " + std::to_string(long_work_ms));
                int number = 0;
                {
                    const std::lock_guard lock(mutex);
                    ++starts;
                    if (has_trouble && affected_run.empty() && is_long && starts > least_starts &&
                        here.hold_left() > repeated_after_ms)
                        affected_run = task;
                    if (affected_run.empty() || task != affected_run)
                        return std::nullopt;
                    number = ++starts_of_run;
                }
                if (number == 1) {
                    here.run_start(request.m_body);
                    lines.write("the answer to this start is lost");
                    from.keep_silent();
                    return "";
                }
                if (number > 2)
                    return std::nullopt;
                lines.write("the repeated start of " + task + " is answered 503");
                return format_response(503, "{}");
            });
    }
    std::vector<int> status(job_count, 0);
    std::vector<std::thread> callers;
    const long long begin = now_ms();
    for (int number = 0; number < job_count; ++number) {
        sleep_until(begin + number * job_interval_ms);
        callers.emplace_back([&, number] {
            const long long work = number % 10 == 9 ? long_work_ms : work_ms;
            const std::string job = make_job("1600 " + std::to_string(work), 1, 1600, work_ms);
            status[static_cast<std::size_t>(number)] =
                system.submit(number % deployment::entry_count, "/seat/" + job_id(number), job, 1500)
                    .m_status;
        });
    }
    for (std::thread& caller : callers)
        caller.join();
    int refused = 0;
    int refused_and_started = 0;
    int completed = 0;
    for (int number = 0; number < job_count; ++number) {
        const int answer = status[static_cast<std::size_t>(number)];
        completed += answer == 200 ? 1 : 0;
        const bool is_refused = answer == 429 || answer == 503;
        refused += is_refused ? 1 : 0;
        for (const observed_run& run : system.m_seen.runs())
            refused_and_started += is_refused && run.m_task.starts_with(job_id(number)) ? 1 : 0;
    }
    if (completed == 0 || (has_trouble && starts_of_run < 2))
        return conclude(lines, 2, "no job was completed, or no start was affected");
    return conclude(lines, refused_and_started > 0 ? 1 : 0,
                    "REFUSED: " + std::to_string(refused_and_started) + " tasks started of the " +
                        std::to_string(refused) + " jobs that were refused; " + std::to_string(completed) +
                        " of " + std::to_string(job_count) + " completed; " + std::to_string(starts) +
                        " starts were sent");
}
