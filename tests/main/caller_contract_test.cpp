// Tests of the caller interface against a complete system; invalid requests are listed in tables.

#include "tests/main/system_fixture.h"

#include "core/json.h"

namespace hawthornpin {

namespace {

std::string reason_of(const http_response& response)
{
    reason why = reason::none;
    const auto document = json_document::parse(response.m_body, why);
    return document ? document->root().text("reason").value_or("") : "no JSON";
}

std::string many_tasks(int count)
{
    std::string body = "{\"tasks\":[";
    for (int index = 0; index < count; ++index)
        body += std::string(index == 0 ? "" : ",") + "{\"payload\":\"{}\"}";
    return body + "]}";
}

// A body for PUT and its expected refusal.
struct body_case {
    std::string m_body;
    unsigned m_status;
    std::string m_reason;
};

std::vector<body_case> body_cases()
{
    return {
        {"", 400, "bad_json"},
        {"{\"tasks\":[{\"payload\":\"x\"}", 400, "bad_json"},
        {"[]", 400, "bad_json"},
        {"{\"tasks\":[[[[[[[[[[]]]]]]]]]]}", 400, "bad_json"},
        {"{\"tasks\":[{\"payload\":\"\xff\"}]}", 400, "bad_json"},
        {"{}", 400, "bad_request"},
        {"{\"tasks\":{}}", 400, "bad_request"},
        {"{\"tasks\":[1]}", 400, "bad_request"},
        {"{\"tasks\":[{\"payload\":1}]}", 400, "bad_request"},
        {"{\"tasks\":[{\"payload\":\"x\",\"paylod\":\"y\"}]}", 400, "bad_request"},
        {"{\"tasks\":[{\"payload\":\"x\"}],\"deadline_ms\":\"1\"}", 400, "bad_request"},
        {"{\"tasks\":[{\"payload\":\"x\"}],\"deadline_ms\":-1}", 400, "bad_request"},
        {"{\"tasks\":[{\"payload\":\"x\"}],\"needs\":{\"memory\":1}}", 400, "bad_request"},
        {"{\"tasks\":[{\"payload\":\"x\\u0000y\"}]}", 400, "bad_json"},
        {"{\"tasks\":[{\"payload\":\"x\"}],\"tasks\":[]}", 400, "duplicate_key"},
        {"{\"tasks\":[]}", 400, "no_tasks"},
        {many_tasks(771), 413, "too_many_tasks"},
        {"{\"tasks\":[{\"payload\":\"" + std::string(1025, 'x') + "\"}]}", 413, "payload_too_large"},
        {"{\"tasks\":[{\"payload\":\"" + std::string(70'000, 'x') + "\"}]}", 413, "body_too_large"},
        {"{\"service\":\"No Name\",\"tasks\":[{\"payload\":\"x\"}]}", 400, "bad_name"},
        {"{\"service\":\"groups\",\"tasks\":[{\"payload\":\"x\"}]}", 400, "ticket_other_service"},
        {"{\"tasks\":[{\"payload\":\"x\"}],\"needs\":{\"accelerators\":3}}", 422, "never_fits"},
        {"{\"tasks\":[{\"payload\":\"x\"}],\"deadline_ms\":1}", 503, "deadline_unreachable"},
    };
}

// A request with an invalid key, path, method or body outside the PUT table, and its expected refusal.
struct request_case {
    const char* m_method;
    const char* m_path;
    const char* m_body;
    const char* m_key;
    unsigned m_status;
    const char* m_reason;
};

constexpr request_case request_cases[] = {
    {"POST", "/v1/services/circles/tickets", "", "wrong-key", 401, "unauthorized"},
    {"POST", "/v1/services/nothing/tickets", "", "test-key", 404, "unknown_service"},
    {"POST", "/v1/services/No%20Name/tickets", "", "test-key", 400, "bad_name"},
    {"POST", "/v1/services/circles/tickets", "{\"count\":0}", "test-key", 400, "bad_request"},
    {"POST", "/v1/services/circles/tickets", "{\"count\":1001}", "test-key", 400, "bad_request"},
    {"POST", "/v1/services/circles/tickets", "{\"cuont\":1}", "test-key", 400, "bad_request"},
    {"POST", "/v1/services/groups/tickets", "", "test-key", 503, "no_worker"},
    {"POST", "/v1/services/circles/jobs", "{\"tasks\":[{\"payload\":\"x\"}]}", "test-key", 428,
     "not_repeatable"},
    {"GET", "/v1/nothing", "", "test-key", 400, "bad_request"},
    {"PUT", "/v1/jobs/nonsense", "{\"tasks\":[{\"payload\":\"x\"}]}", "test-key", 400, "ticket_malformed"},
    {"GET", "/v1/jobs/nonsense", "", "test-key", 400, "ticket_malformed"},
    {"DELETE", "/v1/jobs/nonsense", "", "test-key", 400, "ticket_malformed"},
};

} // namespace

TEST_CASE("refusals of invalid requests say not_run and a reason, and the entry keeps serving")
{
    system_fixture fixture;
    const std::string good = "{\"tasks\":[{\"payload\":\"{\\\"echo\\\":\\\"seat\\\"}\"}]}";

    for (const body_case& one : body_cases()) {
        CAPTURE(one.m_body.substr(0, 60));
        const auto response = fixture.call("PUT", "/v1/jobs/" + fixture.take_ticket(), one.m_body);
        CHECK(response.m_status == one.m_status);
        CHECK(reason_of(response) == one.m_reason);
        CHECK(response.m_verdict == "not_run");
    }
    for (const request_case& one : request_cases) {
        CAPTURE(std::string(one.m_path));
        const auto response = fixture.call(one.m_method, one.m_path, one.m_body, one.m_key);
        CHECK(response.m_status == one.m_status);
        CHECK(reason_of(response) == one.m_reason);
        CHECK(response.m_verdict == "not_run");
    }
    // A forged ticket: one character of the signature is changed.
    std::string forged = fixture.take_ticket();
    forged[forged.size() - 3] = forged[forged.size() - 3] == 'A' ? 'B' : 'A';
    CHECK(fixture.call("PUT", "/v1/jobs/" + forged, good).m_status == 403);

    // An expired ticket, signed with the right key but for another time, is refused by its home.
    const ticket_keys keys{"t", ""};
    reason why = reason::none;
    auto decoded = *decode_ticket(fixture.take_ticket(), keys, why);
    decoded.m_id = generate_ticket_id();
    decoded.m_expiry -= milliseconds(180'000);
    const auto expired = fixture.call("PUT", "/v1/jobs/" + encode_ticket(decoded, keys), good);
    CHECK(expired.m_status == 410);
    // A ticket whose expiry is too far ahead, as a skewed clock gives it, is refused.
    decoded.m_expiry += milliseconds(3'600'000);
    const auto skewed = fixture.call("PUT", "/v1/jobs/" + encode_ticket(decoded, keys), good);
    CHECK(reason_of(skewed) == "ticket_too_far_ahead");

    // A home that the entry does not know is called at the ticket's address; the agent there refuses a ticket
    // of another home.
    auto other_home = *decode_ticket(fixture.take_ticket(), keys, why);
    other_home.m_home.m_id = "agent-9";
    const auto asked = fixture.call("PUT", "/v1/jobs/" + encode_ticket(other_home, keys), good);
    CHECK(reason_of(asked) == "wrong_incarnation");
    CHECK(asked.m_verdict == "may_have_run");
    other_home.m_home_address = "127.0.0.1:1";
    CHECK(reason_of(fixture.call("PUT", "/v1/jobs/" + encode_ticket(other_home, keys), good)) ==
          "home_unreachable");

    // A team limited to one task a second is refused at once, with the time to wait.
    const std::string wide = many_tasks(3);
    fixture.call("PUT", "/v1/jobs/" + fixture.take_ticket(), wide, "slow-key");
    const auto limited = fixture.call("PUT", "/v1/jobs/" + fixture.take_ticket(), wide, "slow-key");
    CHECK(limited.m_status == 429);
    CHECK(reason_of(limited) == "team_rate");
    CHECK(limited.m_body.find("retry_after_ms") != std::string::npos);

    const auto headers = fixture.send(
        {"GET", "http://127.0.0.1:25002/v1/x", "", {{"Authorization", "Bearer " + std::string(6'000, 'k')}}});
    CHECK(headers.m_status == 431);

    const auto served = fixture.call("PUT", "/v1/jobs/" + fixture.take_ticket(), good);
    CHECK(served.m_status == 200);
    CHECK(served.m_body.find("\"answers\":[\"seat\"]") != std::string::npos);
}

TEST_CASE("invalid data and incomplete requests on the RPC and caller ports do not stop the service")
{
    system_fixture fixture;
    const std::string good = "{\"tasks\":[{\"payload\":\"{}\"}]}";
    constexpr int connections = 30;
    std::vector<kj::Own<glib_stream>> streams;
    for (const char* address : {"127.0.0.1:25003", "127.0.0.1:25005", "127.0.0.1:25002"}) {
        for (int index = 0; index < connections; ++index) {
            auto stream = run_until_complete(fixture.m_loop, connect_stream(address));
            const std::string garbage =
                index % 2 == 0 ? std::string(200, '\xff') : "PUT /v1/jobs/x HTTP/1.1\r\nContent";
            run_until_complete(fixture.m_loop,
                               stream->write(garbage.data(), garbage.size())
                                   .then([] { return true; }, [](kj::Exception&&) { return false; }));
            streams.push_back(kj::mv(stream));
        }
    }
    fixture.run_loop_for(300);
    CHECK(fixture.call("PUT", "/v1/jobs/" + fixture.take_ticket(), good).m_status == 200);
}

TEST_CASE("a peer without the cluster key cannot obtain the node")
{
    system_fixture fixture;
    link_pool links("another key", 4);
    const auto refused =
        run_until_complete(fixture.m_loop, links.node("127.0.0.1:25005")
                                               .then([](wire::Node::Client) { return false; },
                                                     [](kj::Exception&&) { return true; }));
    CHECK(refused);
}

TEST_CASE("a job's life cycle: repeat, status, cancel before arrival, cancel after the end")
{
    system_fixture fixture;
    const std::string body = "{\"tasks\":[{\"payload\":\"{\\\"run_ms\\\":30,\\\"echo\\\":\\\"a\\\"}\"},"
                             "{\"payload\":\"{\\\"echo\\\":\\\"b\\\"}\"}]}";
    const std::string path = "/v1/jobs/" + fixture.take_ticket();
    CHECK(reason_of(fixture.call("GET", path, "")) == "unknown_ticket");
    const auto first = fixture.call("PUT", path, body);
    CHECK(first.m_body.find("\"answers\":[\"a\",\"b\"]") != std::string::npos);
    CHECK(fixture.call("PUT", path, body).m_body == first.m_body);
    CHECK(fixture.call("GET", path, "").m_body == first.m_body);
    CHECK(reason_of(fixture.call("PUT", path, "{\"tasks\":[{\"payload\":\"c\"}]}")) == "body_differs");
    CHECK(fixture.call("DELETE", path, "").m_verdict == "ran");

    const std::string early = "/v1/jobs/" + fixture.take_ticket();
    CHECK(fixture.call("DELETE", early, "").m_verdict == "not_run");
    const auto late = fixture.call("PUT", early, body);
    CHECK(late.m_verdict == "not_run");
    CHECK(reason_of(late) == "cancelled");
}

} // namespace hawthornpin
