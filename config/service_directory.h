// The service directory: queues and services of one immutable version of the configuration.

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hawthornpin {

// A queue that callers submit jobs of one kind to.
struct queue_contract {
    std::string m_name;
    std::string m_host;
    std::string m_path_prefix;
    std::string m_service;
    // 0 is the highest priority.
    int m_priority = 0;
    // A job fails once this many runs of one of its tasks have failed.
    std::uint32_t m_max_attempts = 1;
    // A job is on time if it ends within m_stretch times the length of its critical path plus
    // m_latency_target.
    double m_stretch = 1;
    std::chrono::milliseconds m_latency_target{0};
    std::chrono::milliseconds m_timeout{0};

    friend bool operator==(const queue_contract&, const queue_contract&) = default;
};

// A service: a pool of workers.
struct service_contract {
    std::string m_name;
    // Whether the workers themselves refuse runs beyond their capacity; otherwise the agent of each does.
    bool m_enforces_capacity = false;

    friend bool operator==(const service_contract&, const service_contract&) = default;
};

// A complete configuration. Versions only increase.
struct service_directory {
    std::int64_t m_version = 0;
    std::vector<queue_contract> m_queues;
    std::map<std::string, service_contract> m_services;
    std::size_t m_max_body_bytes = 262'144;

    friend bool operator==(const service_directory&, const service_directory&) = default;
};

// Whether `candidate` replaces the version in force: only a higher version does.
bool is_newer(const service_directory& candidate, const service_directory& in_force);

} // namespace hawthornpin
