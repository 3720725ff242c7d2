// A server with limits of its own and many clients on its thread, for tests of what a crowd of clients can
// take from it.

#pragma once

#include "core/event_loop.h"
#include "core/glib_stream.h"
#include "http/api_server.h"

#include <doctest/doctest.h>

#include <array>
#include <cerrno>
#include <functional>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <vector>

namespace hawthornpin {

// A client that sends as much of its text as the connection takes, and collects what arrives.
class crowd_client {
public:
    crowd_client(const std::string& address, std::string text)
        : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)), m_text(std::move(text))
    {
        sockaddr_in peer{};
        peer.sin_family = AF_INET;
        peer.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        peer.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1))));
        const int result =
            ::connect(m_socket.number(), reinterpret_cast<const sockaddr*>(&peer), sizeof(peer));
        REQUIRE((result == 0 || errno == EINPROGRESS));
    }

    void send(const std::string& text) { m_text += text; }

    // Sends at most `piece` bytes and receives what has arrived.
    void step(std::size_t piece)
    {
        const std::size_t size = std::min(piece, m_text.size() - m_sent);
        const ssize_t sent =
            size == 0 ? 0 : ::send(m_socket.number(), m_text.data() + m_sent, size, MSG_NOSIGNAL);
        if (sent > 0)
            m_sent += static_cast<std::size_t>(sent);
        if (!m_is_reading)
            return;
        std::array<char, 4096> buffer{};
        const ssize_t received = ::recv(m_socket.number(), buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (received > 0)
            m_received.append(buffer.data(), static_cast<std::size_t>(received));
        else if (received == 0 || (errno != EAGAIN && errno != ENOTCONN))
            m_is_closed = true;
    }

    void stop_reading() { m_is_reading = false; }
    bool has_sent_all() const { return m_sent == m_text.size(); }
    std::size_t unsent() const { return m_text.size() - m_sent; }
    std::uint16_t port() const
    {
        sockaddr_in own{};
        socklen_t length = sizeof(own);
        REQUIRE(::getsockname(m_socket.number(), reinterpret_cast<sockaddr*>(&own), &length) == 0);
        return ntohs(own.sin_port);
    }
    bool is_closed() const { return m_is_closed; }
    const std::string& received() const { return m_received; }
    bool has_response(const std::string& end) const { return m_received.ends_with(end); }

private:
    file_descriptor m_socket;
    std::string m_text;
    std::size_t m_sent = 0;
    std::string m_received;
    bool m_is_closed = false;
    bool m_is_reading = true;
};

class crowd {
public:
    explicit crowd(const input_limits& limits, const api_limits& port_limits = make_port_limits())
        : m_guard(limits),
          m_server([this](const api_request& request) { return handle(request); }, port_limits, m_guard)
    {
        last_reason why;
        REQUIRE(m_server.listen("127.0.0.1:0", why));
    }

    // The largest body is that of the platform.
    static api_limits make_port_limits()
    {
        api_limits limits;
        limits.m_max_body_bytes = 262'144;
        limits.m_is_cancelled_on_disconnect = true;
        return limits;
    }

    crowd_client& add(const std::string& text)
    {
        m_clients.push_back(std::make_unique<crowd_client>(m_server.address(), text));
        return *m_clients.back();
    }

    // One step of each client and one iteration of the server's loop.
    void step()
    {
        for (const auto& client : m_clients)
            client->step(m_piece);
        g_main_context_iteration(nullptr, FALSE);
        m_peak_bytes = std::max(m_peak_bytes, m_guard.body_bytes());
    }

    // Steps until the condition holds; fails if that takes so long that it never will.
    void run_until(const std::function<bool()>& condition)
    {
        const instant deadline = boot_now() + std::chrono::seconds(30);
        while (!condition()) {
            REQUIRE(boot_now() < deadline);
            step();
        }
    }

    void run_for(milliseconds span)
    {
        const instant end = boot_now() + span;
        run_until([end] { return boot_now() >= end; });
    }

    // The handler's answer to a request with a body of that size.
    static std::string answer(std::size_t size) { return "size " + std::to_string(size) + "."; }

    // Requests with this path are answered when the test fulfils the promise.
    static constexpr const char* waiting_path = "/wait";

    // Requests with this path get a response that is larger than the buffers of sockets.
    static constexpr const char* large_path = "/large";

    event_loop m_loop;
    input_guard m_guard;
    std::size_t m_piece = 1'000'000;
    std::size_t m_peak_bytes = 0;
    int m_handled = 0;
    std::vector<kj::Own<kj::PromiseFulfiller<void>>> m_waiting;

private:
    kj::Promise<api_response> handle(const api_request& request)
    {
        ++m_handled;
        api_response response;
        response.m_body = request.m_input_fault == reason::none ? answer(request.m_body.size()) : "fault.";
        constexpr std::size_t large_bytes = 16 * 1024 * 1024;
        if (request.m_path == large_path)
            response.m_body.resize(large_bytes);
        if (request.m_path != waiting_path)
            return response;
        auto pair = kj::newPromiseAndFulfiller<void>();
        m_waiting.push_back(kj::mv(pair.fulfiller));
        return pair.promise.then([response] { return response; });
    }

    api_server m_server;
    std::vector<std::unique_ptr<crowd_client>> m_clients;
};

inline std::string plain_request(std::size_t announced, std::size_t sent, const std::string& path = "/job")
{
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(announced) +
           "\r\n\r\n" + std::string(sent, 'x');
}

// A chunked body without its last chunk.
inline std::string chunked_request(std::size_t chunk_bytes, std::size_t chunks)
{
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", chunk_bytes);
    const std::string chunk = size.data() + std::string(chunk_bytes, 'x') + "\r\n";
    std::string text = "POST /job HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::size_t count = 0; count < chunks; ++count)
        text += chunk;
    return text;
}

inline const std::string last_chunk = "0\r\n\r\n";

} // namespace hawthornpin
