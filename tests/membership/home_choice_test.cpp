// Tests of the choice of homes while agents join and leave.

#include "membership/home_choice.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

namespace hawthornpin {

namespace {

std::vector<home_candidate> make_agents(std::size_t count)
{
    std::vector<home_candidate> agents;
    for (std::size_t index = 0; index < count; ++index)
        agents.push_back({"side-" + std::to_string(index), "10.1.0." + std::to_string(index) + ":7720"});
    return agents;
}

bool contains(const std::vector<home_candidate>& homes, const home_candidate& home)
{
    return std::find(homes.begin(), homes.end(), home) != homes.end();
}

} // namespace

TEST_CASE("a small service has no homes among its agents, in a large one a fixed share of them are homes")
{
    const home_choice_limits limits;
    CHECK(choose_homes(make_agents(limits.m_max_agents_without_homes), limits, false).empty());
    CHECK(choose_homes(make_agents(60), limits, false).size() == 60 / limits.m_agents_per_home);
}

TEST_CASE("single agents that join and leave do not change whether there are homes")
{
    const home_choice_limits limits;
    const std::size_t max_agents = limits.m_max_agents_without_homes;
    CHECK(choose_homes(make_agents(max_agents + 1), limits, false).size() ==
          (max_agents + 1) / limits.m_agents_per_home);
    CHECK_FALSE(choose_homes(make_agents(max_agents), limits, true).empty());
    CHECK_FALSE(choose_homes(make_agents(limits.m_min_agents_with_homes), limits, true).empty());
    CHECK(choose_homes(make_agents(limits.m_min_agents_with_homes - 1), limits, true).empty());
}

TEST_CASE("the choice of homes does not depend on the order of the agents")
{
    auto agents = make_agents(60);
    const auto homes = choose_homes(agents, {}, false);
    std::reverse(agents.begin(), agents.end());
    CHECK(choose_homes(agents, {}, false) == homes);
}

TEST_CASE("an agent that leaves changes at most two homes")
{
    const home_choice_limits limits;
    const auto agents = make_agents(60);
    const auto homes = choose_homes(agents, limits, false);
    for (std::size_t left = 0; left < agents.size(); ++left) {
        auto fewer = agents;
        fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(left));
        const auto changed = choose_homes(fewer, limits, true);
        const auto kept = std::count_if(homes.begin(), homes.end(), [&changed](const home_candidate& home) {
            return contains(changed, home);
        });
        CHECK(kept + 2 >= static_cast<std::ptrdiff_t>(homes.size()));
    }
}

TEST_CASE("homes are the first home of nearly as many agents each, and of themselves")
{
    const home_choice_limits limits;
    for (const std::size_t count : {25, 47, 51, 59, 60, 160}) {
        CAPTURE(count);
        const auto agents = make_agents(count);
        const auto homes = choose_homes(agents, limits, false);
        const auto ranked = rank_homes_of_agents(agents, homes, limits.m_homes_per_agent);
        CHECK(ranked.size() == count);
        std::map<std::string, std::size_t> agents_by_home;
        for (const auto& [agent, ranked_homes] : ranked) {
            CHECK(ranked_homes.size() == limits.m_homes_per_agent);
            ++agents_by_home[ranked_homes.front().m_id];
        }
        CHECK(agents_by_home.size() == homes.size());
        for (const auto& [home, first_of] : agents_by_home) {
            CHECK(first_of <= (count + homes.size() - 1) / homes.size());
            CHECK(first_of >= count / homes.size());
        }
        for (const home_candidate& home : homes)
            CHECK(ranked.at(home.m_id).front() == home);
    }
}

TEST_CASE("when an agent leaves, most others keep their first home")
{
    const home_choice_limits limits;
    const auto agents = make_agents(60);
    const auto before = rank_homes_of_agents(agents, choose_homes(agents, limits, false), 1);
    std::size_t moved = 0;
    for (std::size_t left = 0; left < agents.size(); ++left) {
        auto fewer = agents;
        fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(left));
        for (const auto& [agent, homes] : rank_homes_of_agents(fewer, choose_homes(fewer, limits, true), 1)) {
            if (homes != before.at(agent))
                ++moved;
        }
    }
    // A home that leaves takes its whole share with it, and here the number of homes changes, too.
    CHECK(moved <= agents.size() * agents.size() / 3);
}

TEST_CASE("without homes no agent has one")
{
    CHECK(rank_homes_of_agents(make_agents(10), {}, 3).empty());
}

} // namespace hawthornpin
