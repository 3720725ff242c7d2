// Tests of the claim that a run did not begin: every history of calls to the worker, from the start to the
// home's view of the job.

#include "core/verdict.h"
#include "dispatch/run_guard.h"
#include "tests/dispatch/scheduler_fixture.h"

#include <doctest/doctest.h>

#include <string>

namespace hawthornpin {

namespace {

constexpr std::int64_t worker_started = 77;

// What the guard learns of the run after the last answer to a start.
enum class last_event {
    listed_done,
    listed_failed,
    listed_stopped,
    listed_lapsed,
    listing_without_run,
    lease_lapses,
    other_incarnation,
};

const char* to_text(last_event event)
{
    switch (event) {
    case last_event::listed_done:
        return "listed as done";
    case last_event::listed_failed:
        return "listed as failed";
    case last_event::listed_stopped:
        return "listed as stopped";
    case last_event::listed_lapsed:
        return "listed as lapsed";
    case last_event::listing_without_run:
        return "listing without the run";
    case last_event::lease_lapses:
        return "lease lapses";
    case last_event::other_incarnation:
        break;
    }
    return "other incarnation";
}

// One home with a job of one task, and one agent whose worker the test plays.
class verdict_fixture : public scheduler_fixture {
public:
    verdict_fixture()
    {
        m_guard.m_limits = make_run_guard_limits(milliseconds(1'000), milliseconds(50), milliseconds(1'300));
        m_guard.m_incarnation = 1;
        m_guard.m_fence = 10;
        worker_report report;
        report.m_identity = {"i-1", worker_started};
        report.m_capacity = {16'000, 32'768, 0};
        report.m_sequence = 1;
        on_worker_report(m_guard, report, at_ms(0));
        list({}, {}, 0);
        add_agent("a", 0);
        submit(make_request("j", 1), 1);
        for (const outgoing_batch& out : take_batches(m_scheduler, at_ms(1))) {
            order_batch batch = out.m_batch;
            m_last_batch[out.m_agent] = batch.m_number;
            batch.m_clock_seen = static_cast<std::uint64_t>(at_ms(1).time_since_epoch().count());
            for (const run_order& order : batch.m_starts)
                m_run = order.m_run;
            accept_orders(m_guard, batch, at_ms(1));
        }
        REQUIRE(advance(m_guard, at_ms(1)).m_starts.size() == 1);
    }

    void list(std::vector<listed_run> running, std::vector<listed_end> ended, long long now,
              std::int64_t started = worker_started)
    {
        run_listing listing;
        listing.m_worker_clock_ms = now + 500;
        listing.m_started_unix_ms = started;
        listing.m_running = std::move(running);
        listing.m_ended = std::move(ended);
        const renewal asked = begin_renewal(m_guard, at_ms(now));
        on_run_listing(m_guard, listing, asked, at_ms(now));
    }

    // Advances the guard, and answers all stops, and further starts like the last one.
    void step(start_answer answer, long long now)
    {
        const guard_actions actions = advance(m_guard, at_ms(now));
        for (const run_order& order : actions.m_starts)
            on_start_answer(m_guard, order.m_run, answer, at_ms(now));
        for (const run_id& run : actions.m_stops)
            on_stop_answer(m_guard, run, true, at_ms(now));
    }

    void play(start_answer answer, last_event event, long long from)
    {
        constexpr long long step_ms = 50;
        constexpr long long length_ms = 2'000;
        step(answer, from);
        const auto listed_end = [event] {
            switch (event) {
            case last_event::listed_done:
                return run_end::done;
            case last_event::listed_failed:
                return run_end::failed;
            case last_event::listed_stopped:
                return run_end::stopped;
            default:
                return run_end::lapsed;
            }
        };
        for (long long now = from; now <= from + length_ms; now += step_ms) {
            if (event == last_event::other_incarnation)
                list({}, {}, now, worker_started + 1);
            else if (event == last_event::listing_without_run)
                list({}, {}, now);
            else if (event != last_event::lease_lapses)
                list({}, {{1, m_run, listed_end()}}, now);
            step(answer, now);
            report_outcomes(now);
        }
    }

    void report_outcomes(long long now)
    {
        for (auto& [home, state] : m_guard.m_homes)
            report("a", 1, std::exchange(state.m_outcomes, {}), now);
    }

    run_guard m_guard;
    run_id m_run;
};

// What the home says of the job whose only run had this history, before its task is ordered again.
verdict claim_after(bool is_first_call_unanswered, start_answer answer, last_event event)
{
    verdict_fixture fixture;
    long long now = 2;
    if (is_first_call_unanswered) {
        now = 82;
        on_start_answer(fixture.m_guard, fixture.m_run, start_answer::unanswered, at_ms(now));
        now += 40;
        REQUIRE(advance(fixture.m_guard, at_ms(now)).m_starts.size() == 1);
    }
    on_start_answer(fixture.m_guard, fixture.m_run, answer, at_ms(now));
    fixture.play(answer, event, now + 1);
    const auto& jobs = fixture.m_scheduler.m_jobs;
    const auto job = jobs.find("j");
    // The job has left the scheduler because its only task is done.
    if (job == jobs.end())
        return verdict::ran;
    REQUIRE(job->second.m_open_runs == 0);
    return is_provably_not_run(job->second) ? verdict::not_run : verdict::may_have_run;
}

bool proves_no_effect(start_answer answer)
{
    switch (answer) {
    case start_answer::fenced:
    case start_answer::deadline_passed:
    case start_answer::no_room:
    case start_answer::unhealthy:
    case start_answer::malformed:
    case start_answer::unreachable:
    case start_answer::other_incarnation:
    case start_answer::not_sent:
        return true;
    default:
        return false;
    }
}

bool is_listed_end(last_event event)
{
    return event == last_event::listed_done || event == last_event::listed_failed ||
           event == last_event::listed_stopped || event == last_event::listed_lapsed;
}

} // namespace

// Guards against refusing a job as not run although its task ran: the answer to the first start was lost, and
// the repeated one met an unhealthy worker.
TEST_CASE("a run counts as not begun only if every call to start it was answered that nothing was started")
{
    constexpr start_answer answers[] = {
        start_answer::started,           start_answer::fenced,
        start_answer::run_too_old,       start_answer::deadline_passed,
        start_answer::no_room,           start_answer::unhealthy,
        start_answer::malformed,         start_answer::unexpected,
        start_answer::unanswered,        start_answer::unreachable,
        start_answer::other_incarnation, start_answer::not_sent,
        start_answer::disconnected,
    };
    constexpr last_event events[] = {
        last_event::listed_done,       last_event::listed_failed,       last_event::listed_stopped,
        last_event::listed_lapsed,     last_event::listing_without_run, last_event::lease_lapses,
        last_event::other_incarnation,
    };
    for (const bool is_first_call_unanswered : {false, true}) {
        for (const start_answer answer : answers) {
            for (const last_event event : events) {
                const bool is_provable = !is_first_call_unanswered && proves_no_effect(answer);
                // A worker does not list the end of a run that it never started.
                if (is_provable && is_listed_end(event))
                    continue;
                const std::string last_answer = to_text(answer);
                const std::string then = to_text(event);
                CAPTURE(is_first_call_unanswered);
                CAPTURE(last_answer);
                CAPTURE(then);
                const verdict claim = claim_after(is_first_call_unanswered, answer, event);
                CHECK((claim == verdict::not_run) == is_provable);
            }
        }
    }
}

} // namespace hawthornpin
