// Draws jobs of the three kinds in the users' workload sheets, and makes the attempts.

#include "tests/soak/soak_callers.h"

#include <array>

namespace hawthornpin::soak {

namespace {

constexpr unsigned tick_ms = 5;
// Delay before a job without an answer, or with status 502 or 504, is submitted again.
constexpr unsigned resubmit_delay_ms = 1'300;
// Time that a caller waits for an answer.
constexpr unsigned min_wait_ms = 1'000;
constexpr unsigned max_wait_ms = 6'000;
constexpr unsigned usual_wait_ms = 1'500;
constexpr unsigned max_pause_ms = 1'500;
// Attempts of a caller for each job.
constexpr int attempts = 2;
constexpr unsigned max_connections = 400;

// One kind of request: its queue, its tasks and its share of all jobs.
struct job_kind {
    const char* m_queue;
    std::uint32_t m_tasks;
    long long m_duration_ms;
    double m_share;
};
constexpr std::array<job_kind, 3> job_kinds = {{
    {"wide", 8, 60, 0.24},
    {"long", 4, 900, 0.05},
    {"short", 2, 200, 0.71},
}};

const job_kind& draw_kind(random_source& random)
{
    double drawn = std::uniform_real_distribution<double>(0, 1)(random);
    for (const job_kind& kind : job_kinds) {
        if (drawn < kind.m_share)
            return kind;
        drawn -= kind.m_share;
    }
    return job_kinds.back();
}

} // namespace

soak_callers::soak_callers(std::vector<std::string> entries, std::uint64_t seed, double jobs_per_second,
                           soak_verifier& verifier)
    : m_entries(std::move(entries)), m_random(seed), m_behavior_random(~seed),
      m_jobs_per_second(jobs_per_second), m_verifier(verifier), m_http(max_connections)
{
}

void soak_callers::open_idle_connections(unsigned for_each_entry)
{
    for (const std::string& entry : m_entries) {
        for (unsigned count = 0; count < for_each_entry; ++count) {
            http_request request;
            request.m_method = "GET";
            request.m_url = "http://" + entry + "/short/";
            request.m_headers = {{"Host", "soak.example"}};
            m_tasks.add(m_idle_clients.emplace_back(1).send(request).ignoreResult());
        }
    }
}

void soak_callers::start()
{
    m_started = boot_now();
    m_tick = std::make_unique<timer>(tick_ms, [this] {
        submit_due();
        return !m_is_stopped;
    });
}

void soak_callers::submit_due()
{
    const double elapsed = std::chrono::duration<double>(boot_now() - m_started).count();
    const auto due = static_cast<std::size_t>(elapsed * m_jobs_per_second);
    for (; m_submitted < due; ++m_submitted)
        m_tasks.add(attempt(draw_job(), attempts));
}

soak_job soak_callers::draw_job()
{
    const job_kind& kind = draw_kind(m_random);
    const double factor = std::uniform_real_distribution<double>(0.6, 1.6)(m_random);
    const auto duration = static_cast<long long>(factor * static_cast<double>(kind.m_duration_ms));
    soak_job job = make_job(draw_job_id(m_random), kind.m_queue, kind.m_tasks, duration, kind.m_duration_ms);
    m_verifier.record_submitted(job.m_id, job.m_tasks);
    return job;
}

soak_callers::caller_behavior soak_callers::draw_behavior()
{
    auto is_one_in = [this](std::size_t count) { return random_below(m_behavior_random, count) == 0; };
    caller_behavior behavior;
    behavior.m_wait_ms = usual_wait_ms;
    if (is_one_in(3))
        behavior.m_wait_ms =
            min_wait_ms + static_cast<unsigned>(random_below(m_behavior_random, max_wait_ms - min_wait_ms));
    if (is_one_in(8))
        behavior.m_pause_ms = 1 + static_cast<unsigned>(random_below(m_behavior_random, max_pause_ms));
    // Nothing tells an entry that a caller has stopped waiting if it states no deadline and stays connected.
    if (is_one_in(5))
        return behavior;
    behavior.m_deadline_ms = behavior.m_wait_ms;
    behavior.m_leaves_connection_open = !is_one_in(3);
    return behavior;
}

kj::Promise<http_response> soak_callers::send(const soak_job& job, const caller_behavior& behavior)
{
    const std::string& entry = m_entries[random_below(m_random, m_entries.size())];
    const http_request request = make_submission(entry, job, behavior.m_deadline_ms);
    if (!behavior.m_leaves_connection_open && behavior.m_pause_ms == 0)
        return m_http.send_within(request, behavior.m_wait_ms);
    auto sent = behavior.m_pause_ms == 0 ? m_http.send(request)
                                         : send_in_halves(entry, request, after_delay(behavior.m_pause_ms));
    auto given_up = after_delay(behavior.m_wait_ms).then([] { return http_response(); });
    if (!behavior.m_leaves_connection_open)
        return sent.exclusiveJoin(kj::mv(given_up));
    // The request goes on without the caller, and its connection is used again after the answer.
    auto answer = sent.fork();
    m_tasks.add(answer.addBranch().ignoreResult());
    return answer.addBranch().exclusiveJoin(kj::mv(given_up));
}

kj::Promise<void> soak_callers::attempt(soak_job job, int attempts_left)
{
    constexpr unsigned ok = 200;
    constexpr unsigned too_many = 429;
    constexpr unsigned unavailable = 503;
    ++m_open_attempts;
    auto answer = send(job, draw_behavior());
    return answer.then(
        [this, job = std::move(job), attempts_left](http_response response) -> kj::Promise<void> {
            --m_open_attempts;
            const bool is_answered = response.m_transport == http_transport::answered;
            if (is_answered && response.m_status == ok) {
                if (response.m_body.find("completed") != std::string::npos)
                    m_verifier.record_completed(job.m_id);
                else
                    m_verifier.record_unanswered(job.m_id);
                return kj::READY_NOW;
            }
            if (is_answered && (response.m_status == too_many || response.m_status == unavailable)) {
                m_verifier.record_refused(job.m_id);
                return kj::READY_NOW;
            }
            m_verifier.record_unanswered(job.m_id);
            if (attempts_left <= 1 || m_is_stopped)
                return kj::READY_NOW;
            ++m_open_attempts;
            return after_delay(resubmit_delay_ms).then([this, job, attempts_left]() mutable {
                --m_open_attempts;
                return attempt(std::move(job), attempts_left - 1);
            });
        });
}

} // namespace hawthornpin::soak
