// Tests of the burst detector: what counts as a burst, and what does not.

#include "admission/burst_detector.h"

#include <doctest/doctest.h>

namespace hawthornpin {

namespace {

// Two queues whose jobs arrive evenly, 100 a second in each unless a test says otherwise.
class two_queues {
public:
    struct counts {
        int m_jobs = 0;
        int m_burst_jobs = 0;
        double share() const { return m_jobs == 0 ? 0 : 1.0 * m_burst_jobs / m_jobs; }
    };

    // Returns the counts of the queues a and b during this time.
    std::pair<counts, counts> run(int seconds, int per_second_a, int per_second_b)
    {
        std::pair<counts, counts> result;
        constexpr int ms_per_second = 1'000;
        for (int ms = 0; ms < seconds * ms_per_second; ++ms, m_now += milliseconds(1)) {
            arrive("a", per_second_a, ms, result.first);
            arrive("b", per_second_b, ms, result.second);
        }
        return result;
    }

private:
    void arrive(const std::string& queue, int per_second, int ms, counts& result)
    {
        constexpr int ms_per_second = 1'000;
        constexpr double work = 500;
        const int due = (ms + 1) * per_second / ms_per_second - ms * per_second / ms_per_second;
        for (int count = 0; count < due; ++count) {
            ++result.m_jobs;
            if (record_arrival(m_detector, queue, work, m_now))
                ++result.m_burst_jobs;
        }
    }

    burst_detector m_detector;
    instant m_now;
};

} // namespace

TEST_CASE_FIXTURE(two_queues, "a steady load is no burst")
{
    const auto [a, b] = run(60, 100, 100);
    CHECK(a.m_burst_jobs == 0);
    CHECK(b.m_burst_jobs == 0);
}

TEST_CASE_FIXTURE(two_queues, "of a queue that doubles its load, about the excess is a burst")
{
    run(20, 100, 100);
    const auto [a, b] = run(4, 200, 100);
    CHECK(a.share() > 0.3);
    CHECK(a.share() < 0.5);
    CHECK(b.m_burst_jobs == 0);
    const auto [later_a, later_b] = run(10, 100, 100);
    CHECK(later_a.share() < 0.1);
    CHECK(later_b.m_burst_jobs == 0);
}

TEST_CASE_FIXTURE(two_queues, "callers of all queues that move together are no burst")
{
    run(20, 100, 100);
    const auto [a, b] = run(10, 300, 300);
    CHECK(a.share() < 0.02);
    CHECK(b.share() < 0.02);
}

TEST_CASE_FIXTURE(two_queues, "a queue that has the service to itself has no bursts")
{
    run(20, 100, 0);
    CHECK(run(4, 400, 0).first.m_burst_jobs == 0);
}

TEST_CASE_FIXTURE(two_queues, "a growth that lasts becomes the usual load")
{
    run(20, 100, 100);
    run(600, 200, 100);
    CHECK(run(10, 200, 100).first.share() < 0.05);
}

TEST_CASE_FIXTURE(two_queues, "a load that is not known yet is no burst")
{
    CHECK(run(1, 10, 100).first.m_burst_jobs == 0);
    CHECK(run(1, 500, 100).first.m_burst_jobs == 0);
}

TEST_CASE("jobs of a burst rank behind all queues without one, and among themselves by priority")
{
    CHECK(burst_priority(0) > 100'000);
    CHECK(burst_priority(0) < burst_priority(2));
    CHECK(burst_priority(2'000'000'000) > burst_priority(2));
}

} // namespace hawthornpin
