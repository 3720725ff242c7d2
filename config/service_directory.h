// The queues and services in force, as one immutable version.

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hawthornpin {

// Where callers hand in jobs of one kind.
struct queue_contract {
    std::string m_name;
    std::string m_host;
    std::string m_path_prefix;
    std::string m_service;
    // 0 comes first.
    int m_priority = 0;
    // Runs of one task that may end failed before its job fails.
    std::uint32_t m_max_attempts = 1;
    // A job is on time if it ends within m_stretch times its longest chain of work plus m_latency_target.
    double m_stretch = 1;
    std::chrono::milliseconds m_latency_target{0};
    std::chrono::milliseconds m_timeout{0};

    friend bool operator==(const queue_contract&, const queue_contract&) = default;
};

// A pool of workers.
struct service_contract {
    std::string m_name;
    // Whether its workers refuse what exceeds their capacity; if not, the agent beside each must.
    bool m_enforces_capacity = false;

    friend bool operator==(const service_contract&, const service_contract&) = default;
};

// A whole configuration. Versions only rise.
struct service_directory {
    std::int64_t m_version = 0;
    std::vector<queue_contract> m_queues;
    std::map<std::string, service_contract> m_services;
    std::size_t m_max_body_bytes = 262'144;

    friend bool operator==(const service_directory&, const service_directory&) = default;
};

// Whether `candidate` replaces the version in force: a lower or equal version never does.
bool is_newer(const service_directory& candidate, const service_directory& in_force);

} // namespace hawthornpin
