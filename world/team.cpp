// Validation of teams.

#include "world/team.h"

#include "core/ids.h"

namespace hawthornpin {

team_builder& team_builder::set_weight(int weight)
{
    m_team.m_weight = weight;
    return *this;
}

team_builder& team_builder::set_rate(double starts_per_second)
{
    m_team.m_rate = starts_per_second;
    return *this;
}

team_builder& team_builder::set_running_limit(int tasks)
{
    m_team.m_running_limit = tasks;
    return *this;
}

team_builder& team_builder::set_key_sha256(std::string digest, std::string previous)
{
    m_team.m_key_sha256 = std::move(digest);
    m_team.m_previous_key_sha256 = std::move(previous);
    return *this;
}

std::optional<team> team_builder::build(last_reason& why) const
{
    if (!is_valid_name(m_team.m_name)) {
        why.set("team name is not valid");
        return std::nullopt;
    }
    if (m_team.m_weight < 1 || m_team.m_rate < 0 || m_team.m_running_limit < 0) {
        why.set("team " + m_team.m_name + " has a weight below one or a negative limit");
        return std::nullopt;
    }
    return m_team;
}

} // namespace hawthornpin
