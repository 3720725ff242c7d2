// Tests the cost of connections and requests for a server's event loop, counted in iterations and polled
// descriptors rather than in time.

#include "core/event_loop.h"
#include "core/glib_stream.h"
#include "http/api_server.h"
#include "platform/http_client.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdint>
#include <ctime>
#include <fcntl.h>
#include <limits>
#include <netinet/in.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace hawthornpin {

namespace {

// Poll calls of the event loop since the last reset.
struct poll_counts {
    int m_polls = 0;
    // Polls that ended because the loop woke itself.
    int m_self_wake_ups = 0;
    unsigned m_max_descriptors = 0;
};
poll_counts poll_totals;

bool is_wake_up_descriptor(int descriptor)
{
    std::array<char, 64> target{};
    const std::string link = "/proc/self/fd/" + std::to_string(descriptor);
    return ::readlink(link.c_str(), target.data(), target.size() - 1) > 0 &&
           std::string(target.data()) == "anon_inode:[eventfd]";
}

gint count_poll(GPollFD* descriptors, guint count, gint timeout)
{
    const gint ready = ::poll(reinterpret_cast<pollfd*>(descriptors), count, timeout);
    ++poll_totals.m_polls;
    poll_totals.m_max_descriptors = std::max(poll_totals.m_max_descriptors, count);
    for (guint index = 0; index < count; ++index) {
        if (descriptors[index].revents != 0 && is_wake_up_descriptor(descriptors[index].fd))
            ++poll_totals.m_self_wake_ups;
    }
    return ready;
}

// GLib checks each attached source in every iteration of the loop.
int count_attached_sources()
{
    const guint newest = g_idle_add([](gpointer) -> gboolean { return G_SOURCE_REMOVE; }, nullptr);
    int count = 0;
    for (guint id = 1; id < newest; ++id) {
        if (g_main_context_find_source_by_id(nullptr, id) != nullptr)
            ++count;
    }
    g_source_remove(newest);
    return count;
}

std::int64_t thread_processor_time_ns()
{
    constexpr std::int64_t ns_per_second = 1'000'000'000;
    timespec now{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return now.tv_sec * ns_per_second + now.tv_nsec;
}

// A non-blocking client on the thread of the event loop.
class raw_client {
public:
    explicit raw_client(const std::string& address)
        : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
    {
        sockaddr_in peer{};
        peer.sin_family = AF_INET;
        peer.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        peer.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1))));
        m_is_open =
            ::connect(m_socket.number(), reinterpret_cast<const sockaddr*>(&peer), sizeof(peer)) == 0 ||
            errno == EINPROGRESS;
    }

    // The kernel immediately completes a connection for which the listening socket's queue has room.
    bool is_connected() const
    {
        pollfd state{m_socket.number(), POLLOUT, 0};
        return m_is_open && ::poll(&state, 1, 0) == 1 && (state.revents & (POLLERR | POLLHUP)) == 0;
    }

    void send_request() const
    {
        const std::string text = "POST /job HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\n"
                                 "Content-Length: 2\r\n\r\n{}";
        CHECK(::send(m_socket.number(), text.data(), text.size(), 0) == static_cast<ssize_t>(text.size()));
    }

    bool try_receive_response()
    {
        std::array<char, 4096> buffer{};
        const ssize_t size = ::recv(m_socket.number(), buffer.data(), buffer.size(), 0);
        if (size > 0)
            m_received.append(buffer.data(), static_cast<std::size_t>(size));
        if (!m_received.ends_with("done"))
            return false;
        m_received.clear();
        return true;
    }

private:
    file_descriptor m_socket;
    bool m_is_open = false;
    std::string m_received;
};

// A server whose handler answers in a later event, as that of an entry does.
class loaded_server {
public:
    loaded_server() : m_server([](const api_request&) { return answer_later(); }, limits())
    {
        g_main_context_set_poll_func(nullptr, count_poll);
        last_reason why;
        REQUIRE(m_server.listen("127.0.0.1:0", why));
    }
    ~loaded_server() { g_main_context_set_poll_func(nullptr, nullptr); }
    loaded_server(const loaded_server&) = delete;
    loaded_server& operator=(const loaded_server&) = delete;

    raw_client connect() const { return raw_client(m_server.address()); }

    void exchange(raw_client& client)
    {
        client.send_request();
        while (!client.try_receive_response())
            g_main_context_iteration(nullptr, TRUE);
    }

    http_response exchange(http_client& client, const http_request& call)
    {
        return run_until_complete(m_loop, client.send(call));
    }

    std::string address() const { return m_server.address(); }

    // Serves each client once, so that all are accepted, and then resets the counts.
    void warm_up(std::vector<raw_client>& clients)
    {
        for (raw_client& client : clients)
            exchange(client);
        while (g_main_context_iteration(nullptr, FALSE) != FALSE) {
        }
        poll_totals = {};
    }

private:
    static api_limits limits()
    {
        api_limits limits;
        limits.m_is_cancelled_on_disconnect = true;
        return limits;
    }

    static kj::Promise<api_response> answer_later()
    {
        return kj::evalLater([] {
            api_response response;
            response.m_body = "done";
            return response;
        });
    }

    event_loop m_loop;
    api_server m_server;
};

} // namespace

TEST_CASE("idle connections add no descriptors to the poll of each iteration")
{
    loaded_server server;
    std::vector<raw_client> first_client;
    first_client.push_back(server.connect());
    server.warm_up(first_client);
    server.exchange(first_client.front());
    const unsigned descriptors_with_one_client = poll_totals.m_max_descriptors;

    // Number of connections that an entry has at the largest sites of the users.
    constexpr int connections = 300;
    std::vector<raw_client> idle_clients;
    for (int index = 0; index < connections; ++index) {
        idle_clients.push_back(server.connect());
        server.exchange(idle_clients.back());
    }
    server.warm_up(idle_clients);
    server.exchange(idle_clients.front());
    CHECK(poll_totals.m_max_descriptors == descriptors_with_one_client);
}

TEST_CASE("idle connections add no sources to the event loop")
{
    loaded_server server;
    std::vector<raw_client> first_client;
    first_client.push_back(server.connect());
    server.warm_up(first_client);
    const int sources_with_one_client = count_attached_sources();

    constexpr int connections = 100;
    std::vector<raw_client> idle_clients;
    idle_clients.reserve(connections);
    for (int index = 0; index < connections; ++index)
        idle_clients.push_back(server.connect());
    server.warm_up(idle_clients);
    CHECK(count_attached_sources() == sources_with_one_client);
}

TEST_CASE("the processor time of a request does not grow with idle connections")
{
    // Both ends of each connection are open in this process, whose limit is usually 1,024 descriptors.
    constexpr int connections = 450;
    constexpr int rounds = 9;
    constexpr int requests = 100;
    constexpr double allowed_growth = 1.3;
    loaded_server server;
    std::vector<raw_client> clients;
    clients.push_back(server.connect());
    const auto measure_fastest_round = [&] {
        server.warm_up(clients);
        std::int64_t fastest = std::numeric_limits<std::int64_t>::max();
        for (int round = 0; round < rounds; ++round) {
            const std::int64_t begin = thread_processor_time_ns();
            for (int count = 0; count < requests; ++count)
                server.exchange(clients.front());
            fastest = std::min(fastest, thread_processor_time_ns() - begin);
        }
        return static_cast<double>(fastest);
    };
    const double without_idle_connections = measure_fastest_round();
    for (int index = 0; index < connections; ++index)
        clients.push_back(server.connect());
    CHECK(measure_fastest_round() <= allowed_growth * without_idle_connections);
}

TEST_CASE("a request does not make the loop wake itself")
{
    loaded_server server;
    std::vector<raw_client> clients;
    clients.push_back(server.connect());
    server.warm_up(clients);
    constexpr int requests = 20;
    for (int count = 0; count < requests; ++count)
        server.exchange(clients.front());
    CHECK(poll_totals.m_self_wake_ups == 0);
    // For reading the request, the handler's answer, writing the response, and waiting for the next request.
    constexpr int iterations_per_request = 4;
    CHECK(poll_totals.m_polls <= iterations_per_request * requests);
}

TEST_CASE("a call of the client does not make the loop wake itself")
{
    loaded_server server;
    http_client client(1);
    http_request call;
    call.m_method = "POST";
    call.m_url = "http://" + server.address() + "/job";
    call.m_body = "{}";
    call.m_can_reuse_connection = true;
    CHECK(server.exchange(client, call).m_body == "done");
    poll_totals = {};
    constexpr int calls = 20;
    for (int count = 0; count < calls; ++count)
        CHECK(server.exchange(client, call).m_body == "done");
    // Starting and stopping the main loop for each call wakes it as often.
    CHECK(poll_totals.m_self_wake_ups <= 2 * calls);
    // Those of the server and, for the client, sending and reading.
    constexpr int iterations_per_call = 8;
    CHECK(poll_totals.m_polls <= iterations_per_call * calls);
}

TEST_CASE("callers that connect while the server is busy are not rejected")
{
    loaded_server server;
    // The callers of a zone within one second, each with a new connection. If the queue is full, TCP sends
    // the lost SYN again only after a second.
    constexpr int callers = 300;
    std::vector<raw_client> clients;
    clients.reserve(callers);
    for (int index = 0; index < callers; ++index)
        clients.push_back(server.connect());
    const auto connected = std::count_if(clients.begin(), clients.end(),
                                         [](const raw_client& client) { return client.is_connected(); });
    CHECK(connected == callers);
}

} // namespace hawthornpin
