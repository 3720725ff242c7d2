// Draws which zone is evacuated, or whose evacuation is revoked.

#include "tests/soak/soak_operator.h"

#include <iostream>

namespace hawthornpin::soak {

namespace {

constexpr unsigned action_interval_ms = 500;
constexpr const char* topic = "keyed.op";

} // namespace

void soak_operator::start(std::vector<std::string> zones, milliseconds min_evacuated)
{
    m_zones = std::move(zones);
    m_min_evacuated = min_evacuated;
    m_tick = std::make_unique<timer>(action_interval_ms, [this] {
        act();
        return true;
    });
}

void soak_operator::stop()
{
    if (!m_tick)
        return;
    m_tick = std::make_unique<timer>(action_interval_ms, [this] {
        revoke_all();
        return true;
    });
}

void soak_operator::act()
{
    const std::string zone = m_zones[random_below(m_random, m_zones.size())];
    if (!m_store.is_up())
        return;
    const auto evacuated = m_evacuated.find(zone);
    if (evacuated != m_evacuated.end()) {
        if (evacuated->second + m_min_evacuated < boot_now())
            revoke(zone);
    }
    else if (m_evacuated.size() + 1 < m_zones.size()) {
        evacuate(zone);
    }
}

void soak_operator::evacuate(const std::string& zone)
{
    std::cout << "operator: evacuates " << zone << '\n';
    m_store.append(topic, "evacuate/" + zone, "{}");
    m_evacuated.emplace(zone, boot_now());
    m_verifier.record_evacuated(zone);
}

void soak_operator::revoke(const std::string& zone)
{
    std::cout << "operator: revokes the evacuation of " << zone << '\n';
    m_store.append(topic, "evacuate/" + zone, "");
    m_evacuated.erase(zone);
    m_verifier.record_revoked(zone);
}

void soak_operator::revoke_all()
{
    while (m_store.is_up() && !m_evacuated.empty())
        revoke(std::string(m_evacuated.begin()->first));
}

} // namespace hawthornpin::soak
