// A team: a client account with its share of capacity, its limits and the digest of its key.

#pragma once

#include "core/last_reason.h"

#include <optional>
#include <string>

namespace hawthornpin {

// Immutable; made by team_builder.
class team {
public:
    const std::string& name() const { return m_name; }
    // Share of contended capacity relative to other teams; at least one.
    int weight() const { return m_weight; }
    // Task starts per second over all entries; zero means unlimited.
    double rate() const { return m_rate; }
    // Tasks running at once over all workers of a service; zero means unlimited.
    int running_limit() const { return m_running_limit; }
    // Lower-case SHA-256 of the caller's bearer key, and of the key before it while keys are rotated.
    const std::string& key_sha256() const { return m_key_sha256; }
    const std::string& previous_key_sha256() const { return m_previous_key_sha256; }

    friend bool operator==(const team&, const team&) = default;

private:
    friend class team_builder;
    std::string m_name;
    int m_weight = 1;
    double m_rate = 0;
    int m_running_limit = 0;
    std::string m_key_sha256;
    std::string m_previous_key_sha256;
};

// Collects the parts of a team; build() validates them.
class team_builder {
public:
    explicit team_builder(std::string name) { m_team.m_name = std::move(name); }
    team_builder& set_weight(int weight);
    team_builder& set_rate(double starts_per_second);
    team_builder& set_running_limit(int tasks);
    team_builder& set_key_sha256(std::string digest, std::string previous = {});

    std::optional<team> build(last_reason& why) const;

private:
    team m_team;
};

} // namespace hawthornpin
