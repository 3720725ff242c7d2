// Tests that callers are probed, before a request that was read late is handled and while it is, and that
// those who answer get their response.

#include "platform/http_client.h"
#include "tests/http/served_client.h"

#include <string>
#include <thread>
#include <vector>

namespace hawthornpin {

namespace {

// Lets what was sent wait unread until its caller must be probed.
void delay_reading()
{
    std::this_thread::sleep_for(caller_probe_after + caller_probe_timeout);
}

} // namespace

TEST_CASE("a caller that answers the probe of its connection gets its response")
{
    constexpr auto handling_ms =
        static_cast<unsigned>((2 * caller_probe_after + 3 * caller_probe_timeout).count());
    event_loop loop;
    api_limits limits;
    limits.m_is_cancelled_on_disconnect = true;
    api_server server(
        [](const api_request&) {
            return after_delay(handling_ms).then([] {
                api_response response;
                response.m_body = "done";
                return response;
            });
        },
        limits);
    last_reason why;
    REQUIRE(server.listen("127.0.0.1:0", why));
    http_client client(1);
    http_request call;
    call.m_method = "POST";
    call.m_url = "http://" + server.address() + "/job";
    call.m_body = "{}";
    call.m_can_reuse_connection = true;
    CHECK(run_until_complete(loop, client.send(call)).m_body == "done");
    // On the same connection, whose last probe has ended.
    CHECK(run_until_complete(loop, client.send(call)).m_body == "done");
}

TEST_CASE("a request that was read late is handled if its caller still waits")
{
    served_client client([](const api_request&) -> kj::Promise<api_response> {
        api_response response;
        response.m_body = "done";
        return response;
    });
    for (int count = 0; count < 2; ++count) {
        client.send_request("/job", "{}");
        delay_reading();
        CHECK(client.receive_until("done").ends_with("done"));
    }
}

TEST_CASE("a request that was read late is not handled if its caller has closed the connection")
{
    int handled = 0;
    served_client client([&handled](const api_request&) -> kj::Promise<api_response> {
        ++handled;
        return api_response();
    });
    client.send_request("/job", "{}");
    client.close();
    delay_reading();
    run_until_complete(client.loop(), after_delay(caller_probe_timeout.count()).then([] { return true; }));
    CHECK(handled == 0);
}

TEST_CASE("a request that was read late is not handled if its caller's connection has gone silent")
{
    int handled = 0;
    served_client client([&handled](const api_request&) -> kj::Promise<api_response> {
        ++handled;
        return api_response();
    });
    client.send_request("/job", "{}");
    client.go_silent();
    delay_reading();
    run_until_complete(client.loop(),
                       after_delay(2 * caller_probe_timeout.count()).then([] { return true; }));
    CHECK(handled == 0);
}

TEST_CASE("a request ends if its caller's connection goes silent, after the first probe or after a later one")
{
    for (const milliseconds alive : {milliseconds(0), caller_probe_after + 2 * caller_probe_timeout}) {
        CAPTURE(alive.count());
        bool is_ended = false;
        served_client client([&is_ended](const api_request&) -> kj::Promise<api_response> {
            return kj::Promise<api_response>(kj::NEVER_DONE).attach(kj::defer([&is_ended] {
                is_ended = true;
            }));
        });
        client.send_request("/job", "{}");
        run_until_complete(client.loop(), after_delay(1 + alive.count()).then([] { return true; }));
        CHECK_FALSE(is_ended);
        client.go_silent();
        const auto noticed_within = caller_probe_after + 3 * caller_probe_timeout;
        run_until_complete(client.loop(), after_delay(noticed_within.count()).then([] { return true; }));
        CHECK(is_ended);
    }
}

// Guards against a job that runs on after its caller cancelled it and left.
TEST_CASE("a cancellation is handled even if its caller has closed the connection")
{
    std::vector<std::string> handled;
    served_client client([&handled](const api_request& request) -> kj::Promise<api_response> {
        handled.push_back(request.m_method);
        return api_response();
    });
    client.send_text("DELETE /job HTTP/1.1\r\nHost: h\r\n\r\n");
    client.close();
    run_until_complete(client.loop(), after_delay(caller_probe_timeout.count()).then([] { return true; }));
    CHECK(handled == std::vector<std::string>{"DELETE"});
}

} // namespace hawthornpin
