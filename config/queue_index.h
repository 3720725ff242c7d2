// Lookup of queues by host and longest path prefix, in time that does not grow with their number.

#pragma once

#include "config/service_directory.h"

#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

namespace hawthornpin {

// One version of the configuration with its index.
class queue_index {
public:
    explicit queue_index(service_directory directory);

    const service_directory& directory() const { return m_directory; }

    // The queue of the host, with or without a port, whose prefix is the longest that `path` begins with;
    // null if there is none. Valid while the index lives.
    const queue_contract* find(std::string_view host, std::string_view path) const;

private:
    service_directory m_directory;
    // Positions in the directory by host and prefix, and the lengths of all prefixes, longest first.
    std::unordered_map<std::string, std::size_t> m_positions;
    std::set<std::size_t, std::greater<>> m_prefix_lengths;
};

} // namespace hawthornpin
