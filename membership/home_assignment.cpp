// Ranked homes of an agent and when they were last heard.

#include "membership/home_assignment.h"

#include <algorithm>

namespace hawthornpin {

namespace {

// A home sends a heartbeat every 100 ms; one that has sent nothing for this long is replaced by the next.
constexpr milliseconds home_silence_limit{700};

bool is_heard(const ranked_home& home, instant now)
{
    return home.m_heard_at && *home.m_heard_at + home_silence_limit >= now;
}

std::vector<ranked_home>::const_iterator find_current(const home_assignment& assignment, instant now)
{
    return std::find_if(assignment.m_homes.begin(), assignment.m_homes.end(),
                        [now](const ranked_home& home) { return is_heard(home, now); });
}

std::vector<ranked_home>::iterator find_home(home_assignment& assignment, const std::string& address)
{
    return std::find_if(assignment.m_homes.begin(), assignment.m_homes.end(),
                        [&address](const ranked_home& home) { return home.m_address == address; });
}

} // namespace

void set_ranked_homes(home_assignment& assignment, const std::vector<std::string>& addresses, instant now)
{
    // Two registrations of the agent with each entry.
    constexpr milliseconds min_change_interval{3'000};
    const bool has_current = find_current(assignment, now) != assignment.m_homes.end();
    const bool is_same = std::equal(
        addresses.begin(), addresses.end(), assignment.m_homes.begin(), assignment.m_homes.end(),
        [](const std::string& address, const ranked_home& home) { return address == home.m_address; });
    const bool is_too_early =
        has_current && (addresses.empty() || assignment.m_changed_at + min_change_interval > now);
    if (is_same || is_too_early)
        return;
    std::vector<ranked_home> homes;
    for (const std::string& address : addresses) {
        const auto known = find_home(assignment, address);
        homes.push_back(known == assignment.m_homes.end() ? ranked_home{address, {}, {}} : *known);
    }
    assignment.m_homes = std::move(homes);
    assignment.m_changed_at = now;
}

bool record_home_orders(home_assignment& assignment, const std::string& address, instant now)
{
    const auto home = find_home(assignment, address);
    if (home == assignment.m_homes.end())
        return false;
    home->m_heard_at = now;
    home->m_unanswered_registrations = 0;
    return true;
}

std::optional<std::string> current_home(const home_assignment& assignment, instant now)
{
    const auto current = find_current(assignment, now);
    if (current == assignment.m_homes.end())
        return std::nullopt;
    return current->m_address;
}

bool is_assigned_elsewhere(const home_assignment& assignment, const std::string& address, instant now)
{
    const auto current = current_home(assignment, now);
    return current && *current != address;
}

std::vector<std::string> take_due_home_registrations(home_assignment& assignment, instant now)
{
    // First pause between two registrations with one home, doubled with each that it does not follow by
    // orders, so that homes that are short of processor time are not kept from recovering.
    constexpr milliseconds retry_pause{500};
    constexpr std::uint32_t max_doublings = 2;
    constexpr std::ptrdiff_t tried_at_once = 2;
    const auto current = find_current(assignment, now);
    std::vector<std::string> due;
    for (auto home = assignment.m_homes.begin(); home != current; ++home) {
        const bool is_behind_untried = home - assignment.m_homes.begin() >= tried_at_once &&
                                       std::prev(home)->m_unanswered_registrations < 2;
        if (is_behind_untried)
            break;
        const milliseconds pause =
            retry_pause * (1U << std::min(std::max(home->m_unanswered_registrations, 1U) - 1, max_doublings));
        if (home->m_registered_at && *home->m_registered_at + pause > now)
            continue;
        home->m_registered_at = now;
        ++home->m_unanswered_registrations;
        due.push_back(home->m_address);
    }
    return due;
}

} // namespace hawthornpin
