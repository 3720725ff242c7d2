// A server and a client's plain socket in one process, for tests of what clients see.

#pragma once

#include "core/event_loop.h"
#include "core/glib_stream.h"
#include "http/api_server.h"

#include <doctest/doctest.h>

#include <array>
#include <cstdint>
#include <linux/filter.h>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>

namespace hawthornpin {

class served_client {
public:
    explicit served_client(const api_handler& handler, unsigned idle_timeout_seconds = 30)
        : m_server(handler, make_limits(idle_timeout_seconds)), m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        last_reason why;
        REQUIRE(m_server.listen("127.0.0.1:0", why));
        const std::string address = m_server.address();
        sockaddr_in peer{};
        peer.sin_family = AF_INET;
        peer.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        peer.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1))));
        REQUIRE(::connect(m_socket.number(), reinterpret_cast<const sockaddr*>(&peer), sizeof(peer)) == 0);
    }

    void send_request(const std::string& path, const std::string& body) const
    {
        send_text("POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) +
                  "\r\n\r\n" + body);
    }

    void send_text(const std::string& text) const
    {
        REQUIRE(::send(m_socket.number(), text.data(), text.size(), 0) == static_cast<ssize_t>(text.size()));
    }

    // Runs the loop until `size` bytes have arrived or the server has closed the connection.
    std::string receive(std::size_t size)
    {
        std::string received;
        std::array<char, 65'536> buffer{};
        while (received.size() < size) {
            const ssize_t count = ::recv(m_socket.number(), buffer.data(), buffer.size(), MSG_DONTWAIT);
            if (count == 0) {
                m_is_closed = true;
                return received;
            }
            if (count > 0)
                received.append(buffer.data(), static_cast<std::size_t>(count));
            else
                run_until_complete(m_loop, after_delay(1).then([] { return true; }));
        }
        return received;
    }

    // Runs the loop until `end` has arrived at the end of the input or the server has closed the connection.
    std::string receive_until(const std::string& end)
    {
        std::string received;
        while (!received.ends_with(end) && !m_is_closed)
            received += receive(1);
        return received;
    }

    // Lets the server read what was sent.
    void run_loop()
    {
        run_until_complete(m_loop, after_delay(1).then([] { return true; }));
    }

    // Reads the rest of a response that the server has sent completely.
    void receive_rest()
    {
        std::array<char, 65'536> buffer{};
        while (::recv(m_socket.number(), buffer.data(), buffer.size(), MSG_DONTWAIT) > 0) {
        }
    }

    // From now on the client's system drops all that arrives for the connection, and answers no probe.
    void go_silent() const
    {
        sock_filter drop_all[] = {BPF_STMT(BPF_RET | BPF_K, 0)};
        const sock_fprog program{1, drop_all};
        REQUIRE(::setsockopt(m_socket.number(), SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program)) ==
                0);
    }

    event_loop& loop() { return m_loop; }
    bool is_closed() const { return m_is_closed; }
    void close() { m_socket = file_descriptor(); }

private:
    static api_limits make_limits(unsigned idle_timeout_seconds)
    {
        api_limits limits;
        limits.m_idle_timeout_seconds = idle_timeout_seconds;
        limits.m_is_cancelled_on_disconnect = true;
        return limits;
    }

    event_loop m_loop;
    api_server m_server;
    file_descriptor m_socket;
    bool m_is_closed = false;
};

} // namespace hawthornpin
