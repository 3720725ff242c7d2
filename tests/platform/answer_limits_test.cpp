// Tests the bounds on HTTP answers: a peer that sends more than any service does costs a bounded amount of
// memory, and its answer counts as lost.

#include "core/metrics.h"
#include "platform/http_client.h"
#include "platform/log_client.h"
#include "tests/platform/writing_peer.h"

#include <doctest/doctest.h>

#include <sstream>
#include <string>

namespace hawthornpin {

namespace {

constexpr std::size_t mebibyte = 1024 * 1024;
constexpr std::size_t piece_bytes = 64 * 1024;
constexpr unsigned timeout_ms = 20'000;
const std::string head = "HTTP/1.1 200 OK\r\n";

std::string make_chunk(std::size_t bytes)
{
    std::ostringstream size;
    size << std::hex << bytes;
    return size.str() + "\r\n" + std::string(bytes, 'x') + "\r\n";
}

struct exchange_result {
    http_response m_response;
    // Bytes that the process has read from its sockets.
    std::uint64_t m_read = 0;
    std::uint64_t m_counted = 0;
    std::size_t m_idle = 0;
    std::size_t m_open = 0;
};

exchange_result ask(const std::string& first, const std::string& repeated, int count, counter counted,
                    bool closes = false)
{
    event_loop loop;
    writing_peer peer(first, repeated, count, closes);
    http_client client(1);
    exchange_result result;
    const std::uint64_t read_before = process_stream_totals().m_bytes_in;
    const std::uint64_t counted_before = metrics().value(counted);
    result.m_response = run_until_complete(
        loop, client.send_within({"GET", "http://" + peer.address() + "/", "", {}}, timeout_ms));
    result.m_read = process_stream_totals().m_bytes_in - read_before;
    result.m_counted = metrics().value(counted) - counted_before;
    result.m_idle = client.count_idle_connections();
    run_until_complete(loop, after_delay(20).then([] { return true; }));
    result.m_open = peer.open_connections();
    return result;
}

} // namespace

// Guards against an answer that fills the process's memory: a body was read up to 256 MiB.
TEST_CASE("an answer whose body is too large is lost, and its connection is closed")
{
    constexpr int pieces = 12 * mebibyte / piece_bytes;
    std::string first = head;
    std::string repeated(piece_bytes, 'x');
    bool closes = false;
    std::uint64_t max_read = 5 * mebibyte;
    SUBCASE("announced")
    {
        first += "Content-Length: " + std::to_string(12 * mebibyte) + "\r\n\r\n";
        // Nothing of the body is needed to see that.
        max_read = mebibyte;
    }
    SUBCASE("in chunks")
    {
        first += "Transfer-Encoding: chunked\r\n\r\n";
        repeated = make_chunk(piece_bytes);
    }
    SUBCASE("in one chunk")
    {
        first += "Transfer-Encoding: chunked\r\n\r\nc00000\r\n";
    }
    SUBCASE("without a length")
    {
        first += "\r\n";
        closes = true;
    }
    const exchange_result result =
        ask(first, repeated, pieces, counter::http_answer_bodies_too_large, closes);
    CHECK(result.m_response.m_transport == http_transport::disconnected);
    CHECK(result.m_response.m_body.empty());
    CHECK(result.m_read <= max_read);
    CHECK(result.m_counted == 1);
    CHECK(result.m_idle == 0);
    CHECK(result.m_open == 0);
}

// Guards against a head of 64 KiB or more for each connection.
TEST_CASE("an answer whose head does not end is lost, and its connection is closed")
{
    std::string repeated;
    SUBCASE("one header")
    {
        repeated = std::string(1'024, 'x');
    }
    SUBCASE("many headers")
    {
        repeated = "X-Name: value\r\n";
    }
    const exchange_result result =
        ask(head + "X-Long: ", repeated, 100'000 / 15, counter::http_answer_heads_too_large);
    CHECK(result.m_response.m_transport == http_transport::disconnected);
    // The limit, and what is read at once.
    CHECK(result.m_read <= (16 + 16) * 1'024);
    CHECK(result.m_counted == 1);
    CHECK(result.m_open == 0);
}

TEST_CASE("answers of the largest accepted size are read whole")
{
    constexpr int pieces = 4 * mebibyte / piece_bytes;
    std::string first = head;
    std::string repeated(piece_bytes, 'x');
    bool closes = false;
    SUBCASE("announced")
    {
        first += "Content-Length: " + std::to_string(4 * mebibyte) + "\r\n\r\n";
    }
    SUBCASE("without a length")
    {
        first += "\r\n";
        closes = true;
    }
    const exchange_result result =
        ask(first, repeated, pieces, counter::http_answer_bodies_too_large, closes);
    CHECK(result.m_response.m_transport == http_transport::answered);
    CHECK(result.m_response.m_body == std::string(4 * mebibyte, 'x'));
    CHECK(result.m_counted == 0);
}

TEST_CASE("an answer in chunks of one byte is read whole")
{
    std::string chunks;
    for (int count = 0; count < 20'000; ++count)
        chunks += "1\r\nx\r\n";
    const exchange_result result = ask(head + "Transfer-Encoding: chunked\r\n\r\n", chunks + "0\r\n\r\n", 1,
                                       counter::http_answer_bodies_too_large);
    CHECK(result.m_response.m_transport == http_transport::answered);
    CHECK(result.m_response.m_body.size() == 20'000);
    CHECK(result.m_counted == 0);
}

// Guards against a part of an answer that is taken for the whole.
TEST_CASE("an answer that ends early is lost")
{
    std::string first = head;
    SUBCASE("announced")
    {
        first += "Content-Length: 100\r\n\r\n";
    }
    SUBCASE("in chunks")
    {
        first += "Transfer-Encoding: chunked\r\n\r\n64\r\n";
    }
    SUBCASE("between chunks")
    {
        first += "Transfer-Encoding: chunked\r\n\r\n";
    }
    const exchange_result result = ask(first, make_chunk(20), 1, counter::http_answer_bodies_too_large, true);
    CHECK(result.m_response.m_transport == http_transport::disconnected);
    CHECK(result.m_response.m_body.empty());
    CHECK(result.m_counted == 0);
    CHECK(result.m_idle == 0);
}

// A page of the log holds up to 256 records, among them checkpoints of the whole configuration.
TEST_CASE("a page of the log may be larger than the answers of other services")
{
    event_loop loop;
    const std::string record = R"({"offset":1,"body":")" + std::string(10 * mebibyte, 'x') + R"("})";
    const std::string page = R"({"first":1,"next":2,"records":[)" + record + "]}";
    writing_peer peer(head + "Content-Length: " + std::to_string(page.size()) + "\r\n\r\n", page, 1);
    log_client client(peer.address(), "config");
    const auto read = run_until_complete(loop, client.read(1, timeout_ms, 256));
    REQUIRE(read);
    CHECK(read->m_records.at(0).m_body.size() == 10 * mebibyte);
}

} // namespace hawthornpin
