// Which agents of a large service are homes of jobs, and which of these an agent or an entry works with.
// Pure.
//
// Rendezvous hashing: processes that know nearly the same agents choose nearly the same homes, and an agent
// that comes or goes changes little. Nothing depends on agreement: an agent takes orders from any home.

#pragma once

#include <compare>
#include <string>
#include <vector>

namespace hawthornpin {

struct home_candidate {
    // Of the agent.
    std::string m_id;
    // For calls between processes.
    std::string m_address;

    friend auto operator<=>(const home_candidate&, const home_candidate&) = default;
};

struct home_choice_limits {
    // An entry schedules the jobs of its callers itself while it knows at most this many agents, each of
    // which costs it ten messages a second. With more it hands the jobs on to homes among the agents, which
    // have most of a large system's processor time.
    std::size_t m_max_agents_without_homes = 24;
    // An entry that hands its jobs on goes on with it down to this many agents, so that single agents that
    // come and go do not make it change its mind.
    std::size_t m_min_agents_with_homes = 16;
    // One agent in this many is a home.
    std::size_t m_agents_per_home = 4;
    // Homes that an agent takes orders from: the loss of one leaves it two. Times m_agents_per_home, it is
    // the number of agents that a home works with, whatever the size of the system.
    std::size_t m_homes_per_agent = 3;
    // Homes that an entry hands its jobs on to.
    std::size_t m_homes_per_entry = 8;
};

// The homes among the agents; none if the entry is to be the home itself. `has_homes` tells whether there
// were any so far.
std::vector<home_candidate> choose_homes(const std::vector<home_candidate>& agents,
                                         const home_choice_limits& limits, bool has_homes);

// The homes that the agent or entry with this id works with, `count` at most.
std::vector<home_candidate> assign_homes(const std::vector<home_candidate>& homes, const std::string& id,
                                         std::size_t count);

} // namespace hawthornpin
