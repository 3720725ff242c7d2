// Tests a server's connections as clients see them: order of responses, large bodies, timeouts and closing.

#include "tests/http/served_client.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <netinet/in.h>
#include <string>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace hawthornpin {

namespace {

constexpr std::size_t large_body_bytes = 4 * 1024 * 1024;

api_response make_text(std::string body)
{
    api_response response;
    response.m_body = std::move(body);
    return response;
}

} // namespace

TEST_CASE("pipelined requests on one connection are answered in their order")
{
    served_client client([](const api_request& request) -> kj::Promise<api_response> {
        return kj::evalLater([path = request.m_path] { return make_text("<" + path + ">"); });
    });
    client.send_request("/first", "{}");
    client.send_request("/second", "{}");
    std::string text = client.receive(1);
    while (text.find("</second>") == std::string::npos)
        text += client.receive(1);
    CHECK(text.find("</first>") < text.find("</second>"));
}

TEST_CASE("a response body larger than the socket's buffers is sent completely")
{
    served_client client([](const api_request& request) -> kj::Promise<api_response> {
        return make_text(std::string(large_body_bytes, 'x') + std::to_string(request.m_body.size()) + ".");
    });
    client.send_request("/large", std::string(2'000, ' '));
    const std::string text = client.receive(large_body_bytes);
    const std::string rest = text.ends_with("2000.") ? "" : client.receive(1);
    CHECK((text + rest).ends_with("x2000."));
}

TEST_CASE("a connection without input is closed after the idle timeout")
{
    served_client client([](const api_request&) -> kj::Promise<api_response> { return make_text("done"); },
                         1);
    CHECK(client.receive(1) == "");
    CHECK(client.is_closed());
}

TEST_CASE("the idle timeout does not end a request that is being handled")
{
    constexpr unsigned longer_than_idle_ms = 1'300;
    served_client client(
        [](const api_request&) {
            return after_delay(longer_than_idle_ms).then([] { return make_text("done"); });
        },
        1);
    client.send_request("/slow", "{}");
    CHECK(client.receive(1).find("200 OK") != std::string::npos);
    // The wait before a request does not count towards the timeout of the next one either.
    client.send_request("/slow", "{}");
    CHECK(client.receive(1).find("200 OK") != std::string::npos);
}

TEST_CASE("a wait for room in the send buffer has the whole idle timeout, whatever an earlier one took")
{
    constexpr unsigned longer_than_idle_ms = 1'300;
    served_client client(
        [](const api_request&) {
            return after_delay(longer_than_idle_ms).then([] {
                return make_text(std::string(large_body_bytes, 'x'));
            });
        },
        1);
    for (int count = 0; count < 2; ++count) {
        client.send_request("/large", "{}");
        CHECK(client.receive(large_body_bytes).size() >= large_body_bytes);
        client.receive_rest();
    }
}

TEST_CASE("a connection that found no free descriptor is accepted and served once there is one")
{
    served_client client([](const api_request&) -> kj::Promise<api_response> { return make_text("done"); });
    client.send_request("/job", "{}");
    rlimit original{};
    REQUIRE(::getrlimit(RLIMIT_NOFILE, &original) == 0);
    constexpr rlim_t lowered_limit = 128;
    const rlimit lowered{lowered_limit, original.rlim_max};
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &lowered) == 0);
    std::vector<file_descriptor> occupied;
    do
        occupied.emplace_back(::dup(STDOUT_FILENO));
    while (occupied.back().is_open());
    constexpr unsigned several_retries_ms = 350;
    run_until_complete(client.loop(), after_delay(several_retries_ms).then([] { return true; }));
    occupied.clear();
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &original) == 0);
    CHECK(client.receive(1).find("200 OK") != std::string::npos);
}

TEST_CASE("a client that disconnects cancels the handling of its request")
{
    bool is_over = false;
    struct guard {
        explicit guard(bool& over) : m_over(over) {}
        ~guard() { m_over = true; }
        guard(const guard&) = delete;
        guard& operator=(const guard&) = delete;
        bool& m_over;
    };
    bool has_begun = false;
    served_client client([&](const api_request&) -> kj::Promise<api_response> {
        has_begun = true;
        return kj::Promise<api_response>(kj::NEVER_DONE).attach(kj::heap<guard>(is_over));
    });
    client.send_request("/never", "{}");
    while (!has_begun)
        run_until_complete(client.loop(), after_delay(1).then([] { return true; }));
    client.close();
    constexpr int max_waits = 1'000;
    for (int wait = 0; wait < max_waits && !is_over; ++wait)
        run_until_complete(client.loop(), after_delay(1).then([] { return true; }));
    CHECK(is_over);
}

TEST_CASE("a client that expects permission to send its body gets it, unless the body is too large")
{
    served_client client([](const api_request& request) -> kj::Promise<api_response> {
        return make_text(request.m_input_fault == reason::none ? request.m_body : "refused");
    });
    client.send_text("POST /job HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n");
    CHECK(client.receive_until("\r\n\r\n") == "HTTP/1.1 100 Continue\r\n\r\n");
    client.send_text("body");
    CHECK(client.receive_until("body").starts_with("HTTP/1.1 200 OK\r\n"));
    client.send_text(
        "POST /job HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 99999999\r\n\r\n");
    CHECK(client.receive_until("refused").starts_with("HTTP/1.1 200 OK\r\n"));
}

TEST_CASE("a body without a declared length is read completely, up to the limit")
{
    served_client client([](const api_request& request) -> kj::Promise<api_response> {
        return make_text(request.m_input_fault == reason::body_too_large
                             ? "too large"
                             : "size " + std::to_string(request.m_body.size()) + ".");
    });
    const std::string head = "POST /job HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    client.send_text(head + "5\r\nabcde\r\n3\r\nfgh\r\n0\r\n\r\n");
    CHECK(client.receive_until("size 8.").ends_with("size 8."));
    constexpr std::size_t chunk_bytes = 0x10000;
    client.send_text(head);
    for (std::size_t sent = 0; sent <= api_limits().m_max_body_bytes; sent += chunk_bytes) {
        client.send_text("10000\r\n" + std::string(chunk_bytes, 'x') + "\r\n");
        client.run_loop();
    }
    CHECK(client.receive_until("too large").find("Connection: close") != std::string::npos);
}

TEST_CASE("a client that asks to close the connection gets its response and then the end of the stream")
{
    served_client client([](const api_request&) -> kj::Promise<api_response> {
        return make_text(std::string(large_body_bytes, 'x') + "end");
    });
    client.send_text("GET /job HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    CHECK(client.receive_until("end").find("Connection: close") != std::string::npos);
    CHECK(client.receive_until("more").empty());
    CHECK(client.is_closed());
}

TEST_CASE("the path of a request is decoded, its query is not")
{
    served_client client([](const api_request& request) -> kj::Promise<api_response> {
        return make_text("<" + request.m_path + "|" + request.m_query + ">");
    });
    const auto ask = [&](const std::string& target) {
        client.send_text("GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n");
        const std::string text = client.receive_until(">");
        return text.substr(std::min(text.find('<'), text.size()));
    };
    CHECK(ask("/a%20b/c?key=%20") == "</a b/c|key=%20>");
    CHECK(ask("http://h:80/a?b") == "</a|b>");
    CHECK(ask("/") == "</|>");
    CHECK(ask("/%zz") == "</%zz|>");
}

TEST_CASE("a request that can't be parsed is refused as not run")
{
    served_client client([](const api_request&) -> kj::Promise<api_response> { return make_text("done"); });
    client.send_text("GET /job\r\nno header\r\n\r\n");
    const std::string text = client.receive_until("{}");
    CHECK(text.starts_with("HTTP/1.1 400"));
    CHECK(text.find("Hawthornpin-Verdict: not_run") != std::string::npos);
}

TEST_CASE(
    "the handler's failure is reported as a request that may have run, also if a connection of it broke")
{
    served_client client([](const api_request&) -> kj::Promise<api_response> {
        return KJ_EXCEPTION(DISCONNECTED, "another connection");
    });
    client.send_request("/job", "{}");
    const std::string text = client.receive_until("may_have_run\r\n\r\n");
    CHECK(text.starts_with("HTTP/1.1 500"));
}

} // namespace hawthornpin
