// Repeats the submission.

#include "tests/soak/ordinary_job.h"

namespace hawthornpin::soak {

namespace {

constexpr std::uint32_t tasks = 1;
constexpr long long task_ms = 20;
// Delay of a repeated submission: after a refusal, and where the job may have run.
constexpr unsigned refused_delay_ms = 200;
constexpr unsigned resubmit_delay_ms = 1'300;

bool is_refused(const http_response& response)
{
    constexpr unsigned too_many = 429;
    constexpr unsigned unavailable = 503;
    return response.m_transport == http_transport::answered &&
           (response.m_status == too_many || response.m_status == unavailable);
}

} // namespace

ordinary_job::ordinary_job(std::string entry, random_source& random, soak_verifier& verifier)
    : m_entry(std::move(entry)), m_job(make_job(draw_job_id(random), "short", tasks, task_ms, task_ms)),
      m_verifier(verifier)
{
    m_verifier.record_submitted(m_job.m_id, m_job.m_tasks);
}

kj::Promise<bool> ordinary_job::complete_within(unsigned limit_ms, std::function<void()> on_answer)
{
    m_on_answer = std::move(on_answer);
    return submit().exclusiveJoin(after_delay(limit_ms).then([] { return false; }));
}

kj::Promise<bool> ordinary_job::submit()
{
    ++m_submissions;
    return http_client(1)
        .send(make_submission(m_entry, m_job, std::nullopt))
        .then([this](const http_response& response) -> kj::Promise<bool> {
            if (response.m_transport == http_transport::answered) {
                m_is_answered = true;
                m_on_answer();
            }
            if (is_completed(response)) {
                m_verifier.record_completed(m_job.m_id);
                return true;
            }
            const bool is_not_run = is_refused(response) || is_unsent(response.m_transport);
            if (is_not_run)
                m_verifier.record_refused(m_job.m_id);
            else
                m_verifier.record_unanswered(m_job.m_id);
            return after_delay(is_not_run ? refused_delay_ms : resubmit_delay_ms).then([this] {
                return submit();
            });
        });
}

} // namespace hawthornpin::soak
