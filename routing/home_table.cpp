// Sessions with homes, heartbeats to them and the choice of a home for a job.

#include "routing/home_table.h"

#include <algorithm>

namespace hawthornpin {

namespace {

bool can_take_jobs(const home_table& table, const home_view& home, instant now)
{
    const bool is_slow = home.m_round_trip && *home.m_round_trip > table.m_limits.m_max_round_trip;
    return home.m_is_chosen && !is_slow && !home.m_status.m_is_leaving && home.m_status.m_usable_agents > 0 &&
           home.m_clock_seen != 0 && home.m_clock_seen_at + table.m_limits.m_suspect_after >= now;
}

std::int64_t estimate_room(const home_view& home)
{
    return home.m_status.m_free_milli - home.m_unreported_milli;
}

// Room that would be left for each agent of the home, in thousandths of a core; if negative, a measure of the
// wait. Not the room of all its agents: a small home that is full lacks little room, and would attract the
// jobs of a service that is overloaded.
double estimate_relative_room(const home_view& home, std::int64_t demand_milli)
{
    return static_cast<double>(estimate_room(home) - demand_milli) / home.m_status.m_usable_agents;
}

void begin_session(home_table& table, home_view& home)
{
    home.m_session = table.m_random();
    home.m_clock_seen = 0;
    home.m_is_heartbeat_pending = false;
    home.m_jobs.clear();
    home.m_unreported_milli = 0;
}

} // namespace

void set_chosen_homes(home_table& table, const std::vector<home_candidate>& homes)
{
    for (auto& [id, home] : table.m_homes)
        home.m_is_chosen = false;
    for (const home_candidate& chosen : homes) {
        const auto [position, is_new] = table.m_homes.try_emplace(chosen.m_id);
        home_view& home = position->second;
        // A changed address means another machine, which knows nothing of the old session.
        if (is_new || home.m_address != chosen.m_address)
            begin_session(table, home);
        home.m_address = chosen.m_address;
        home.m_is_chosen = true;
    }
    std::erase_if(table.m_homes,
                  [](const auto& item) { return !item.second.m_is_chosen && item.second.m_jobs.empty(); });
}

std::optional<std::string> choose_home(home_table& table, const std::set<std::string>& excluded,
                                       std::int64_t demand_milli, instant now)
{
    std::vector<std::string> available;
    for (const auto& [id, home] : table.m_homes) {
        if (can_take_jobs(table, home, now) && !excluded.contains(id))
            available.push_back(id);
    }
    if (available.empty())
        return std::nullopt;
    const std::size_t drawn = random_below(table.m_random, available.size());
    const std::string& first = available[drawn];
    // A home other than the first, unless there is only one.
    const std::size_t step =
        available.size() > 1 ? 1 + random_below(table.m_random, available.size() - 1) : 0;
    const std::string& second = available[(drawn + step) % available.size()];
    const auto room = [&](const std::string& id) {
        return estimate_relative_room(table.m_homes.at(id), demand_milli);
    };
    const std::string& roomier = room(first) >= room(second) ? first : second;
    if (room(roomier) >= 0)
        return roomier;
    return *std::max_element(
        available.begin(), available.end(),
        [&room](const std::string& left, const std::string& right) { return room(left) < room(right); });
}

entry_heartbeat make_entry_heartbeat(const home_table& table, const std::string& home)
{
    const home_view& view = table.m_homes.at(home);
    return {{table.m_self, view.m_session}, view.m_clock_seen, table.m_homes_per_agent, std::nullopt};
}

std::vector<due_home_heartbeat> take_due_home_heartbeats(home_table& table, instant now)
{
    std::vector<due_home_heartbeat> heartbeats;
    for (auto& [id, home] : table.m_homes) {
        if (home.m_is_heartbeat_pending || home.m_heartbeat_sent_at + table.m_limits.m_heartbeat > now)
            continue;
        home.m_is_heartbeat_pending = true;
        home.m_heartbeat_sent_at = now;
        heartbeats.push_back({id, home.m_address, make_entry_heartbeat(table, id)});
    }
    return heartbeats;
}

void on_home_status(home_table& table, const std::string& home, std::uint64_t session,
                    const home_status& status, instant now)
{
    const auto found = table.m_homes.find(home);
    if (found == table.m_homes.end() || found->second.m_session != session)
        return;
    home_view& view = found->second;
    view.m_is_heartbeat_pending = false;
    if (status.m_clock <= view.m_clock_seen)
        return;
    view.m_clock_seen = status.m_clock;
    view.m_clock_seen_at = now;
    view.m_status = status;
    view.m_unreported_milli = 0;
}

void on_home_heartbeat_answered(home_table& table, const std::string& home, std::uint64_t session,
                                const home_status& status, instant now)
{
    const auto found = table.m_homes.find(home);
    if (found == table.m_homes.end() || found->second.m_session != session)
        return;
    found->second.m_round_trip =
        std::chrono::duration_cast<milliseconds>(now - found->second.m_heartbeat_sent_at);
    on_home_status(table, home, session, status, now);
}

void on_home_heartbeat_lost(home_table& table, const std::string& home, std::uint64_t session)
{
    const auto found = table.m_homes.find(home);
    if (found == table.m_homes.end() || found->second.m_session != session)
        return;
    found->second.m_is_heartbeat_pending = false;
    found->second.m_round_trip = table.m_limits.m_answer_timeout;
    // The cancellation of a job may have been lost with the connection; the home ends the job once the lease
    // of the old session has lapsed.
    if (found->second.m_jobs.empty())
        begin_session(table, found->second);
}

milliseconds estimate_own_delay(const home_table& table, instant now)
{
    std::optional<milliseconds> least;
    for (const auto& [id, home] : table.m_homes) {
        if (!home.m_is_chosen || !home.m_round_trip)
            continue;
        const auto waiting = std::chrono::duration_cast<milliseconds>(now - home.m_heartbeat_sent_at);
        const milliseconds round_trip =
            home.m_is_heartbeat_pending ? std::max(*home.m_round_trip, waiting) : *home.m_round_trip;
        least = std::min(least.value_or(round_trip), round_trip);
    }
    return least.value_or(milliseconds(0));
}

void record_forwarded(home_table& table, const std::string& home, const std::string& job,
                      std::int64_t demand_milli)
{
    home_view& view = table.m_homes.at(home);
    view.m_jobs.insert(job);
    view.m_unreported_milli += demand_milli;
}

void record_forward_ended(home_table& table, const std::string& home, const std::string& job)
{
    const auto found = table.m_homes.find(home);
    if (found != table.m_homes.end())
        found->second.m_jobs.erase(job);
}

std::vector<std::string> list_unresponsive_homes(const home_table& table, instant now)
{
    std::vector<std::string> unresponsive;
    for (const auto& [id, home] : table.m_homes) {
        if (!home.m_jobs.empty() && home.m_clock_seen_at + table.m_limits.m_lost_after < now)
            unresponsive.push_back(id);
    }
    return unresponsive;
}

std::set<std::string> mark_home_lost(home_table& table, const std::string& home)
{
    const auto found = table.m_homes.find(home);
    if (found == table.m_homes.end())
        return {};
    auto lost = std::move(found->second.m_jobs);
    begin_session(table, found->second);
    return lost;
}

} // namespace hawthornpin
