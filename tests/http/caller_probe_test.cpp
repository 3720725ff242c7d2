// Tests that callers are probed, before a request that was read late is handled and while it is, and that
// those who answer get their response.

#include "platform/http_client.h"
#include "tests/http/served_client.h"

#include <thread>

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

} // namespace hawthornpin
