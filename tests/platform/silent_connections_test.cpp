// Tests the platform clients against a peer that no longer answers on the connections that are open, without
// closing them, while new connections work.

#include "platform/directory_follower.h"
#include "platform/http_client.h"
#include "platform/store_client.h"

#include "core/event_loop.h"
#include "http/api_server.h"
#include "http/target_client.h"
#include "tests/soak/fault_proxy.h"

#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace hawthornpin {

namespace {

// A server behind a proxy that can silence all connections of a certain age.
class silenceable_server {
public:
    explicit silenceable_server(std::function<api_response(const api_request&)> answer)
        : m_server([answer = std::move(answer)](
                       const api_request& request) -> kj::Promise<api_response> { return answer(request); },
                   api_limits())
    {
        last_reason why;
        REQUIRE(m_server.listen("127.0.0.1:0", why));
        m_proxy = std::make_unique<soak::fault_proxy>(m_server.address());
        REQUIRE(m_proxy->listen(proxy_address, why));
    }

    // Opens as many connections as there are requests, as they overlap.
    void open_connections(http_client& client, std::size_t count)
    {
        kj::Vector<kj::Promise<http_response>> requests;
        for (std::size_t index = 0; index < count; ++index)
            requests.add(client.send({"GET", url(), "", {}}));
        run_until_complete(m_loop,
                           kj::joinPromises(requests.releaseAsArray()).then([](auto) { return true; }));
    }

    void silence_open_connections() { m_proxy->block_open_connections(); }

    static std::string url() { return std::string("http://") + proxy_address + "/"; }

    static constexpr const char* proxy_address = "127.0.0.77:18169";
    event_loop m_loop;

private:
    api_server m_server;
    std::unique_ptr<soak::fault_proxy> m_proxy;
};

api_response make_text_response(std::string body)
{
    api_response response;
    response.m_body = std::move(body);
    return response;
}

} // namespace

// Guards against a time-out for each idle connection in turn: entries acted by an old configuration for
// longer than its bound, as all of their connections to the store had gone silent at once.
TEST_CASE("one time-out replaces all idle connections that have gone silent")
{
    for (const std::size_t connections : {1, 3, 8}) {
        CAPTURE(connections);
        silenceable_server server([](const api_request&) { return make_text_response("{}"); });
        http_client client(8);
        server.open_connections(client, connections);
        server.silence_open_connections();
        int timeouts = 0;
        const auto ask = [&] {
            constexpr unsigned timeout_ms = 100;
            return run_until_complete(
                server.m_loop, client.send_within({"GET", silenceable_server::url(), "", {}}, timeout_ms));
        };
        while (ask().m_transport != http_transport::answered && timeouts < 20)
            ++timeouts;
        CHECK(timeouts == 1);
    }
}

TEST_CASE("a time-out does not close connections that were answered meanwhile")
{
    int accepted = 0;
    silenceable_server server([&](const api_request& request) {
        ++accepted;
        return make_text_response(request.m_path);
    });
    http_client client(8);
    server.open_connections(client, 1);
    server.silence_open_connections();
    constexpr unsigned timeout_ms = 200;
    auto silent = client.send_within({"GET", silenceable_server::url(), "", {}}, timeout_ms);
    // A second connection, which is answered before the first times out.
    server.open_connections(client, 1);
    CHECK(run_until_complete(server.m_loop, kj::mv(silent)).m_transport == http_transport::lost);
    CHECK(client.count_idle_connections() == 1);
    CHECK(accepted == 2);
}

// Guards against stops of tasks that wait for ever: two of them held all connections for control calls, those
// for renewals of leases included.
TEST_CASE("a target whose connections have gone silent is asked on new ones after one time-out")
{
    silenceable_server server(
        [](const api_request&) { return make_text_response(R"({"slots":8,"running":0})"); });
    target_client client(silenceable_server::proxy_address, 8);
    // Two calls at a time leave two connections.
    auto first = client.status();
    REQUIRE(run_until_complete(server.m_loop, client.status()));
    REQUIRE(run_until_complete(server.m_loop, kj::mv(first)));
    server.silence_open_connections();
    constexpr unsigned control_timeout_ms = 1'000;
    background_tasks stops;
    stops.add(client.stop("a"));
    stops.add(client.stop("b"));
    run_until_complete(server.m_loop, after_delay(control_timeout_ms + 200).then([] { return true; }));
    CHECK(run_until_complete(server.m_loop, client.status()));
}

// The time from the silence on: the store's call is not answered, and the next one uses a new connection. The
// bound is that within which machines are in touch again, so that a change must be in force.
TEST_CASE("a changed configuration is in force in time after all connections to the store have gone silent")
{
    constexpr milliseconds in_touch_after{3'000};
    bool is_changed = false;
    // {"version":3} and {"version":4}
    silenceable_server server([&](const api_request& request) {
        const bool is_read = request.m_path == "/hawthornpin/log-read";
        if (is_read)
            return make_text_response(std::string(16, '\0'));
        return make_text_response(std::string(R"({"items":[{"key":"config","value":")") +
                                  (is_changed ? "eyJ2ZXJzaW9uIjo0fQ==" : "eyJ2ZXJzaW9uIjozfQ==") +
                                  R"(","offset":1}],"end_offset":2})");
    });
    store_client store(silenceable_server::proxy_address);
    // As an entry does when it starts, which leaves three connections.
    kj::Vector<kj::Promise<std::optional<newest_page>>> reads;
    for (int index = 0; index < 3; ++index)
        reads.add(store.read_newest("keyed.t"));
    run_until_complete(server.m_loop,
                       kj::joinPromises(reads.releaseAsArray()).then([](auto) { return true; }));
    std::vector<std::int64_t> versions;
    instant silent_since;
    const directory_follower follower(store, [&](const service_directory& directory, const std::string&) {
        versions.push_back(directory.m_version);
        server.m_loop.stop();
    });
    server.m_loop.run();
    REQUIRE(versions == std::vector<std::int64_t>{3});
    server.silence_open_connections();
    silent_since = boot_now();
    is_changed = true;
    server.m_loop.run();
    CHECK(versions == std::vector<std::int64_t>{3, 4});
    CHECK(boot_now() - silent_since < in_touch_after);
}

} // namespace hawthornpin
