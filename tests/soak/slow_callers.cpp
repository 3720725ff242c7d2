// Draws the bodies and sends them.

#include "tests/soak/slow_callers.h"

#include "tests/soak/soak_requests.h"

#include <algorithm>
#include <array>

namespace hawthornpin::soak {

namespace {

// Few connections, so that the ordinary load is still served, but enough for a body to be answered before it
// is among the oldest.
constexpr std::size_t max_bodies = 24;
constexpr std::size_t min_body_bytes = 4'096;
constexpr std::size_t max_body_bytes = 262'144;
constexpr std::uint32_t tasks = 2;
constexpr long long task_ms = 60;
// One body in this many is sent completely, after a pause.
constexpr std::size_t complete_interval = 4;
constexpr std::size_t max_pause_ms = 1'500;
// Time that a caller waits for an answer.
constexpr unsigned wait_ms = 3'000;
constexpr std::array<body_form, 4> forms = {body_form::whole, body_form::in_pieces, body_form::large_chunks,
                                            body_form::small_chunks};

} // namespace

slow_callers::slow_callers(std::vector<std::string> entries, std::uint64_t seed, double bodies_per_second,
                           soak_verifier& verifier)
    : m_entries(std::move(entries)), m_random(seed), m_bodies_per_second(bodies_per_second),
      m_verifier(verifier)
{
}

void slow_callers::start()
{
    constexpr double second_ms = 1'000;
    if (m_bodies_per_second <= 0)
        return;
    m_tick = std::make_unique<timer>(static_cast<unsigned>(second_ms / m_bodies_per_second), [this] {
        if (!m_is_stopped)
            send_body();
        return !m_is_stopped;
    });
}

void slow_callers::send_body()
{
    const std::string& entry = m_entries[random_below(m_random, m_entries.size())];
    const body_form form = forms[random_below(m_random, forms.size())];
    const std::size_t size = min_body_bytes + random_below(m_random, max_body_bytes - min_body_bytes);
    const bool is_completed = random_below(m_random, complete_interval) == 0;
    const auto pause_ms = static_cast<unsigned>(random_below(m_random, max_pause_ms));
    const soak_job job = make_job(draw_job_id(m_random), "short", tasks, task_ms, task_ms);
    m_verifier.record_submitted(job.m_id, job.m_tasks);
    if (m_bodies.size() == max_bodies)
        m_bodies.pop_front();
    const auto request = std::make_shared<const slow_request>(make_slow_request(
        "POST /" + job.m_queue + "/" + job.m_id, "soak.example", pad_object(job.m_body, size), form));
    auto client = std::make_unique<slow_client>(entry, request);
    auto progress = client->send();
    if (is_completed)
        progress = complete(kj::mv(progress), *client, job.m_id, pause_ms);
    else
        // Whatever the entry answers, the job must not start.
        m_verifier.record_refused(job.m_id);
    m_bodies.push_back({std::move(client), progress.eagerlyEvaluate(nullptr)});
}

kj::Promise<void> slow_callers::complete(kj::Promise<void> sent, slow_client& client, const std::string& job,
                                         unsigned pause_ms)
{
    return sent.then([pause_ms] { return after_delay(pause_ms); })
        .then([&client] { return client.complete(); })
        .then([] { return after_delay(wait_ms); })
        .then([this, &client, job] { record_answer(client, job); });
}

void slow_callers::record_answer(const slow_client& client, const std::string& job)
{
    constexpr std::array<unsigned, 4> refusals = {408, 413, 429, 503};
    if (std::find(refusals.begin(), refusals.end(), client.status()) != refusals.end())
        m_verifier.record_refused(job);
    else if (client.response().find("completed") != std::string::npos)
        m_verifier.record_completed(job);
    else
        m_verifier.record_unanswered(job);
}

} // namespace hawthornpin::soak
