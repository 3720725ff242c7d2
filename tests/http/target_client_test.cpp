// Tests the agent's client against a target: verdicts, and that no start is sent twice.

#include "http/target_client.h"

#include "core/json.h"
#include "tests/stand_ins/target.h"

#include <doctest/doctest.h>

namespace hawthornpin {

namespace {

// A target on a free loopback port, with the client that an agent would use.
class target_fixture {
public:
    target_fixture()
        : m_server([this](const api_request& request) { return m_target.handle(request); }, api_limits())
    {
        last_reason why;
        REQUIRE(m_server.listen("127.0.0.1:0", why));
        m_client = std::make_unique<target_client>(m_server.address(), 8);
    }

    task_end start(std::uint32_t task, const std::string& payload)
    {
        constexpr milliseconds budget{2'000};
        constexpr milliseconds lease{3'000};
        return run_until_complete(m_loop, m_client->start({{1, 2}, task}, payload, budget, lease));
    }

    // How often the target has started the task.
    int count_starts(std::uint32_t task)
    {
        http_client client(1);
        const auto response = run_until_complete(
            m_loop, client.send({"GET", "http://" + m_server.address() + "/starts", "", {}}));
        reason why = reason::none;
        const auto document = json_document::parse(response.m_body, why);
        const std::string name = to_text(grant_id{{1, 2}, task});
        return static_cast<int>(document->root().object("starts")->integer(name.c_str()).value_or(0));
    }

    event_loop m_loop;
    stand_ins::target m_target{8};
    api_server m_server;
    std::unique_ptr<target_client> m_client;
};

// Behaviour of a target and the outcome that the agent must derive from it.
struct target_case {
    const char* m_payload;
    verdict m_verdict;
    reason m_reason;
    int m_starts;
};

constexpr target_case target_cases[] = {
    {"{\"echo\":\"x\"}", verdict::ran, reason::none, 1},
    {"{\"run_ms\":30,\"echo\":\"x\"}", verdict::ran, reason::none, 1},
    {"{\"fail\":true}", verdict::ran, reason::task_failed, 1},
    {"{\"refuse\":true}", verdict::not_run, reason::target_refused, 0},
    {"{\"drop\":true}", verdict::may_have_run, reason::target_connection_lost, 1},
};

} // namespace

TEST_CASE("the verdict matches what the target did, on a new and on a reused connection")
{
    target_fixture fixture;
    std::uint32_t task = 0;
    for (int round = 0; round < 3; ++round) {
        for (const target_case& one : target_cases) {
            CAPTURE(std::string(one.m_payload));
            const task_end end = fixture.start(++task, one.m_payload);
            CHECK(end.m_outcome.m_verdict == one.m_verdict);
            CHECK(end.m_outcome.m_reason == one.m_reason);
            CHECK(fixture.count_starts(task) == one.m_starts);
            // Leaves an open connection for the next case to reuse.
            CHECK(is_success(fixture.start(++task, "{}").m_outcome));
        }
    }
}

TEST_CASE(
    "a start is not sent again to a target that reads it on a reused connection and closes the connection")
{
    target_fixture fixture;
    for (std::uint32_t round = 0; round < 50; ++round) {
        REQUIRE(is_success(fixture.start(2 * round, "{}").m_outcome));
        const task_end end = fixture.start(2 * round + 1, "{\"drop\":true}");
        CHECK(end.m_outcome.m_verdict == verdict::may_have_run);
        CHECK(fixture.count_starts(2 * round + 1) == 1);
    }
}

TEST_CASE("a target that can't be reached has run nothing")
{
    target_fixture fixture;
    fixture.m_client = std::make_unique<target_client>("127.0.0.1:1", 8);
    const task_end end = fixture.start(1, "{}");
    CHECK(end.m_outcome.m_verdict == verdict::not_run);
    CHECK(end.m_outcome.m_reason == reason::target_unreachable);
}

} // namespace hawthornpin
