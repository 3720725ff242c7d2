// Updates and queries of the estimated loads.

#include "routing/load_view.h"

#include <algorithm>

namespace hawthornpin {

void update_member(load_view& view, const member& known)
{
    const announcement& announced = known.m_announcement;
    const std::string& id = announced.m_worker.identity().m_id;
    auto found = view.find(id);
    if (found == view.end() || found->second.m_worker.identity() != announced.m_worker.identity()) {
        worker_view fresh{
            announced.m_worker, announced.m_load, known.m_last_contact_at, 0, 0, 0, is_usable(known), {}};
        view.insert_or_assign(id, fresh);
        return;
    }
    worker_view& current = found->second;
    current.m_is_usable = is_usable(known);
    current.m_worker = announced.m_worker;
    if (known.m_last_contact_at > current.m_reported_at)
        record_report(view, announced.m_worker.identity(), {announced.m_load, 0}, known.m_last_contact_at);
}

void retain_members(load_view& view, const std::vector<std::string>& ids)
{
    std::erase_if(
        view, [&](const auto& item) { return std::find(ids.begin(), ids.end(), item.first) == ids.end(); });
}

void record_report(load_view& view, const agent_identity& from, const load_report& report, instant now)
{
    const auto found = view.find(from.m_id);
    if (found == view.end() || found->second.m_worker.identity() != from)
        return;
    worker_view& current = found->second;
    if (now < current.m_reported_at)
        return;
    current.m_load = report.m_load;
    current.m_reported_at = now;
    current.m_seen = std::max(current.m_seen, std::min(report.m_seen, current.m_sent));
    current.m_minted_tickets = 0;
}

std::uint64_t record_sent(load_view& view, const agent_identity& to, int tasks)
{
    const auto found = view.find(to.m_id);
    if (found == view.end() || found->second.m_worker.identity() != to)
        return 0;
    found->second.m_sent += static_cast<std::uint64_t>(tasks);
    return found->second.m_sent;
}

void acknowledge_sent(load_view& view, const agent_identity& to, std::uint64_t sent)
{
    const auto found = view.find(to.m_id);
    if (found != view.end() && found->second.m_worker.identity() == to)
        found->second.m_seen = std::max(found->second.m_seen, std::min(sent, found->second.m_sent));
}

void record_minted_tickets(load_view& view, const std::string& id, int tickets)
{
    const auto found = view.find(id);
    if (found != view.end())
        found->second.m_minted_tickets = std::max(0, found->second.m_minted_tickets + tickets);
}

int estimated_tasks(const worker_view& target)
{
    const auto uncounted = static_cast<int>(target.m_sent - target.m_seen);
    return target.m_load.m_running + target.m_load.m_queued + uncounted + target.m_minted_tickets;
}

double estimated_free_slots(const worker_view& target, double buffer_per_slot)
{
    return target.m_worker.slots() * (1 + buffer_per_slot) - estimated_tasks(target);
}

double estimated_load_per_slot(const worker_view& target)
{
    return static_cast<double>(estimated_tasks(target)) / target.m_worker.slots();
}

} // namespace hawthornpin
