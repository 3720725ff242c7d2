// Chooses which agents of a large service are homes of jobs, and which of these homes an agent or an entry
// works with. Does no I/O.
//
// Uses rendezvous hashing: processes that know nearly the same agents choose nearly the same homes, and an
// agent that joins or leaves changes few of them. Correctness does not depend on agreement, since an agent
// takes orders from any home.

#pragma once

#include <compare>
#include <map>
#include <string>
#include <vector>

namespace hawthornpin {

struct home_candidate {
    // Id of the agent.
    std::string m_id;
    // RPC address of the agent.
    std::string m_address;

    friend auto operator<=>(const home_candidate&, const home_candidate&) = default;
};

struct home_choice_limits {
    // An entry schedules its callers' jobs itself while it knows at most this many agents, each of which
    // costs it ten messages a second. With more it forwards the jobs to homes among the agents, which have
    // most of a large system's processor time.
    std::size_t m_max_agents_without_homes = 24;
    // An entry that forwards its jobs continues to do so down to this many agents. The difference prevents
    // oscillation when single agents join and leave.
    std::size_t m_min_agents_with_homes = 16;
    // One agent in this many is a home.
    std::size_t m_agents_per_home = 4;
    // Homes that an agent is told of. It works with one of them; after the loss of that one, two are left.
    std::size_t m_homes_per_agent = 3;
    // Homes that an entry forwards its jobs to.
    std::size_t m_homes_per_entry = 8;
};

// Returns the homes among the agents; none if the entry is to schedule its jobs itself. `has_homes` is
// whether the entry has used homes until now.
std::vector<home_candidate> choose_homes(const std::vector<home_candidate>& agents,
                                         const home_choice_limits& limits, bool has_homes);

// Returns the homes that the entry with this id works with, at most `count`.
std::vector<home_candidate> assign_homes(const std::vector<home_candidate>& homes, const std::string& id,
                                         std::size_t count);

// Returns the homes of each agent by its id, best first and at most `count`. Each home is the first of as
// many agents as the others, give or take one, and of itself.
std::map<std::string, std::vector<home_candidate>>
rank_homes_of_agents(const std::vector<home_candidate>& agents, const std::vector<home_candidate>& homes,
                     std::size_t count);

} // namespace hawthornpin
