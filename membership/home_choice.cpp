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

std::map<std::string, std::vector<home_candidate>>
rank_homes_of_agents(const std::vector<home_candidate>& agents, const std::vector<home_candidate>& homes,
                     std::size_t count)
{
    std::map<std::string, std::vector<home_candidate>> ranked_homes;
    if (homes.empty())
        return ranked_homes;
    // Rendezvous hashing with bounded loads: a home with a full share is skipped. Only as many homes as there
    // are agents left over have one more; otherwise the last homes would be left with less than the others.
    const std::size_t share = agents.size() / homes.size();
    std::size_t left_over = agents.size() % homes.size();
    std::map<std::string, std::size_t> loads;
    const auto rank_homes = [&](const home_candidate& agent) {
        auto ranked = choose_lowest_ranked(homes, agent.m_id, homes.size());
        auto first = std::find(ranked.begin(), ranked.end(), agent);
        if (first == ranked.end())
            first = std::find_if(ranked.begin(), ranked.end(), [&](const home_candidate& home) {
                return loads[home.m_id] < share + (left_over > 0 ? 1 : 0);
            });
        std::rotate(ranked.begin(), first, first + 1);
        if (++loads[ranked.front().m_id] > share)
            --left_over;
        ranked.resize(std::min(count, ranked.size()));
        ranked_homes[agent.m_id] = std::move(ranked);
    };
    // Homes come first, so that each finds room for itself.
    auto ordered = choose_lowest_ranked(agents, "", agents.size());
    std::stable_partition(ordered.begin(), ordered.end(), [&homes](const home_candidate& agent) {
        return std::find(homes.begin(), homes.end(), agent) != homes.end();
    });
    for (const home_candidate& agent : ordered)
        rank_homes(agent);
    return ranked_homes;
}

} // namespace hawthornpin
