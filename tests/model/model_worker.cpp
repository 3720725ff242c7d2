// The worker's half of the platform protocol, without the transport.

#include "tests/model/model_worker.h"

#include <algorithm>

namespace hawthornpin::model {

namespace {

// Limits that the platform guarantees: longest lease, longest time to stop a run, and drift of a worker's
// clock.
constexpr std::int64_t max_lease_ms = 1'000;
constexpr long long stop_ms = 50;
constexpr double clock_rate = 0.98;

} // namespace

void model_worker::begin_incarnation(long long now)
{
    m_is_up = true;
    m_is_draining = false;
    m_incarnation_started = now;
    m_report_sequence = 0;
    m_fence = 0;
    m_deadline_ms = 0;
    m_runs.clear();
    m_ends.clear();
    m_end_count = 0;
    m_closed.clear();
}

void model_worker::begin_incarnation(long long now, const resources& capacity)
{
    m_capacity = capacity;
    begin_incarnation(now);
}

std::int64_t model_worker::clock_ms(long long now) const
{
    return static_cast<std::int64_t>(static_cast<double>(now - m_incarnation_started) * clock_rate);
}

void model_worker::advance(long long now)
{
    if (!m_is_up)
        return;
    const bool has_lapsed = clock_ms(now) > m_deadline_ms;
    std::vector<std::pair<run_id, run_end>> ended;
    for (const auto& [id, run] : m_runs) {
        if (run.m_stopped_at && *run.m_stopped_at + stop_ms <= now)
            ended.emplace_back(id, run_end::stopped);
        else if (!run.m_stopped_at && run.m_ends <= now)
            ended.emplace_back(id, run_end::done);
        else if (has_lapsed)
            ended.emplace_back(id, run_end::lapsed);
    }
    for (const auto& [id, kind] : ended)
        end_run(id, kind);
}

bool model_worker::admit_fence(std::int64_t fence)
{
    if (fence < m_fence)
        return false;
    m_fence = fence;
    return true;
}

void model_worker::end_run(const run_id& run, run_end kind)
{
    m_runs.erase(run);
    m_ends.push_back({++m_end_count, run, kind});
    std::uint32_t& closed = m_closed[run.m_task];
    closed = std::max(closed, run.m_number);
}

start_answer model_worker::start(const run_order& order, std::int64_t fence, std::int64_t deadline_ms,
                                 long long duration, long long now)
{
    if (!admit_fence(fence))
        return start_answer::fenced;
    const std::int64_t deadline = std::min(deadline_ms, clock_ms(now) + max_lease_ms);
    m_deadline_ms = std::max(m_deadline_ms, deadline);
    if (m_runs.contains(order.m_run))
        return start_answer::started;
    if (deadline_ms < clock_ms(now))
        return start_answer::deadline_passed;
    const auto closed = m_closed.find(order.m_run.m_task);
    if (closed != m_closed.end() && closed->second >= order.m_run.m_number)
        return start_answer::run_too_old;
    m_runs[order.m_run] = {order.m_needs, now, now + duration, std::nullopt};
    return start_answer::started;
}

void model_worker::stop(const run_id& run, std::int64_t fence, long long now)
{
    if (!admit_fence(fence))
        return;
    std::uint32_t& closed = m_closed[run.m_task];
    closed = std::max(closed, run.m_number);
    const auto found = m_runs.find(run);
    if (found != m_runs.end() && !found->second.m_stopped_at)
        found->second.m_stopped_at = now;
}

bool model_worker::has_new_ends(std::int64_t last_seen) const
{
    return std::any_of(m_ends.begin(), m_ends.end(),
                       [last_seen](const listed_end& end) { return end.m_number > last_seen; });
}

bool model_worker::has_completed(const run_id& run) const
{
    return std::any_of(m_ends.begin(), m_ends.end(), [&run](const listed_end& end) {
        return end.m_run == run && end.m_end_kind == run_end::done;
    });
}

std::optional<run_listing> model_worker::list(const renewal& request, long long now)
{
    if (!admit_fence(request.m_fence))
        return std::nullopt;
    if (request.m_deadline_ms)
        m_deadline_ms =
            std::max(m_deadline_ms, std::min(*request.m_deadline_ms, clock_ms(now) + max_lease_ms));
    std::erase_if(m_ends, [&](const listed_end& end) { return end.m_number <= request.m_last_seen; });
    run_listing listing;
    listing.m_worker_clock_ms = clock_ms(now);
    listing.m_started_unix_ms = m_incarnation_started;
    listing.m_ended = m_ends;
    for (const auto& [id, run] : m_runs) {
        const auto percent = 100 * (now - run.m_started) / std::max(1LL, run.m_ends - run.m_started);
        if (!run.m_stopped_at)
            listing.m_running.push_back({id, static_cast<int>(percent)});
    }
    return listing;
}

worker_report model_worker::make_report(long long /*now*/)
{
    worker_report report;
    report.m_identity = {m_id, m_incarnation_started};
    report.m_service = "svc";
    report.m_capacity = m_capacity;
    report.m_is_draining = m_is_draining;
    report.m_sequence = ++m_report_sequence;
    return report;
}

std::vector<run_id> model_worker::occupying_runs() const
{
    std::vector<run_id> runs;
    for (const auto& [id, run] : m_runs)
        runs.push_back(id);
    return runs;
}

resources model_worker::used() const
{
    resources used;
    for (const auto& [id, run] : m_runs)
        used = used + run.m_needs;
    return used;
}

} // namespace hawthornpin::model
