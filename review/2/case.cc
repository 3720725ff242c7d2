// A worker with tasks at work is emptied and taken away.

#include "../stand_ins/deployment.hh"

#include <cstring>

using namespace review;

namespace {

// Bounds of the deployment.
constexpr long long drain_ms = 2000;
// The worker needs this long to end once its deregistration is acknowledged; a stop may take 50 ms.
constexpr long long end_ms = 40;
// The longest work of a booking-confirm.
constexpr long long work_ms = 3600;

// The longest time for which two runs of one task were at work.
long long find_overlap(const std::vector<observed_run>& runs)
{
    long long longest = 0;
    for (const observed_run& left : runs) {
        for (const observed_run& right : runs) {
            if (left.m_task != right.m_task || left.m_number >= right.m_number)
                continue;
            const long long left_end = left.m_end < 0 ? now_ms() : left.m_end;
            const long long right_end = right.m_end < 0 ? now_ms() : right.m_end;
            longest =
                std::max(longest, std::min(left_end, right_end) - std::max(left.m_begin, right.m_begin));
        }
    }
    return longest;
}

} // namespace

int main(int, char** arguments)
{
    record lines(arguments[1]);
    const bool has_trouble = std::strcmp(arguments[2], "0") != 0;
    const bool is_reset = std::strcmp(arguments[2], "2") == 0;
    deployment system(lines);
    if (!system.start({{"booking-confirm", "/booking/"}}))
        return conclude(lines, 2, "the deployment did not start");
    http_message answer;
    std::thread caller([&] {
        const std::string job = make_job("1600 " + std::to_string(work_ms), 4, 1600, work_ms);
        answer = system.submit(0, "/booking/00000000000000e1", job, 10'000);
    });
    sleep_ms(200);
    const auto first = system.m_seen.runs();
    if (first.empty()) {
        caller.join();
        return conclude(lines, 2, "no task started");
    }
    worker& leaving = system.find_worker(first.front().m_worker);
    if (has_trouble) {
        const long long acknowledged_at = leaving.drain();
        sleep_until(acknowledged_at + drain_ms + 300);
        leaving.deregister(is_reset);
        sleep_ms(is_reset ? 2'000 : end_ms);
        leaving.crash();
    }
    caller.join();
    const long long overlap = find_overlap(system.m_seen.runs());
    const std::string text = "TWICE: two runs of one task were at work at the same time for " +
                             std::to_string(overlap) + " ms; the job was answered " +
                             std::to_string(answer.m_status);
    return conclude(lines, overlap > 0 ? 1 : 0, text);
}
