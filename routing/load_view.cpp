// Keeping of believed loads.

#include "routing/load_view.h"

#include <algorithm>

namespace hawthornpin {

void update_member(load_view& view, const member& known)
{
    const announcement& news = known.m_announcement;
    const std::string& id = news.m_worker.identity().m_id;
    auto found = view.find(id);
    if (found == view.end() || found->second.m_worker.identity() != news.m_worker.identity()) {
        worker_view fresh{news.m_worker, news.m_load, known.m_last_heard, 0, is_usable(known), {}};
        view.insert_or_assign(id, fresh);
        return;
    }
    worker_view& current = found->second;
    current.m_is_usable = is_usable(known);
    current.m_worker = news.m_worker;
    if (known.m_last_heard > current.m_reported_at)
        record_report(view, news.m_worker.identity(), news.m_load, known.m_last_heard);
}

void retain_members(load_view& view, const std::vector<std::string>& ids)
{
    std::erase_if(view, [&](const auto& item) { return std::find(ids.begin(), ids.end(), item.first) == ids.end(); });
}

void record_report(load_view& view, const agent_identity& from, const worker_load& load, instant now)
{
    const auto found = view.find(from.m_id);
    if (found == view.end() || found->second.m_worker.identity() != from)
        return;
    worker_view& current = found->second;
    if (now < current.m_reported_at)
        return;
    current.m_load = load;
    current.m_reported_at = now;
    current.m_placed_since_report = 0;
}

void record_placement(load_view& view, const std::string& id, int tasks)
{
    const auto found = view.find(id);
    if (found == view.end())
        return;
    found->second.m_placed_since_report += tasks;
}

double believed_free(const worker_view& target, double buffer_per_slot)
{
    const double capacity = target.m_worker.slots() * (1 + buffer_per_slot);
    return capacity - target.m_load.m_running - target.m_load.m_queued - target.m_placed_since_report;
}

double believed_pressure(const worker_view& target)
{
    const double tasks = target.m_load.m_running + target.m_load.m_queued + target.m_placed_since_report;
    return tasks / target.m_worker.slots();
}

} // namespace hawthornpin
