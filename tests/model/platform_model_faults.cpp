// Injects the faults of the model: killed and suspended processes, restarted workers and cut links.

#include "tests/model/model_processes.h"

#include <utility>

namespace hawthornpin::model {

void platform_model::kill(process& victim, long long restart_delay_ms)
{
    if (!victim.m_is_up)
        return;
    victim.m_is_up = false;
    for (const auto& home : m_home_processes) {
        if (home.get() != &victim)
            continue;
        for (const auto& [job, attempt] : std::exchange(home->m_callers, {}))
            resubmit(job, attempt);
    }
    at(m_now + restart_delay_ms, [this, &victim] {
        for (const auto& agent : m_agents) {
            if (agent.get() == &victim)
                start_agent(*agent);
        }
        for (const auto& home : m_home_processes) {
            if (home.get() == &victim)
                start_home(*home);
        }
    });
}

long long platform_model::random_fault_ms()
{
    constexpr long long min_ms = 20;
    constexpr std::size_t spread_ms = 2'000;
    return min_ms + static_cast<long long>(random_below(m_random, spread_ms));
}

void platform_model::cut_link_temporarily(process& from, process& to)
{
    constexpr int one_way_per_mille = 500;
    m_cut_links.insert({&from, &to});
    if (!random_chance(one_way_per_mille))
        m_cut_links.insert({&to, &from});
    at(m_now + random_fault_ms(), [this, &from, &to] {
        m_cut_links.erase({&from, &to});
        m_cut_links.erase({&to, &from});
    });
}

void platform_model::inject_faults()
{
    const model_faults& faults = m_settings.m_faults;
    for (const auto& agent : m_agents) {
        if (random_chance(faults.m_kill_agent))
            kill(*agent, random_fault_ms());
        if (random_chance(faults.m_suspend_agent))
            agent->m_suspended_until = m_now + random_fault_ms();
        if (random_chance(faults.m_restart_worker))
            agent->m_worker->begin_incarnation(m_now);
        for (const auto& home : m_home_processes) {
            if (!random_chance(faults.m_cut_link))
                continue;
            cut_link_temporarily(*home, *agent);
        }
    }
    for (const auto& home : m_home_processes) {
        if (random_chance(faults.m_kill_entry))
            kill(*home, random_fault_ms());
        if (random_chance(faults.m_suspend_entry))
            home->m_suspended_until = m_now + random_fault_ms();
    }
    inject_forwarding_entry_faults();
    at(m_now + fault_interval_ms, [this] { inject_faults(); });
}

void platform_model::kill_forwarding_entry(forwarding_entry& entry, long long restart_delay_ms)
{
    if (!entry.m_is_up)
        return;
    entry.m_is_up = false;
    for (const auto& [job, attempt] : std::exchange(entry.m_callers, {}))
        resubmit(job, attempt);
    at(m_now + restart_delay_ms, [this, &entry] { start_forwarding_entry(entry); });
}

void platform_model::inject_forwarding_entry_faults()
{
    const model_faults& faults = m_settings.m_faults;
    for (const auto& entry : m_forwarding_entries) {
        if (random_chance(faults.m_kill_entry))
            kill_forwarding_entry(*entry, random_fault_ms());
        if (random_chance(faults.m_suspend_entry))
            entry->m_suspended_until = m_now + random_fault_ms();
        for (const auto& home : m_home_processes) {
            if (!random_chance(faults.m_cut_link))
                continue;
            cut_link_temporarily(*entry, *home);
        }
    }
}

} // namespace hawthornpin::model
