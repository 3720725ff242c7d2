// Queue lookup by host and longest prefix.

#include "config/service_directory.h"

namespace hawthornpin {

namespace {

std::string_view without_port(std::string_view host)
{
    return host.substr(0, host.find(':'));
}

} // namespace

const queue_contract* find_queue(const service_directory& directory, std::string_view host,
                                 std::string_view path)
{
    const queue_contract* best = nullptr;
    for (const queue_contract& queue : directory.m_queues) {
        if (queue.m_host != without_port(host) || !path.starts_with(queue.m_path_prefix))
            continue;
        if (best == nullptr || queue.m_path_prefix.size() > best->m_path_prefix.size())
            best = &queue;
    }
    return best;
}

bool is_newer(const service_directory& candidate, const std::optional<service_directory>& in_force)
{
    return !in_force || candidate.m_version > in_force->m_version;
}

} // namespace hawthornpin
