// Faults of the model: kills, suspensions and cut links.

#include "tests/model/model_processes.h"

#include <utility>

namespace hawthornpin::model {

void platform_model::kill(process& victim, long long down_ms)
{
    if (!victim.m_is_up)
        return;
    victim.m_is_up = false;
    for (const auto& entry : m_entries) {
        if (entry.get() != &victim)
            continue;
        for (const auto& [job, attempt] : std::exchange(entry->m_callers, {}))
            resubmit(job, attempt);
    }
    at(m_now + down_ms, [this, &victim] {
        for (const auto& agent : m_agents) {
            if (agent.get() == &victim)
                start_agent(*agent);
        }
        for (const auto& entry : m_entries) {
            if (entry.get() == &victim)
                start_entry(*entry);
        }
    });
}

long long platform_model::draw_fault_ms()
{
    constexpr long long shortest_ms = 20;
    constexpr std::size_t spread_ms = 2'000;
    return shortest_ms + static_cast<long long>(random_below(m_random, spread_ms));
}

void platform_model::cut_link(process& from, process& to)
{
    constexpr int one_way_chance = 500;
    m_cuts.insert({&from, &to});
    if (!draw(one_way_chance))
        m_cuts.insert({&to, &from});
    at(m_now + draw_fault_ms(), [this, &from, &to] {
        m_cuts.erase({&from, &to});
        m_cuts.erase({&to, &from});
    });
}

void platform_model::strike()
{
    const model_faults& faults = m_settings.m_faults;
    for (const auto& agent : m_agents) {
        if (draw(faults.m_kill_agent))
            kill(*agent, draw_fault_ms());
        if (draw(faults.m_freeze_agent))
            agent->m_frozen_until = m_now + draw_fault_ms();
        if (draw(faults.m_worker_incarnation))
            agent->m_worker->begin_incarnation(m_now);
        for (const auto& entry : m_entries) {
            if (!draw(faults.m_cut_link))
                continue;
            cut_link(*entry, *agent);
        }
    }
    for (const auto& entry : m_entries) {
        if (draw(faults.m_kill_entry))
            kill(*entry, draw_fault_ms());
        if (draw(faults.m_freeze_entry))
            entry->m_frozen_until = m_now + draw_fault_ms();
    }
    strike_fronts();
    at(m_now + strike_every_ms, [this] { strike(); });
}

void platform_model::kill_front(front_process& front, long long down_ms)
{
    if (!front.m_is_up)
        return;
    front.m_is_up = false;
    for (const auto& [job, attempt] : std::exchange(front.m_callers, {}))
        resubmit(job, attempt);
    at(m_now + down_ms, [this, &front] { start_front(front); });
}

void platform_model::strike_fronts()
{
    const model_faults& faults = m_settings.m_faults;
    for (const auto& front : m_fronts) {
        if (draw(faults.m_kill_entry))
            kill_front(*front, draw_fault_ms());
        if (draw(faults.m_freeze_entry))
            front->m_frozen_until = m_now + draw_fault_ms();
        for (const auto& home : m_entries) {
            if (!draw(faults.m_cut_link))
                continue;
            cut_link(*front, *home);
        }
    }
}

} // namespace hawthornpin::model
