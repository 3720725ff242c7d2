// Tests the platform clients against scripted servers on loopback: every status code, malformed bodies,
// broken connections and missing answers.

#include "platform/directory_follower.h"
#include "platform/store_client.h"
#include "platform/worker_client.h"

#include "http/api_server.h"

#include <doctest/doctest.h>

#include <deque>

namespace hawthornpin {

namespace {

// Answers requests from a script, whose last response is repeated, and records the requests.
class scripted_server {
public:
    scripted_server()
        : m_server([this](const api_request& request) { return answer(request); }, make_limits())
    {
        last_reason why;
        REQUIRE(m_server.listen("127.0.0.1:0", why));
    }

    void add(unsigned status, std::string body)
    {
        api_response response;
        response.m_status = status;
        response.m_body = std::move(body);
        m_script.push_back(response);
    }
    void add_dropped()
    {
        api_response response;
        response.m_is_connection_dropped = true;
        m_script.push_back(response);
    }
    void stop_answering() { m_is_unresponsive = true; }

    std::string address() const { return m_server.address(); }

    event_loop m_loop;
    std::vector<api_request> m_requests;

private:
    static api_limits make_limits()
    {
        api_limits limits;
        limits.m_extra_headers = {"Expected-Instance"};
        return limits;
    }

    kj::Promise<api_response> answer(const api_request& request)
    {
        m_requests.push_back(request);
        if (m_is_unresponsive || m_script.empty())
            return kj::NEVER_DONE;
        const api_response response = m_script.front();
        if (m_script.size() > 1)
            m_script.pop_front();
        return response;
    }

    api_server m_server;
    std::deque<api_response> m_script;
    bool m_is_unresponsive = false;
};

run_order make_order()
{
    run_order order;
    order.m_run = {{"5c0e7a21d94b36f8", 0, 1, 17}, 2};
    order.m_specification = "text";
    return order;
}

std::string make_log_header(std::uint8_t end)
{
    return std::string(7, '\0') + static_cast<char>(end) + std::string(8, '\0');
}

} // namespace

TEST_CASE("a worker's answers to a start")
{
    struct answer_case {
        unsigned m_http_status;
        const char* m_body;
        start_answer m_answer;
    };
    constexpr answer_case cases[] = {
        {200, R"({"clock_ms":1})", start_answer::started},
        {409, R"({"clock_ms":1,"reason":"fence"})", start_answer::fenced},
        {409, R"({"clock_ms":1,"reason":"old"})", start_answer::run_too_old},
        {409, R"({"clock_ms":1,"reason":"room"})", start_answer::no_room},
        {409, R"({"clock_ms":1,"reason":"late"})", start_answer::deadline_passed},
        {409, "broken", start_answer::deadline_passed},
        {421, "", start_answer::other_life},
        {400, "", start_answer::malformed},
        {429, "", start_answer::unhealthy},
        {503, "", start_answer::unhealthy},
        {500, "", start_answer::unexpected},
        {504, "", start_answer::unexpected},
    };
    for (const answer_case& row : cases) {
        CAPTURE(row.m_http_status);
        const std::string body = row.m_body;
        CAPTURE(body);
        scripted_server worker;
        worker.add(row.m_http_status, body);
        worker_client client(worker.address());
        CHECK(run_until_complete(worker.m_loop, client.start(make_order(), 7, 900, {"i-1", 0})) ==
              row.m_answer);
        REQUIRE(worker.m_requests.size() == 1);
        CHECK(worker.m_requests[0].m_path == "/hawthornpin/run-start");
        CHECK(worker.m_requests[0].m_extra_headers[0] == "i-1");
        CHECK(worker.m_requests[0].m_body ==
              R"({"task":"5c0e7a21d94b36f8.0.1.17","run":2,"spec":"text","deadline_ms":900,"fence":7})");
    }
}

TEST_CASE("a start may have run if its answer is lost or late, and has not if the connection is refused")
{
    scripted_server worker;
    worker_client client(worker.address());
    start_answer expected = start_answer::started;
    SUBCASE("the connection breaks")
    {
        worker.add_dropped();
        expected = start_answer::disconnected;
    }
    SUBCASE("the worker stops responding")
    {
        worker.stop_answering();
        expected = start_answer::unanswered;
    }
    CHECK(run_until_complete(worker.m_loop, client.start(make_order(), 7, 900, {})) == expected);
    worker_client unreachable("127.0.0.1:1");
    CHECK(run_until_complete(worker.m_loop, unreachable.start(make_order(), 7, 900, {})) ==
          start_answer::unreachable);
    CHECK_FALSE(run_until_complete(worker.m_loop, unreachable.stop(make_order().m_run, 7, "")));
}

TEST_CASE("a worker's answers to a renewal")
{
    struct answer_case {
        unsigned m_http_status;
        const char* m_body;
        renewal_status m_status;
    };
    constexpr answer_case cases[] = {
        {200, R"({"clock_ms":1,"running":[],"finished":[]})", renewal_status::listed},
        {200, R"({"running":[]})", renewal_status::unanswered},
        {200, "truncated{", renewal_status::unanswered},
        {409, R"({"reason":"fence"})", renewal_status::fenced},
        {421, "", renewal_status::other_life},
        {503, "", renewal_status::unanswered},
    };
    for (const answer_case& row : cases) {
        CAPTURE(row.m_http_status);
        scripted_server worker;
        worker.add(row.m_http_status, row.m_body);
        worker_client client(worker.address());
        renewal asked;
        asked.m_fence = 3;
        asked.m_last_seen = 57;
        CHECK(run_until_complete(worker.m_loop, client.renew(asked, "")).m_status == row.m_status);
        CHECK(worker.m_requests.at(0).m_body == R"({"fence":3,"last_seen":57,"wait_ms":0})");
    }
}

TEST_CASE("the store's answers to a read of the log")
{
    struct answer_case {
        unsigned m_http_status;
        std::string m_body;
        store_read_status m_status;
    };
    const answer_case cases[] = {
        {200, make_log_header(1) + encode_keyed_record("k", "v"), store_read_status::answered},
        {200, make_log_header(1), store_read_status::answered},
        {200, "short", store_read_status::unavailable},
        {410, R"({"first_offset":9})", store_read_status::expired},
        {429, "", store_read_status::unavailable},
        {503, "", store_read_status::unavailable},
    };
    for (const answer_case& row : cases) {
        CAPTURE(row.m_http_status);
        scripted_server peer;
        peer.add(row.m_http_status, row.m_body);
        store_client store(peer.address());
        CHECK(run_until_complete(peer.m_loop, store.read_log("keyed.t", 0, 0)).m_status == row.m_status);
        CHECK(peer.m_requests.at(0).m_query == "topic=keyed.t&part=0&from=0&wait_ms=0");
    }
}

TEST_CASE("pages of newest records are followed to the end")
{
    scripted_server peer;
    peer.add(200, R"({"items":[{"key":"a","value":"MQ==","offset":1}],"has_more":true,"end_offset":5})");
    peer.add(200, R"({"items":[{"key":"b","value":"Mg==","offset":2}],"has_more":false,"end_offset":9})");
    store_client store(peer.address());
    const auto page = run_until_complete(peer.m_loop, store.read_newest("keyed.t"));
    REQUIRE(page);
    CHECK(page->m_records.size() == 2);
    // Records written between the two pages are read from the log.
    CHECK(page->m_end_offset == 5);
    CHECK(peer.m_requests.at(1).m_query == "topic=keyed.t&part=0&depends_on=a");
}

TEST_CASE("the configuration is followed across expired records, outages and unreadable records")
{
    scripted_server peer;
    peer.add(503, "");
    // {"version":3}
    peer.add(200, R"({"items":[{"key":"config","value":"eyJ2ZXJzaW9uIjozfQ==","offset":1}],"end_offset":2})");
    peer.add(200, make_log_header(3) + encode_keyed_record("config", "unreadable"));
    peer.add(410, R"({"first_offset":9})");
    // {"version":4}
    peer.add(200,
             R"({"items":[{"key":"config","value":"eyJ2ZXJzaW9uIjo0fQ==","offset":9}],"end_offset":10})");
    peer.add(200, make_log_header(10));
    store_client store(peer.address());
    std::vector<std::int64_t> versions;
    const directory_follower follower(store, [&](const service_directory& directory, const std::string&) {
        versions.push_back(directory.m_version);
        if (directory.m_version == 4)
            peer.m_loop.stop();
    });
    peer.m_loop.run();
    CHECK(versions == std::vector<std::int64_t>{3, 4});
}

// Guards against evacuations that are missed when records expire, and against a state that counts as
// confirmed although the log has further records.
TEST_CASE("evacuations are followed across expired records, outages and partial reads")
{
    scripted_server peer;
    peer.add(503, "");
    peer.add(200, R"({"items":[{"key":"evacuate/a","value":"e30=","offset":1}],"end_offset":2})");
    peer.add(200, make_log_header(4) + encode_keyed_record("evacuate/b", "{}"));
    peer.add(200, make_log_header(4) + encode_keyed_record("evacuate/a", ""));
    peer.add(410, R"({"first_offset":9})");
    peer.add(200, R"({"items":[],"end_offset":10})");
    peer.add(200, make_log_header(10));
    store_client store(peer.address());
    std::vector<evacuation_update> updates;
    const instant begun_at = boot_now();
    const directory_follower follower(
        store, [](const service_directory&, const std::string&) {},
        [&](const evacuation_update& update) {
            updates.push_back(update);
            if (updates.size() == 5)
                peer.m_loop.stop();
        });
    peer.m_loop.run();
    REQUIRE(updates.size() == 5);
    CHECK(updates[0].m_is_snapshot);
    CHECK(updates[0].m_records == std::vector<evacuation_record>{{"a", true}});
    CHECK(updates[0].m_offset == 2);
    REQUIRE(updates[0].m_confirmed_at);
    CHECK(*updates[0].m_confirmed_at >= begun_at);
    CHECK_FALSE(updates[1].m_is_snapshot);
    CHECK(updates[1].m_records == std::vector<evacuation_record>{{"b", true}});
    CHECK(updates[1].m_offset == 3);
    CHECK_FALSE(updates[1].m_confirmed_at);
    CHECK(updates[2].m_records == std::vector<evacuation_record>{{"a", false}});
    CHECK(updates[2].m_offset == 4);
    CHECK(updates[2].m_confirmed_at);
    // The zone whose evacuation was revoked in an expired record is absent from the snapshot.
    CHECK(updates[3].m_is_snapshot);
    CHECK(updates[3].m_records.empty());
    // An answer without new records confirms the state.
    CHECK(updates[4].m_offset == 10);
    CHECK(updates[4].m_confirmed_at);
}

// Guards against an evacuation on a page that can't be reached, which would count as known and absent. The
// log that follows does not contain it either.
TEST_CASE("newest records that end before the last page are not delivered as the evacuated zones")
{
    scripted_server peer;
    SUBCASE("the key of the last record can't be read back")
    {
        const char* const page =
            R"({"items":[{"key":"config","value":"MQ==","offset":1}],"has_more":true,"end_offset":2})";
        peer.add(200, page);
        peer.add(200, page);
    }
    SUBCASE("no key on the page can be read")
    {
        peer.add(200, R"({"items":[{"offset":1}],"has_more":true,"end_offset":2})");
    }
    peer.add(200, make_log_header(3) + encode_keyed_record("evacuate/a", "{}"));
    peer.add(410, R"({"first_offset":9})");
    peer.add(200, R"({"items":[{"key":"evacuate/a","value":"e30=","offset":2}],"end_offset":10})");
    peer.add(200, make_log_header(10));
    store_client store(peer.address());
    std::vector<evacuation_update> updates;
    const directory_follower follower(
        store, [](const service_directory&, const std::string&) {},
        [&](const evacuation_update& update) {
            updates.push_back(update);
            if (update.m_offset == 10)
                peer.m_loop.stop();
        });
    peer.m_loop.run();
    REQUIRE(updates.size() == 1);
    CHECK(updates[0].m_is_snapshot);
    CHECK(updates[0].m_records == std::vector<evacuation_record>{{"a", true}});
}

// Guards against a confirmation by the time of the answer, which may come long after the store read its log.
TEST_CASE("a state is confirmed as of the sending of the read")
{
    scripted_server peer;
    peer.add(200, R"({"items":[],"end_offset":2})");
    store_client store(peer.address());
    const instant sent_at = boot_now();
    const auto page = run_until_complete(peer.m_loop, store.read_newest(operator_topic));
    REQUIRE(page);
    CHECK(make_evacuation_snapshot(*page, sent_at).m_confirmed_at == sent_at);
}

} // namespace hawthornpin
