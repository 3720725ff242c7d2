// Tests the bounds on what the RPC port and the links read from their peers.

#include "core/event_loop.h"
#include "rpc/link.h"
#include "rpc/rpc_server.h"
#include "tests/platform/writing_peer.h"

#include <capnp/rpc-twoparty.h>
#include <capnp/rpc.capnp.h>
#include <doctest/doctest.h>

#include <algorithm>
#include <fstream>
#include <vector>

#include <unistd.h>

namespace hawthornpin {

namespace {

constexpr std::size_t mebibyte = 1024 * 1024;
const std::string cluster_key = "key";

// Answers submissions with the text of their first payload.
class echoing_node final : public wire::Node::Server {
public:
    kj::Promise<void> submit(SubmitContext context) override
    {
        const auto payloads = context.getParams().getSubmission().getPayloads();
        auto answers = context.getResults().initAnswer().initAnswers(1);
        answers.set(0, payloads[0]);
        return kj::READY_NOW;
    }
};

kj::Promise<std::size_t> submit(wire::Node::Client node, std::size_t bytes)
{
    auto request = node.submitRequest();
    request.initSubmission().initPayloads(1).set(0, std::string(bytes, 'x').c_str());
    return request.send().then([](auto response) { return response.getAnswer().getAnswers()[0].size(); });
}

// A word of two 32-bit numbers, as in the table of a message.
std::string make_words(const std::vector<std::uint32_t>& numbers)
{
    std::string text;
    for (const std::uint32_t number : numbers) {
        for (unsigned shift = 0; shift < 32; shift += 8)
            text += static_cast<char>(number >> shift & 0xff);
    }
    return text;
}

// The table of a message of one segment.
std::string announce(std::size_t bytes)
{
    return make_words({0, static_cast<std::uint32_t>(bytes / 8)});
}

class server_fixture {
public:
    explicit server_fixture(rpc_server_limits limits)
    {
        last_reason why;
        auto socket = listen_on("127.0.0.1:0", why);
        REQUIRE(socket);
        m_server = std::make_unique<rpc_server>(std::move(*socket), cluster_key, kj::heap<echoing_node>(),
                                                limits, m_metrics);
    }

    void run_loop_for(unsigned duration_ms)
    {
        run_until_complete(m_loop, after_delay(duration_ms).then([] { return true; }));
    }

    template <typename Condition>
    bool run_until(Condition condition)
    {
        constexpr int max_rounds = 1'000;
        for (int round = 0; round < max_rounds && !condition(); ++round)
            run_loop_for(5);
        return condition();
    }

    kj::Own<glib_stream> connect() { return run_until_complete(m_loop, connect_stream(m_server->address())); }

    // Sends the bytes, without waiting for their arrival.
    void send(glib_stream& stream, const std::string& bytes)
    {
        run_until_complete(m_loop, stream.write(bytes.data(), bytes.size())
                                       .then([] { return true; }, [](kj::Exception&&) { return false; }));
    }

    event_loop m_loop;
    metrics m_metrics;
    std::unique_ptr<rpc_server> m_server;
};

// A peer with the cluster key that afterwards sends what the test wants.
class authenticated_peer {
public:
    explicit authenticated_peer(server_fixture& fixture)
        : m_stream(fixture.connect()), m_network(*m_stream, capnp::rpc::twoparty::Side::CLIENT),
          m_system(capnp::makeRpcClient(m_network)),
          m_node(run_until_complete(fixture.m_loop, authenticate()))
    {
    }

    glib_stream& stream() { return *m_stream; }

private:
    kj::Promise<wire::Node::Client> authenticate()
    {
        capnp::MallocMessageBuilder message;
        auto server = message.initRoot<capnp::rpc::twoparty::VatId>();
        server.setSide(capnp::rpc::twoparty::Side::SERVER);
        auto authenticator = m_system.bootstrap(server).castAs<wire::Authenticator>();
        return authenticator.challengeRequest().send().then([authenticator](auto response) mutable {
            auto request = authenticator.authenticateRequest();
            request.setProof(compute_challenge_proof(cluster_key, response.getNonce().cStr()));
            return request.send().then([](auto answer) { return answer.getNode(); });
        });
    }

    kj::Own<glib_stream> m_stream;
    capnp::TwoPartyVatNetwork m_network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> m_system;
    wire::Node::Client m_node;
};

rpc_server_limits make_limits()
{
    rpc_server_limits limits;
    // Longer than the tests, which check the other limits.
    limits.m_authentication_timeout_ms = 60'000;
    return limits;
}

std::size_t resident_bytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

} // namespace

// Guards against strangers that fill the process's memory: each could announce and send 20 MiB.
TEST_CASE("a peer that sends more than a handshake before it authenticates is disconnected")
{
    server_fixture fixture(make_limits());
    const std::uint64_t counted_before = fixture.m_metrics.value(counter::rpc_unauthenticated_oversized) +
                                         fixture.m_metrics.value(counter::rpc_messages_too_large);
    auto stranger = fixture.connect();
    const std::uint64_t read_before = process_stream_totals().m_bytes_in;
    SUBCASE("a large message")
    {
        fixture.send(*stranger, announce(8 * mebibyte) + std::string(mebibyte, 'x'));
    }
    SUBCASE("only the announcement of one")
    {
        fixture.send(*stranger, announce(8 * 1'024));
    }
    SUBCASE("a segment of the largest size")
    {
        fixture.send(*stranger, make_words({0, 0xffff'ffff}));
    }
    SUBCASE("many segments")
    {
        std::vector<std::uint32_t> table(512, 0xffff'ffff);
        table[0] = 510;
        fixture.send(*stranger, make_words(table));
    }
    SUBCASE("a table of more segments than any message has")
    {
        fixture.send(*stranger, make_words({0xffff'ffff, 1}));
    }
    SUBCASE("many small messages")
    {
        std::string all;
        for (std::uint32_t question = 0; all.size() < 16 * 1'024; ++question) {
            capnp::MallocMessageBuilder message;
            message.initRoot<capnp::rpc::Message>().initBootstrap().setQuestionId(question);
            const auto bytes = message.getSegmentsForOutput()[0].asBytes();
            all += announce(bytes.size());
            all.append(bytes.asChars().begin(), bytes.size());
        }
        fixture.send(*stranger, all);
    }
    SUBCASE("byte by byte")
    {
        for (const char byte : announce(8 * 1'024))
            fixture.send(*stranger, std::string(1, byte));
    }
    CHECK(fixture.run_until([&] { return stranger->has_hung_up(); }));
    CHECK(fixture.m_server->connections() == 0);
    CHECK(process_stream_totals().m_bytes_in - read_before <= 32 * 1'024);
    CHECK(fixture.m_metrics.value(counter::rpc_unauthenticated_oversized) +
              fixture.m_metrics.value(counter::rpc_messages_too_large) ==
          counted_before + 1);
}

// Guards against strangers that close the connections of the system's own processes by connecting.
TEST_CASE("connections of strangers replace only those of strangers")
{
    rpc_server_limits limits = make_limits();
    limits.m_max_connections = 4;
    limits.m_max_unauthenticated = 8;
    server_fixture fixture(limits);
    authenticated_peer peer(fixture);
    link_pool links(cluster_key, 4);
    auto node = run_until_complete(fixture.m_loop, links.node(fixture.m_server->address()));
    constexpr std::size_t stranger_count = 60;
    std::vector<kj::Own<glib_stream>> strangers;
    strangers.reserve(stranger_count);
    for (std::size_t count = 0; count < stranger_count; ++count)
        strangers.push_back(fixture.connect());
    fixture.run_loop_for(50);
    CHECK_FALSE(peer.stream().has_hung_up());
    CHECK(fixture.m_server->connections() == 10);
    CHECK(fixture.m_metrics.value(counter::rpc_unauthenticated_evicted) == 52);
    CHECK(fixture.m_metrics.value(counter::connections_closed_for_budget) == 0);
    // On the connection that was open before.
    CHECK(run_until_complete(fixture.m_loop, submit(node, 100).then([](std::size_t) { return true; },
                                                                    [](kj::Exception&&) { return false; })));
    // And a new one of the system's own processes takes the place of a stranger.
    const authenticated_peer another(fixture);
    CHECK(fixture.m_server->connections() == 10);
}

TEST_CASE("beyond the limit of authenticated connections, the one that authenticated first is closed")
{
    rpc_server_limits limits = make_limits();
    limits.m_max_connections = 2;
    server_fixture fixture(limits);
    authenticated_peer first(fixture);
    authenticated_peer second(fixture);
    authenticated_peer third(fixture);
    CHECK(fixture.run_until([&] { return first.stream().has_hung_up(); }));
    CHECK_FALSE(second.stream().has_hung_up());
    CHECK_FALSE(third.stream().has_hung_up());
    CHECK(fixture.m_metrics.value(counter::connections_closed_for_budget) == 1);
}

TEST_CASE("a peer that does not authenticate in time is disconnected and counted")
{
    rpc_server_limits limits;
    limits.m_authentication_timeout_ms = 50;
    server_fixture fixture(limits);
    const authenticated_peer peer(fixture);
    auto stranger = fixture.connect();
    CHECK(fixture.run_until([&] { return stranger->has_hung_up(); }));
    CHECK(fixture.m_metrics.value(counter::rpc_authentication_timeouts) == 1);
    CHECK(fixture.m_server->connections() == 1);
}

// Guards against peers that stall within large messages, which each kept what they had sent.
TEST_CASE("of the incomplete messages beyond the budget, the oldest give way")
{
    rpc_server_limits limits = make_limits();
    limits.m_messages.m_max_incomplete_bytes = 8 * mebibyte;
    server_fixture fixture(limits);
    const std::uint64_t counted_before = fixture.m_metrics.value(counter::rpc_incomplete_messages_evicted);
    link_pool links(cluster_key, 4);
    auto node = run_until_complete(fixture.m_loop, links.node(fixture.m_server->address()));
    std::vector<std::unique_ptr<authenticated_peer>> peers;
    for (int count = 0; count < 3; ++count) {
        peers.push_back(std::make_unique<authenticated_peer>(fixture));
        const std::uint64_t read_before = process_stream_totals().m_bytes_in;
        fixture.send(peers.back()->stream(), announce(16 * mebibyte) + std::string(3 * mebibyte, 'x'));
        fixture.run_until([&] { return process_stream_totals().m_bytes_in - read_before > 3 * mebibyte; });
        CHECK(fixture.m_server->incomplete_bytes() <= 8 * mebibyte);
    }
    CHECK(fixture.run_until([&] { return peers[0]->stream().has_hung_up(); }));
    CHECK_FALSE(peers[1]->stream().has_hung_up());
    CHECK_FALSE(peers[2]->stream().has_hung_up());
    CHECK(fixture.m_server->incomplete_bytes() > 0);
    CHECK(fixture.m_metrics.value(counter::rpc_incomplete_messages_evicted) == counted_before + 1);
    // A message that is complete at once passes.
    CHECK(run_until_complete(fixture.m_loop, submit(node, 100)) == 100);
    // What a closed connection held is free again.
    peers.clear();
    CHECK(fixture.run_until([&] { return fixture.m_server->incomplete_bytes() == 0; }));
}

// Guards against memory that grows with the number of peers, with the limits that the daemons use.
TEST_CASE("incomplete messages of many peers take a bounded amount of memory")
{
    server_fixture fixture(make_limits());
    const std::size_t resident_before = resident_bytes();
    std::vector<std::unique_ptr<authenticated_peer>> peers;
    const std::string piece(mebibyte / 4, 'x');
    for (int count = 0; count < 24; ++count) {
        peers.push_back(std::make_unique<authenticated_peer>(fixture));
        fixture.send(peers.back()->stream(), announce(16 * mebibyte));
        for (int pieces = 0; pieces < 32; ++pieces)
            fixture.send(peers.back()->stream(), piece);
        fixture.run_loop_for(20);
        CHECK(fixture.m_server->incomplete_bytes() <= message_limits().m_max_incomplete_bytes);
    }
    // 24 peers have sent 8 MiB each, 192 MiB. The allocator does not return all freed memory, so the bound is
    // three times the budget.
    CHECK(resident_bytes() <= resident_before + 3 * message_limits().m_max_incomplete_bytes);
}

// The largest messages are jobs of 770 payloads, with at most 16 MiB, and their answers.
TEST_CASE("a message of nearly the largest size passes in both directions, and a larger one does not")
{
    server_fixture fixture(make_limits());
    link_pool links(cluster_key, 4);
    auto node = run_until_complete(fixture.m_loop, links.node(fixture.m_server->address()));
    const std::uint64_t counted_before = fixture.m_metrics.value(counter::rpc_messages_too_large);
    CHECK(run_until_complete(fixture.m_loop, submit(node, 19 * mebibyte)) == 19 * mebibyte);
    CHECK(fixture.m_server->incomplete_bytes() == 0);
    CHECK(links.incomplete_bytes() == 0);
    CHECK(fixture.m_metrics.value(counter::rpc_messages_too_large) == counted_before);
    authenticated_peer peer(fixture);
    fixture.send(peer.stream(), announce(21 * mebibyte));
    CHECK(fixture.run_until([&] { return peer.stream().has_hung_up(); }));
    CHECK(fixture.m_metrics.value(counter::rpc_messages_too_large) == counted_before + 1);
}

// Guards against peers whose answers together fill the memory of the process that called them.
TEST_CASE("answers beyond the budget of a pool of links break their connection")
{
    server_fixture fixture(make_limits());
    message_limits limits;
    limits.m_max_incomplete_bytes = 4 * mebibyte;
    link_pool links(cluster_key, 4, limits);
    auto node = run_until_complete(fixture.m_loop, links.node(fixture.m_server->address()));
    const std::uint64_t counted_before = fixture.m_metrics.value(counter::rpc_incomplete_messages_evicted);
    CHECK(run_until_complete(fixture.m_loop, submit(node, 3 * mebibyte)) == 3 * mebibyte);
    const bool is_disconnected = run_until_complete(
        fixture.m_loop, submit(node, 5 * mebibyte)
                            .then([](std::size_t) { return false; },
                                  [](kj::Exception&& failure) {
                                      return failure.getType() == kj::Exception::Type::DISCONNECTED;
                                  }));
    CHECK(is_disconnected);
    CHECK(links.incomplete_bytes() == 0);
    CHECK(fixture.m_metrics.value(counter::rpc_incomplete_messages_evicted) == counted_before + 1);
}

// Guards against a limit that the system's own processes reach when they all connect anew, as after a restart
// of the process that they connect to.
TEST_CASE("300 peers that connect at once all authenticate")
{
    constexpr std::size_t peers = 300;
    rpc_server_limits limits;
    limits.m_max_connections = 1'024;
    server_fixture fixture(limits);
    std::vector<std::unique_ptr<link_pool>> pools;
    kj::Vector<kj::Promise<bool>> connected;
    const std::uint64_t read_before = process_stream_totals().m_bytes_in;
    for (std::size_t count = 0; count < peers; ++count) {
        pools.push_back(std::make_unique<link_pool>(cluster_key, 4));
        connected.add(
            pools.back()
                ->node(fixture.m_server->address())
                .then([](wire::Node::Client) { return true; }, [](kj::Exception&&) { return false; }));
    }
    auto all = kj::joinPromises(connected.releaseAsArray());
    const auto results = run_until_complete(fixture.m_loop, kj::mv(all));
    CHECK(std::count(results.begin(), results.end(), true) == peers);
    CHECK(fixture.m_server->connections() == peers);
    CHECK(fixture.m_metrics.value(counter::rpc_unauthenticated_evicted) == 0);
    // In both directions; each may have `m_max_unauthenticated_bytes`.
    CHECK((process_stream_totals().m_bytes_in - read_before) / peers < 1'400);
}

// Guards against a process of another kind at the address of a peer, which sends without being asked.
TEST_CASE("a link reads little from a peer that has not accepted its proof")
{
    event_loop loop;
    writing_peer peer(announce(16 * mebibyte), std::string(64 * 1'024, 'x'), 128);
    link_pool links(cluster_key, 4);
    metrics counts;
    const std::uint64_t counted_before = counts.value(counter::rpc_unauthenticated_oversized);
    const std::uint64_t read_before = process_stream_totals().m_bytes_in;
    const bool is_connected = run_until_complete(
        loop, links.node(peer.address())
                  .then([](wire::Node::Client) { return true; }, [](kj::Exception&&) { return false; }));
    CHECK_FALSE(is_connected);
    CHECK(process_stream_totals().m_bytes_in - read_before <= 32 * 1'024);
    CHECK(counts.value(counter::rpc_unauthenticated_oversized) == counted_before + 1);
}

} // namespace hawthornpin
