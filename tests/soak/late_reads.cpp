// The steps of a round and their times.

#include "tests/soak/late_reads.h"

#include "core/instant.h"

#include <csignal>

namespace hawthornpin::soak {

namespace {

constexpr unsigned deadline_ms = 1'500;
constexpr unsigned resubmit_delay_ms = 1'300;
// The suspended entry resumes this long after the jobs were submitted again.
constexpr unsigned min_resume_ms = 50;
constexpr unsigned max_resume_ms = 300;
// Time for a step to take effect in the entry before the next one.
constexpr unsigned step_ms = 50;
constexpr unsigned rest_ms = 400;
constexpr std::uint32_t tasks_per_job = 3;
constexpr long long task_ms = 900;
// Jobs of each round that are sent on a new connection, on a kept one, and half of them before the
// suspension.
constexpr std::size_t jobs_per_form = 2;

http_request make_count_request(const std::string& entry)
{
    http_request request;
    request.m_method = "GET";
    request.m_url = "http://" + entry + "/long/";
    request.m_headers = {{"Host", "soak.example"}};
    return request;
}

} // namespace

soak_job late_reads::draw_job()
{
    soak_job job = make_job(draw_job_id(m_random), "long", tasks_per_job, task_ms, task_ms);
    m_verifier.record_submitted(job.m_id, job.m_tasks);
    ++m_submitted;
    m_jobs.push_back(job);
    return job;
}

kj::Promise<void> late_reads::play_rounds(std::size_t count)
{
    kj::Promise<void> rounds = kj::READY_NOW;
    for (std::size_t round = 0; round < count; ++round)
        rounds = rounds.then([this, round] { return play_round(round); });
    return rounds;
}

kj::Promise<void> late_reads::play_round(std::size_t round)
{
    const std::size_t suspended = round % m_entries.size();
    const std::string name = "entry-" + std::to_string(suspended + 1);
    const std::string first = m_entries[suspended];
    // Not the one that is suspended next.
    const std::string second = m_entries[(suspended + m_entries.size() - 1) % m_entries.size()];
    const auto resume_ms =
        min_resume_ms + static_cast<unsigned>(random_below(m_random, max_resume_ms - min_resume_ms));
    m_jobs.clear();
    for (std::size_t index = 0; index < jobs_per_form; ++index) {
        const soak_job job = draw_job();
        add_first_submission(
            job, send_in_halves(first, make_submission(first, job, deadline_ms), after_delay(2 * step_ms)));
        m_kept.emplace_back(1);
        m_tasks.add(m_kept.back().send(make_count_request(first)).ignoreResult());
    }
    return after_delay(step_ms)
        .then([this, name] {
            m_processes.send_signal(name, SIGSTOP);
            return after_delay(step_ms);
        })
        .then([this, first] {
            for (std::size_t index = 0; index < jobs_per_form; ++index) {
                const soak_job kept = draw_job();
                http_client& connection = m_kept[m_kept.size() - 1 - index];
                add_first_submission(kept, connection.send(make_submission(first, kept, deadline_ms)));
                const soak_job fresh = draw_job();
                add_first_submission(fresh, http_client(1).send(make_submission(first, fresh, deadline_ms)));
            }
            return after_delay(deadline_ms + resubmit_delay_ms);
        })
        .then([this, second, resume_ms] {
            for (const soak_job& job : m_jobs)
                submit_again(job, second);
            return after_delay(resume_ms);
        })
        .then([this, name] {
            m_processes.send_signal(name, SIGCONT);
            return after_delay(rest_ms);
        });
}

void late_reads::add_first_submission(const soak_job& job, kj::Promise<http_response> answer)
{
    m_verifier.record_unanswered(job.m_id);
    const instant sent_at = boot_now();
    m_tasks.add(answer.then([this, sent_at](const http_response& response) {
        const bool is_late = sent_at + milliseconds(deadline_ms + resubmit_delay_ms) < boot_now();
        if (response.m_transport == http_transport::answered && is_late)
            ++m_read_late;
    }));
}

void late_reads::submit_again(const soak_job& job, const std::string& entry)
{
    auto sent = http_client(1).send(make_submission(entry, job, deadline_ms));
    m_tasks.add(sent.then([this, id = job.m_id](const http_response& response) {
        if (!is_completed(response))
            return;
        ++m_completed;
        m_verifier.record_completed(id);
    }));
}

bool late_reads::is_conclusive() const
{
    constexpr std::size_t min_share = 6;
    return m_read_late > 0 && min_share * m_read_late >= m_submitted &&
           min_share * m_completed >= m_submitted;
}

std::string late_reads::summary() const
{
    return std::to_string(m_submitted) + " jobs submitted twice, " + std::to_string(m_read_late) +
           " of the first submissions read late, " + std::to_string(m_completed) +
           " of the second ones completed";
}

} // namespace hawthornpin::soak
