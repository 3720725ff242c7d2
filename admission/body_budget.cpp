// Reservation, eviction and timeouts of request bodies.

#include "admission/body_budget.h"

#include <algorithm>

namespace hawthornpin {

namespace {

// The body that has been in progress longest, other than `id`; empty if it is too young to be evicted.
std::optional<std::uint64_t> choose_evicted(const body_budget& budget, std::uint64_t id, instant running_time)
{
    const auto oldest = std::find_if(budget.m_bodies.begin(), budget.m_bodies.end(),
                                     [id](const auto& entry) { return entry.first != id; });
    if (oldest == budget.m_bodies.end() ||
        oldest->second.m_began_at + budget.m_limits.m_protected_for > running_time)
        return std::nullopt;
    return oldest->first;
}

reason find_overrun(const body_limits& limits, const body_in_progress& body, instant running_time)
{
    if (body.m_progressed_at + limits.m_stall_timeout <= running_time)
        return reason::body_stalled;
    if (body.m_began_at + limits.m_total_timeout <= running_time)
        return reason::body_too_slow;
    return reason::none;
}

} // namespace

instant activity_clock::observe(instant now)
{
    constexpr microseconds max_step = std::chrono::seconds(1);
    const microseconds gap = now - m_observed_at.value_or(now);
    m_observed_at = now;
    m_running_time += std::clamp(gap, microseconds(0), max_step);
    return m_running_time;
}

std::uint64_t begin_body(body_budget& budget, instant now)
{
    const instant running_time = budget.m_clock.observe(now);
    const std::uint64_t id = budget.m_next_id++;
    budget.m_bodies[id] = {0, running_time, running_time};
    return id;
}

reservation reserve_body(body_budget& budget, std::uint64_t id, std::size_t bytes, instant now)
{
    const instant running_time = budget.m_clock.observe(now);
    const auto found = budget.m_bodies.find(id);
    if (found == budget.m_bodies.end())
        return {};
    reservation result;
    const std::size_t growth = std::max(bytes, found->second.m_bytes) - found->second.m_bytes;
    const auto fits = [&] {
        return budget.m_bodies.size() == 1 || budget.m_bytes + growth <= budget.m_limits.m_max_bytes;
    };
    while (!fits()) {
        const auto evicted = choose_evicted(budget, id, running_time);
        if (!evicted)
            return result;
        end_body(budget, *evicted);
        result.m_evicted.push_back(*evicted);
    }
    found->second.m_bytes += growth;
    budget.m_bytes += growth;
    result.m_is_granted = true;
    return result;
}

void record_body_progress(body_budget& budget, std::uint64_t id, instant now)
{
    const instant running_time = budget.m_clock.observe(now);
    const auto found = budget.m_bodies.find(id);
    if (found != budget.m_bodies.end())
        found->second.m_progressed_at = running_time;
}

void end_body(body_budget& budget, std::uint64_t id)
{
    const auto found = budget.m_bodies.find(id);
    if (found == budget.m_bodies.end())
        return;
    budget.m_bytes -= found->second.m_bytes;
    budget.m_bodies.erase(found);
}

std::vector<overdue_body> take_overdue_bodies(body_budget& budget, instant now)
{
    const instant running_time = budget.m_clock.observe(now);
    std::vector<overdue_body> overdue;
    for (const auto& [id, body] : budget.m_bodies) {
        const reason why = find_overrun(budget.m_limits, body, running_time);
        if (why != reason::none)
            overdue.push_back({id, why});
    }
    for (const overdue_body& ended : overdue)
        end_body(budget, ended.m_id);
    return overdue;
}

} // namespace hawthornpin
