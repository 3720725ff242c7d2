// A relay in front of a program's port: passes bytes on, and can stall the connections that are open.

#pragma once

#include "support.hh"

namespace review {

class relay {
public:
    relay(std::string address, std::string target)
        : m_address(std::move(address)), m_target(std::move(target))
    {
    }
    ~relay();
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;

    bool start();
    // Bytes that clients send on connections that are open now, and that have not passed yet, pass only after
    // this time. Nothing is lost, and connections that are opened later are not stalled.
    void stall_open_connections(long long span_ms);

private:
    void accept_all();
    // Passes bytes until one side ends; a closed client still has its bytes delivered.
    void pump(std::shared_ptr<connection> from, std::shared_ptr<connection> to, bool is_inbound);

    std::string m_address;
    std::string m_target;
    int m_listener = -1;
    std::atomic<bool> m_is_stopping{false};
    std::atomic<long long> m_stalled_from{-1};
    std::atomic<long long> m_stalled_until{-1};
    std::mutex m_mutex;
    std::vector<std::shared_ptr<connection>> m_connections;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

} // namespace review
