// Lookup of queues by host and longest path prefix, in time that does not grow with their number.

#pragma once

#include "config/service_directory.h"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

namespace hawthornpin {

// Over one version of the configuration, which is copied into it.
class queue_index {
public:
    queue_index() = default;
    explicit queue_index(const service_directory& directory);

    // The queue of the host, with or without a port, whose prefix is the longest that `path` begins with;
    // null if there is none. Valid while the index lives.
    const queue_contract* find(std::string_view host, std::string_view path) const;

private:
    // Queues by host and prefix, and the lengths of all prefixes, longest first.
    std::unordered_map<std::string, queue_contract> m_queues;
    std::set<std::size_t, std::greater<>> m_prefix_lengths;
};

} // namespace hawthornpin
