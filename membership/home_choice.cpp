// Rendezvous hashing: ranks of homes by a hash of both ids.

#include "membership/home_choice.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace hawthornpin {

namespace {

// Equal in all processes, since they run the same program and the standard library's hash has a fixed seed.
std::size_t rank(const std::string& home, const std::string& chooser)
{
    return std::hash<std::string>()(chooser + '\n' + home);
}

std::vector<home_candidate> choose_lowest_ranked(const std::vector<home_candidate>& candidates,
                                                 const std::string& chooser, std::size_t count)
{
    std::vector<std::pair<std::size_t, home_candidate>> ranked;
    ranked.reserve(candidates.size());
    for (const home_candidate& candidate : candidates)
        ranked.emplace_back(rank(candidate.m_id, chooser), candidate);
    std::sort(ranked.begin(), ranked.end());
    ranked.resize(std::min(count, ranked.size()));
    std::vector<home_candidate> lowest;
    lowest.reserve(ranked.size());
    for (auto& [position, candidate] : ranked)
        lowest.push_back(std::move(candidate));
    return lowest;
}

} // namespace

std::vector<home_candidate> choose_homes(const std::vector<home_candidate>& agents,
                                         const home_choice_limits& limits, bool has_homes)
{
    const bool has_enough_agents = has_homes ? agents.size() >= limits.m_min_agents_with_homes
                                             : agents.size() > limits.m_max_agents_without_homes;
    if (!has_enough_agents)
        return {};
    return choose_lowest_ranked(agents, "", agents.size() / limits.m_agents_per_home);
}

std::vector<home_candidate> assign_homes(const std::vector<home_candidate>& homes, const std::string& id,
                                         std::size_t count)
{
    return choose_lowest_ranked(homes, id, count);
}

} // namespace hawthornpin
