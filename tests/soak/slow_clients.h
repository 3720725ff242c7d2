// Many clients that send the same request at once and stop short of its end.

#pragma once

#include "core/event_loop.h"
#include "tests/soak/slow_client.h"

#include <memory>
#include <string>
#include <vector>

namespace hawthornpin::soak {

class slow_clients {
public:
    slow_clients(const std::string& address, const slow_request& request, std::size_t count);

    // Connects all clients and sends their requests up to the held-back bytes.
    void start();
    // Lets one client in `interval` send the rest; 1: all of them.
    void complete_one_in(std::size_t interval);

    std::size_t size() const { return m_clients.size(); }
    std::size_t count_connected() const;
    std::size_t count_closed() const;
    // Clients with a response.
    std::size_t count_answered() const;
    std::size_t count_answered(unsigned status) const;
    bool have_all_connected() const;
    // Whether each client has sent what it is to send, or its connection has ended.
    bool have_all_sent() const;
    // Bytes that all clients have written, and those of the clients that are still connected.
    std::size_t written() const;
    std::size_t written_by_connected() const;
    // Bytes that the clients send if none is refused.
    std::size_t total_bytes() const;
    // The number of responses by status and of ended connections.
    std::string summary() const;

private:
    std::shared_ptr<const slow_request> m_request;
    std::vector<std::unique_ptr<slow_client>> m_clients;
    background_tasks m_tasks;
};

} // namespace hawthornpin::soak
