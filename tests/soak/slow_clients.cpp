// Starts the clients and counts what they have reached.

#include "tests/soak/slow_clients.h"

#include <algorithm>
#include <map>

namespace hawthornpin::soak {

slow_clients::slow_clients(const std::string& address, const slow_request& request, std::size_t count)
    : m_request(std::make_shared<const slow_request>(request))
{
    for (std::size_t index = 0; index < count; ++index)
        m_clients.push_back(std::make_unique<slow_client>(address, m_request));
}

void slow_clients::start()
{
    for (const auto& client : m_clients)
        m_tasks.add(client->send());
}

void slow_clients::complete_one_in(std::size_t interval)
{
    for (std::size_t index = 0; index < m_clients.size(); index += interval)
        if (m_clients[index]->has_sent())
            m_tasks.add(m_clients[index]->complete());
}

std::size_t slow_clients::count_connected() const
{
    return static_cast<std::size_t>(std::count_if(m_clients.begin(), m_clients.end(),
                                                  [](const auto& client) { return client->is_connected(); }));
}

std::size_t slow_clients::count_closed() const
{
    return static_cast<std::size_t>(std::count_if(m_clients.begin(), m_clients.end(),
                                                  [](const auto& client) { return client->is_closed(); }));
}

std::size_t slow_clients::count_answered() const
{
    return m_clients.size() - count_answered(0);
}

std::size_t slow_clients::count_answered(unsigned status) const
{
    return static_cast<std::size_t>(
        std::count_if(m_clients.begin(), m_clients.end(),
                      [status](const auto& client) { return client->status() == status; }));
}

bool slow_clients::have_all_connected() const
{
    return std::all_of(m_clients.begin(), m_clients.end(),
                       [](const auto& client) { return client->is_connected() || client->is_closed(); });
}

bool slow_clients::have_all_sent() const
{
    return std::all_of(m_clients.begin(), m_clients.end(),
                       [](const auto& client) { return client->has_sent() || client->is_closed(); });
}

std::size_t slow_clients::written() const
{
    std::size_t bytes = 0;
    for (const auto& client : m_clients)
        bytes += client->written();
    return bytes;
}

std::size_t slow_clients::written_by_connected() const
{
    std::size_t bytes = 0;
    for (const auto& client : m_clients)
        bytes += client->is_closed() ? 0 : client->written();
    return bytes;
}

std::size_t slow_clients::total_bytes() const
{
    return m_clients.size() * (m_request->m_text.size() - m_request->m_held_back_bytes);
}

std::string slow_clients::summary() const
{
    std::map<unsigned, std::size_t> by_status;
    for (const auto& client : m_clients)
        ++by_status[client->status()];
    std::string text;
    for (const auto& [status, count] : by_status) {
        if (status != 0)
            text += std::to_string(count) + " answered " + std::to_string(status) + ", ";
    }
    return text + std::to_string(count_closed()) + " closed";
}

} // namespace hawthornpin::soak
