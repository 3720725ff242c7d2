// Tests of the ledger's limits and of a dispatcher that leaves or reaches its limits.

#include "dispatch/dispatcher.h"

#include <doctest/doctest.h>

namespace hawthornpin {

namespace {

constexpr milliseconds budget{5'000};

instant at_ms(long long value)
{
    return from_unix_ms(1'000'000 + value);
}

dispatcher make_dispatcher(const dispatch_settings& settings = {})
{
    last_reason why;
    const auto self = worker_builder({"agent-0", incarnation_id{7}}, "circles")
                          .set_place({"r", "z", "rack"})
                          .set_address("127.0.0.1:1")
                          .set_capacity(2, 1024, 0)
                          .build(why);
    dispatcher state(*self, settings, 1);
    apply_contract(state, *contract_builder("circles", "cercles").build(why), {});
    return state;
}

submission make_job(std::uint64_t number, std::size_t tasks, milliseconds lifetime = milliseconds(60'000))
{
    submission job;
    job.m_ticket = {"circles", {"agent-0", incarnation_id{7}}, {0, number}, at_ms(0) + lifetime};
    job.m_team = "cercles";
    job.m_digest = "digest";
    job.m_budget = budget;
    job.m_payloads.assign(tasks, "payload");
    return job;
}

grant make_grant_offer(std::uint32_t task)
{
    grant offered;
    offered.m_home = {"agent-9", incarnation_id{9}};
    offered.m_id = {{9, 9}, task};
    offered.m_attempt = 1;
    offered.m_team = "cercles";
    offered.m_budget = budget;
    offered.m_valid_until = at_ms(60'000);
    return offered;
}

} // namespace

TEST_CASE("a full ledger refuses jobs, and late duplicates of the refused jobs never start")
{
    dispatch_settings settings;
    settings.m_ledger.m_max_records = 20;
    settings.m_ledger.m_answer_retention = milliseconds(1'000);
    dispatcher state = make_dispatcher(settings);
    actions out;
    for (std::uint64_t number = 1; number <= 20; ++number)
        CHECK(on_submit(state, make_job(number, 1), at_ms(0), out).m_kind == admit_kind::accepted);
    // Two refusals are recorded, the rest only by the watermark.
    for (std::uint64_t number = 21; number <= 30; ++number) {
        const auto refused = on_submit(state, make_job(number, 1), at_ms(1), out);
        CHECK(refused.m_refusal.m_verdict == verdict::not_run);
        CHECK(refused.m_refusal.m_reason == reason::ledger_full);
    }
    CHECK(state.m_ledger.m_jobs.size() <= 22);
    // The ledger has room again, but the refused tickets stay refused.
    state.m_ledger.m_limits.m_max_records = 1'000;
    for (std::uint64_t number = 21; number <= 30; ++number) {
        const auto kind = on_submit(state, make_job(number, 1), at_ms(2), out).m_kind;
        CHECK(kind != admit_kind::accepted);
    }
    // A ticket that expires after the watermark is accepted.
    CHECK(on_submit(state, make_job(31, 1, milliseconds(90'000)), at_ms(3), out).m_kind ==
          admit_kind::accepted);
}

TEST_CASE("an expired ticket never starts, and is answered with not_run only while records are kept")
{
    dispatcher state = make_dispatcher();
    actions out;
    const auto soon = on_submit(state, make_job(1, 1), at_ms(60'001), out);
    CHECK(soon.m_refusal == outcome{verdict::not_run, reason::ticket_expired, ticket_state::closed});
    const auto late = on_submit(state, make_job(2, 1), at_ms(600'000), out);
    CHECK(late.m_refusal == outcome{verdict::may_have_run, reason::ticket_expired, ticket_state::closed});
    CHECK(out.empty());
}

TEST_CASE("a leaving agent accepts no new work, returns waiting tasks and finishes running ones")
{
    dispatcher state = make_dispatcher();
    actions out;
    last_reason why;
    // Granted tasks wait only when the contract favours fewer messages.
    apply_contract(state, *contract_builder("circles", "cercles").set_favour(favour::messages).build(why),
                   {});
    for (std::uint32_t task = 0; task < 5; ++task)
        on_grant(state, make_grant_offer(task), at_ms(0), out);
    out.clear();
    on_leave(state, at_ms(1), out);
    int returned = 0;
    for (const action& one : out) {
        const auto* reply = std::get_if<reply_grant>(&one);
        returned += reply != nullptr && reply->m_end.m_outcome.m_reason == reason::leaving ? 1 : 0;
    }
    CHECK(returned == 3);
    out.clear();
    on_grant(state, make_grant_offer(9), at_ms(2), out);
    REQUIRE(out.size() == 1);
    CHECK(std::get<reply_grant>(out.front()).m_end.m_outcome.m_verdict == verdict::not_run);
    CHECK(on_submit(state, make_job(1, 1), at_ms(2), out).m_refusal.m_reason == reason::leaving);
    CHECK(work_in_progress(state) == 2);
    for (std::uint32_t task = 0; task < 2; ++task)
        on_task_ended(state, make_grant_offer(task).m_id, {{verdict::ran, reason::none, {}}, "x"}, at_ms(3),
                      out);
    CHECK(is_idle(state));
}

TEST_CASE("ten thousand cancellations at once start no task and leave no task waiting")
{
    dispatch_settings settings;
    settings.m_max_queued = 50'000;
    dispatcher state = make_dispatcher(settings);
    state.m_estimator.set_declared(milliseconds(1));
    actions out;
    for (std::uint64_t number = 1; number <= 10'002; ++number) {
        submission job = make_job(number, 1);
        job.m_budget = milliseconds(60'000);
        REQUIRE(on_submit(state, job, at_ms(0), out).m_kind == admit_kind::accepted);
    }
    out.clear();
    for (std::uint64_t number = 3; number <= 10'002; ++number) {
        const outcome result = on_cancel(state, make_job(number, 1).m_ticket, at_ms(1), out);
        CHECK(result == outcome{verdict::not_run, reason::cancelled, ticket_state::closed});
    }
    for (std::uint64_t number = 1; number <= 2; ++number)
        on_task_ended(state, {{0, number}, 0}, {{verdict::ran, reason::none, {}}, "x"}, at_ms(2), out);
    for (const action& one : out)
        CHECK_FALSE(std::holds_alternative<start_task>(one));
    CHECK(is_idle(state));
}

TEST_CASE("a full worker refuses a grant at once when the contract favours response time over messages")
{
    dispatcher state = make_dispatcher();
    actions out;
    for (std::uint32_t task = 0; task < 3; ++task)
        on_grant(state, make_grant_offer(task), at_ms(0), out);
    REQUIRE(out.size() == 3);
    const auto* refusal = std::get_if<reply_grant>(&out.back());
    REQUIRE(refusal != nullptr);
    CHECK(refusal->m_end.m_outcome == outcome{verdict::not_run, reason::worker_full, ticket_state::closed});
    // A newer attempt at it is accepted once a slot is free.
    on_task_ended(state, make_grant_offer(0).m_id, {{verdict::ran, reason::none, {}}, "x"}, at_ms(1), out);
    grant again = make_grant_offer(2);
    again.m_attempt = 2;
    on_grant(state, again, at_ms(2), out);
    CHECK(std::holds_alternative<start_task>(out.back()));
}

TEST_CASE("orphaned tasks of an earlier agent occupy slots")
{
    dispatcher state = make_dispatcher();
    actions out;
    on_target_status(state, 2, false, at_ms(0), out);
    on_submit(state, make_job(1, 1), at_ms(0), out);
    CHECK(out.empty());
    on_target_status(state, 1, false, at_ms(1), out);
    CHECK(out.size() == 1);
}

TEST_CASE("a worker enforces a team's running limit")
{
    dispatcher state = make_dispatcher();
    last_reason why;
    state.m_teams.emplace("cercles", *team_builder("cercles").set_running_limit(1).build(why));
    actions out;
    on_submit(state, make_job(1, 2), at_ms(0), out);
    CHECK(state.m_grants.m_running.size() == 1);
    on_task_ended(state, {{0, 1}, 0}, {{verdict::ran, reason::none, {}}, "x"}, at_ms(1), out);
    CHECK(state.m_grants.m_running.size() == 1);
}

} // namespace hawthornpin
