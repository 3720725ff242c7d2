// A request that submits a job arrives again seconds after the job was cancelled and answered. With TROUBLE=2
// instead: a client moves to another zone and cancels its job there, at another entry.

#include "../stand_ins/deployment.hh"

#include <cstring>

using namespace review;

namespace {

// Bounds of the deployment.
constexpr long long cancel_ms = 3000;
constexpr long long stop_ms = 50;
// The mean work of a booking-confirm, and the most.
constexpr long long work_ms = 900;
constexpr long long longest_work_ms = 3600;
// The repeated request arrives this long after the answer to the first.
constexpr long long repeated_after_ms = 4000;

const char* const job_id = "00000000000000d1";

struct late_work {
    int m_started = 0;
    int m_ran_on = 0;
};

late_work count_late_work(const std::vector<observed_run>& runs, long long acknowledged_at)
{
    late_work late;
    for (const observed_run& run : runs) {
        const bool is_of_job = run.m_task.starts_with(job_id);
        late.m_started += is_of_job && run.m_begin > acknowledged_at + cancel_ms ? 1 : 0;
        late.m_ran_on +=
            is_of_job && (run.m_end < 0 || run.m_end > acknowledged_at + cancel_ms + stop_ms) ? 1 : 0;
    }
    return late;
}

} // namespace

int main(int, char** arguments)
{
    record lines(arguments[1]);
    const bool is_repeated = std::strcmp(arguments[2], "1") == 0;
    const bool has_moved = std::strcmp(arguments[2], "2") == 0;
    deployment system(lines);
    if (!system.start({{"booking-confirm", "/booking/"}}))
        return conclude(lines, 2, "the deployment did not start");
    const std::string path = std::string("/booking/") + job_id;
    const std::string other = "/booking/00000000000000d2";
    const long long work = has_moved ? longest_work_ms : work_ms;
    const long long deadline = has_moved ? 10'000 : 1'500;
    const std::string job = make_job("1600 " + std::to_string(work), 4, 1600, work);
    std::thread first([&] { system.submit(0, path, job, deadline); });
    std::thread second([&] { system.submit(0, other, job, deadline); });
    sleep_ms(200);
    // The connection of the submission stays with its node; a new one goes to a node of the client's zone.
    if (has_moved)
        lines.write("one of the two clients of this zone moves to the zone of entry-1");
    const auto cancelled = system.cancel(has_moved ? 1 : 0, path);
    const long long acknowledged_at = now_ms();
    first.join();
    second.join();
    sleep_until(acknowledged_at + repeated_after_ms);
    if (is_repeated) {
        lines.write("the request that submitted the job arrives again");
        system.submit(0, path, job, deadline);
    }
    if (system.m_seen.runs().empty() || (cancelled.m_status != 200 && cancelled.m_status != 410))
        return conclude(lines, 2, "no task ran, or the cancelling was not acknowledged");
    const late_work late = count_late_work(system.m_seen.runs(), acknowledged_at);
    return conclude(lines, late.m_started + late.m_ran_on > 0 ? 1 : 0,
                    "UNASKED: the DELETE was answered " + std::to_string(cancelled.m_status) + "; " +
                        std::to_string(late.m_started) + " tasks of the job started over " +
                        std::to_string(cancel_ms) + " ms after that, and " + std::to_string(late.m_ran_on) +
                        " were at work " + std::to_string(cancel_ms + stop_ms) + " ms after it or later");
}
