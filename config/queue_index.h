// Lookup of queues by host and longest path prefix. The time depends on the number of distinct prefix
// lengths, not on the number of queues.

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

    // Returns the queue of the host (a port is ignored) with the longest prefix that `path` begins with; null
    // if there is none. The pointer is valid for the lifetime of the index.
    const queue_contract* find(std::string_view host, std::string_view path) const;

private:
    service_directory m_directory;
    // Positions in the directory by host and prefix.
    std::unordered_map<std::string, std::size_t> m_positions;
    // Distinct lengths of all prefixes, longest first.
    std::set<std::size_t, std::greater<>> m_prefix_lengths;
};

} // namespace hawthornpin
