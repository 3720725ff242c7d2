// One hash lookup for each distinct prefix length.

#include "config/queue_index.h"

#include <utility>

namespace hawthornpin {

namespace {

std::string make_key(std::string_view host, std::string_view prefix)
{
    // A character that occurs in no host name.
    constexpr char separator = '\n';
    std::string key(host);
    key.push_back(separator);
    key.append(prefix);
    return key;
}

std::string_view strip_port(std::string_view host)
{
    return host.substr(0, host.find(':'));
}

} // namespace

queue_index::queue_index(service_directory directory) : m_directory(std::move(directory))
{
    const auto& queues = m_directory.m_queues;
    m_positions.reserve(queues.size());
    for (std::size_t position = 0; position < queues.size(); ++position) {
        const queue_contract& queue = queues[position];
        m_positions.emplace(make_key(queue.m_host, queue.m_path_prefix), position);
        m_prefix_lengths.insert(queue.m_path_prefix.size());
    }
}

const queue_contract* queue_index::find(std::string_view host, std::string_view path) const
{
    const std::string_view plain_host = strip_port(host);
    for (const std::size_t length : m_prefix_lengths) {
        if (length > path.size())
            continue;
        const auto found = m_positions.find(make_key(plain_host, path.substr(0, length)));
        if (found != m_positions.end())
            return &m_directory.m_queues[found->second];
    }
    return nullptr;
}

} // namespace hawthornpin
