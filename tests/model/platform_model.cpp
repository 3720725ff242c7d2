// Processes, messages and faults of the model.

#include "tests/model/platform_model.h"

#include "rpc/link.h"
#include "tests/model/model_processes.h"

#include <algorithm>

namespace hawthornpin::model {

platform_model::platform_model(const model_settings& settings)
    : m_settings(settings), m_random(settings.m_seed)
{
    m_now = start_ms;
    for (std::size_t index = 0; index < m_settings.m_agents; ++index) {
        m_agents.push_back(std::make_unique<agent_process>());
        m_agents.back()->m_id = "agent-" + std::to_string(index);
        m_agents.back()->m_worker = std::make_unique<model_worker>("i-" + std::to_string(index), m_now);
        start_agent(*m_agents.back());
    }
    for (std::size_t index = 0; index < m_settings.m_homes; ++index) {
        m_entries.push_back(std::make_unique<entry_process>());
        m_entries.back()->m_id = "entry-" + std::to_string(index);
        start_entry(*m_entries.back());
    }
    for (std::size_t index = 0; m_settings.m_is_forwarding && index < m_settings.m_fronts; ++index) {
        m_fronts.push_back(std::make_unique<front_process>());
        m_fronts.back()->m_id = "front-" + std::to_string(index);
        start_front(*m_fronts.back());
    }
}

platform_model::~platform_model() = default;

bool platform_model::draw(int thousandths)
{
    return static_cast<int>(random_below(m_random, 1'000)) < thousandths;
}

void platform_model::at(long long when, std::function<void()> action)
{
    m_events.emplace(std::max(when, m_now), std::move(action));
}

model_second& platform_model::second_of(long long when)
{
    constexpr long long second_ms = 1'000;
    const auto index = static_cast<std::size_t>((when - start_ms) / second_ms);
    if (m_result.m_seconds.size() <= index)
        m_result.m_seconds.resize(index + 1);
    return m_result.m_seconds[index];
}

std::vector<home_candidate> platform_model::list_homes() const
{
    std::vector<home_candidate> homes;
    for (const auto& home : m_entries)
        homes.push_back({home->m_id, home->m_id});
    return homes;
}

void platform_model::start_agent(agent_process& agent)
{
    ++agent.m_identity;
    agent.m_is_up = true;
    agent.m_frozen_until = 0;
    agent.m_guard = run_guard();
    agent.m_guard.m_limits =
        make_run_guard_limits(milliseconds(1'000), milliseconds(50), milliseconds(resubmit_after_ms));
    agent.m_guard.m_incarnation = agent.m_identity;
    agent.m_guard.m_fence = m_now;
    agent.m_sequence = 0;
    agent.m_reporting.clear();
    if (m_settings.m_mutant == model_mutant::stop_frees_at_once)
        agent.m_guard.m_limits.m_stop_settle_time = milliseconds(-1'000);
    if (m_settings.m_mutant == model_mutant::ignores_orphaned_runs)
        agent.m_guard.m_has_listing = true;
    renew(agent);
    present(agent);
    step_agent(agent);
}

void platform_model::start_entry(entry_process& entry)
{
    ++entry.m_identity;
    entry.m_is_up = true;
    entry.m_frozen_until = 0;
    entry.m_scheduler = job_scheduler();
    entry.m_leases = entry_leases();
    entry.m_leases.m_limits = make_entry_lease_limits(milliseconds(resubmit_after_ms));
    entry.m_hosted.clear();
    entry.m_scheduler.m_self = {entry.m_id, entry.m_identity};
    entry.m_scheduler.m_agents.m_started = now();
    entry.m_scheduler.m_agents.m_random.seed(m_settings.m_seed);
    entry.m_scheduler.m_homes_per_agent =
        static_cast<std::uint32_t>(std::min(m_settings.m_homes, home_choice_limits().m_homes_per_agent));
    entry.m_scheduler.m_knows_all_agents = !m_settings.m_is_forwarding;
    entry.m_scheduler.m_agents.m_limits.m_lost_after = lost_agent_timeout(
        make_run_guard_limits(milliseconds(1'000), milliseconds(50), milliseconds(resubmit_after_ms)));
    if (m_settings.m_mutant == model_mutant::repeats_too_early)
        entry.m_scheduler.m_agents.m_limits.m_lost_after = milliseconds(300);
    step_entry(entry);
}

agent_status platform_model::make_status(agent_process& agent, const home_identity* home)
{
    agent_status status;
    status.m_identity = {agent.m_id, agent.m_identity};
    status.m_service = "svc";
    status.m_state = state_of(agent.m_guard, now());
    status.m_is_reconciled = agent.m_guard.m_has_listing && agent.m_guard.m_orphans.empty();
    status.m_free = free_capacity(agent.m_guard);
    status.m_clock = static_cast<std::uint64_t>(now().time_since_epoch().count());
    status.m_sequence = ++agent.m_sequence;
    if (agent.m_guard.m_report)
        status.m_capacity = agent.m_guard.m_report->m_capacity;
    if (home != nullptr && agent.m_guard.m_homes.contains(*home))
        status.m_orders_seen = agent.m_guard.m_homes.at(*home).m_orders_seen;
    return status;
}

void platform_model::present(agent_process& agent)
{
    if (agent.m_worker->is_up())
        on_worker_report(agent.m_guard, agent.m_worker->make_report(m_now), now());
    for (const home_candidate& home :
         assign_homes(list_homes(), agent.m_id, home_choice_limits().m_homes_per_agent)) {
        const auto entry = std::find_if(m_entries.begin(), m_entries.end(),
                                        [&home](const auto& item) { return item->m_id == home.m_id; });
        const agent_status status = make_status(agent, nullptr);
        call(
            agent, **entry, call_timeout_ms,
            [this, to = entry->get(), status] { on_agent_report(to->m_scheduler, status, {}, now()); },
            [](bool) {});
    }
    deliver(agent, report_every_ms, [this, &agent] { present(agent); });
}

void platform_model::step_agent(agent_process& agent)
{
    if (m_settings.m_mutant == model_mutant::keeps_runs_of_silent_homes) {
        for (auto& [id, home] : agent.m_guard.m_homes)
            home.m_lease_end = now() + milliseconds(1'000);
    }
    const guard_actions actions = advance(agent.m_guard, now());
    for (const run_order& order : actions.m_starts)
        call_start(agent, order);
    for (const run_id& run : actions.m_stops)
        call_stop(agent, run);
    send_reports(agent);
    deliver(agent, step_every_ms, [this, &agent] { step_agent(agent); });
}

void platform_model::call_start(agent_process& agent, const run_order& order)
{
    constexpr long long shortest_late_ms = 2'000;
    constexpr std::size_t late_spread_ms = 10'000;
    const std::int64_t fence = agent.m_guard.m_fence;
    const std::int64_t deadline = next_deadline_ms(agent.m_guard, now());
    // A long run lasts longer than its caller waits.
    const bool is_long = draw(m_settings.m_faults.m_long_run);
    const auto duration = is_long ? 2'500LL : 30 + static_cast<long long>(random_below(m_random, 300));
    const auto answer = std::make_shared<start_answer>(start_answer::unanswered);
    const auto carry_out = [this, &agent, order, fence, deadline, duration, answer] {
        model_worker& worker = *agent.m_worker;
        if (!worker.is_up())
            return;
        const resources used_before = worker.used();
        const auto runs_before = worker.busy_runs().size();
        *answer = worker.start(order, fence, deadline, duration, m_now);
        if (worker.busy_runs().size() > runs_before) {
            m_fates.at(order.m_run.m_task.m_job).m_has_started = true;
            if (!fits(used_before + order.m_needs, model_worker::capacity))
                fail("LIMIT");
        }
    };
    if (draw(m_settings.m_faults.m_late_worker_order))
        at(m_now + shortest_late_ms + static_cast<long long>(random_below(m_random, late_spread_ms)),
           carry_out);
    else
        at(m_now + 1, carry_out);
    const bool is_lost = draw(m_settings.m_faults.m_lose_worker_answer);
    const run_id run = order.m_run;
    deliver(agent, 2, [this, &agent, run, answer, is_lost] {
        const bool is_answered = *answer != start_answer::unanswered && !is_lost;
        if (is_answered && *answer == start_answer::fenced)
            on_fenced(agent.m_guard);
        if (is_answered)
            on_start_answer(agent.m_guard, run, *answer, now());
        else
            deliver(agent, worker_timeout_ms, [this, &agent, run] {
                on_start_answer(agent.m_guard, run, start_answer::unanswered, now());
            });
    });
}

void platform_model::call_stop(agent_process& agent, const run_id& run)
{
    const std::int64_t fence = agent.m_guard.m_fence;
    const bool is_lost = draw(m_settings.m_faults.m_lose_worker_answer);
    at(m_now + 1, [this, &agent, run, fence] {
        if (agent.m_worker->is_up())
            agent.m_worker->stop(run, fence, m_now);
    });
    deliver(agent, is_lost ? worker_timeout_ms : 2, [this, &agent, run, is_lost] {
        on_stop_answer(agent.m_guard, run, !is_lost && agent.m_worker->is_up(), now());
    });
}

void platform_model::renew(agent_process& agent)
{
    const renewal asked = begin_renewal(agent.m_guard, now());
    const auto listing = std::make_shared<std::optional<run_listing>>();
    const bool is_lost = draw(m_settings.m_faults.m_lose_worker_answer) || !agent.m_worker->is_up();
    // The worker waits for an end, at most as long as it was asked to.
    const long long wait = agent.m_worker->has_news(asked.m_last_seen) ? 0 : asked.m_wait.count() / 2;
    at(m_now + 1 + wait, [this, &agent, asked, listing] {
        if (agent.m_worker->is_up())
            *listing = agent.m_worker->list(asked, m_now);
    });
    deliver(agent, 2 + wait + (is_lost ? worker_timeout_ms : 0), [this, &agent, asked, listing, is_lost] {
        if (!is_lost && *listing)
            on_run_listing(agent.m_guard, **listing, asked, now());
        else if (!is_lost && agent.m_worker->is_up())
            on_fenced(agent.m_guard);
        if (m_settings.m_mutant == model_mutant::ignores_orphaned_runs)
            agent.m_guard.m_orphans.clear();
        deliver(agent, 1, [this, &agent] { renew(agent); });
    });
}

void platform_model::send_reports(agent_process& agent)
{
    for (const auto& [home, owed] : agent.m_guard.m_homes) {
        const auto entry = std::find_if(m_entries.begin(), m_entries.end(), [&home = home](const auto& item) {
            return item->m_id == home.m_id && item->m_identity == home.m_incarnation;
        });
        if (owed.m_outcomes.empty() || entry == m_entries.end() || !agent.m_reporting.insert(home).second)
            continue;
        const auto outcomes = owed.m_outcomes;
        const agent_status status = make_status(agent, &home);
        call(
            agent, **entry, call_timeout_ms,
            [this, to = entry->get(), status, outcomes] {
                on_agent_report(to->m_scheduler, status, outcomes, now());
            },
            [&agent, home = home, count = outcomes.size()](bool is_answered) {
                agent.m_reporting.erase(home);
                if (is_answered)
                    acknowledge_outcomes(agent.m_guard, home, count);
            });
    }
}

void platform_model::step_entry(entry_process& entry)
{
    advance(entry.m_scheduler, now());
    for (const outgoing_batch& out : take_batches(entry.m_scheduler, now())) {
        const auto agent = std::find_if(m_agents.begin(), m_agents.end(),
                                        [&](const auto& item) { return item->m_id == out.m_agent; });
        const auto status = std::make_shared<agent_status>();
        order_batch batch = out.m_batch;
        call(
            entry, **agent, call_timeout_ms,
            [this, to = agent->get(), batch, status]() mutable {
                if (m_settings.m_mutant == model_mutant::accepts_old_orders)
                    batch.m_clock_seen = static_cast<std::uint64_t>(now().time_since_epoch().count());
                accept_orders(to->m_guard, batch, now());
                *status = make_status(*to, &batch.m_home);
            },
            [this, &entry, id = out.m_agent, number = out.m_batch.m_number, status](bool is_answered) {
                if (is_answered)
                    on_batch_answered(entry.m_scheduler, id, number, *status, now());
                else
                    on_batch_lost(entry.m_scheduler, id, number, now());
            });
    }
    end_silent_sessions(entry);
    take_answers(entry);
    deliver(entry, step_every_ms, [this, &entry] { step_entry(entry); });
}

void platform_model::take_answers(entry_process& entry)
{
    for (const job_answer_event& answer : std::exchange(entry.m_scheduler.m_answers, {})) {
        if (m_settings.m_is_forwarding) {
            return_answer(entry, answer);
            continue;
        }
        job_status& fate = m_fates.at(answer.m_job);
        entry.m_callers.erase(answer.m_job);
        if (answer.m_end == job_end::refused) {
            fate.m_is_refused = true;
            --fate.m_open_attempts;
            ++m_result.m_refused;
        }
        if (answer.m_end == job_end::completed) {
            ++m_result.m_completed;
            ++second_of(fate.m_arrived_ms).m_completed;
            if (++fate.m_answers > 1 && fate.m_open_attempts <= 1)
                fail("a job was answered twice to one attempt");
        }
    }
}

void platform_model::submit(entry_process& entry, const std::string& job, int attempt)
{
    job_status& fate = m_fates.at(job);
    const bool is_received = entry.m_is_up && entry.m_frozen_until <= m_now;
    if (is_received) {
        ++fate.m_open_attempts;
        submit_job(entry.m_scheduler, fate.m_request, make_queue(), milliseconds(caller_timeout_ms), now());
    }
    if (is_received)
        entry.m_callers[job] = attempt;
    else
        resubmit(job, attempt);
}

void platform_model::submit_anywhere(const std::string& job, int attempt)
{
    if (m_settings.m_is_forwarding)
        forward_job(*m_fronts.at(random_below(m_random, m_fronts.size())), job, attempt);
    else
        submit(*m_entries.at(random_below(m_random, m_entries.size())), job, attempt);
}

queue_contract platform_model::make_queue()
{
    queue_contract queue;
    queue.m_name = "r";
    queue.m_service = "svc";
    queue.m_max_attempts = 2;
    queue.m_stretch = 1.6;
    queue.m_latency_target = milliseconds(60);
    return queue;
}

// A caller whose connection broke before the answer hands the job in again later, at any entry.
void platform_model::resubmit(const std::string& job, int attempt)
{
    constexpr int most_attempts = 3;
    if (attempt >= most_attempts || m_fates.at(job).m_answers > 0)
        return;
    at(m_now + resubmit_after_ms, [this, job, attempt] { submit_anywhere(job, attempt + 1); });
}

void platform_model::check()
{
    std::map<task_id, int> running;
    for (const auto& agent : m_agents) {
        if (!agent->m_worker->is_up())
            continue;
        for (const run_id& run : agent->m_worker->busy_runs()) {
            if (++running[run.m_task] > 1)
                fail("TWICE");
        }
    }
    for (const auto& [id, fate] : m_fates) {
        if (fate.m_is_refused && fate.m_open_attempts == 0 && fate.m_has_started)
            fail("REFUSED: " + id);
    }
}

void platform_model::fail(const std::string& rule)
{
    if (m_result.m_broken.empty())
        m_result.m_broken = rule + " at " + std::to_string(m_now - start_ms) + " ms";
}

model_result platform_model::run()
{
    constexpr long long settle_ms = 1'000;
    at(m_now + settle_ms, [this] { strike(); });
    for (const long long end = m_now + m_settings.m_length_ms; m_now < end && m_result.m_broken.empty();
         ++m_now) {
        for (const auto& agent : m_agents)
            agent->m_worker->advance(m_now);
        while (!m_events.empty() && m_events.begin()->first <= m_now) {
            const auto action = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            action();
        }
        if (m_now > start_ms + settle_ms && m_now < end - settle_ms &&
            draw(static_cast<int>(1'000 / m_settings.m_arrival_ms))) {
            const std::string id = "job-" + std::to_string(++m_result.m_jobs);
            work_request request;
            request.m_id = id;
            request.m_is_best_effort = true;
            job_step step;
            step.m_task_count = static_cast<std::uint32_t>(1 + random_below(m_random, 3));
            step.m_per_task = {1'600, 64, 0};
            step.m_estimate_ms = 150;
            request.m_steps = {step};
            m_fates[id].m_request = request;
            m_fates[id].m_arrived_ms = m_now;
            ++second_of(m_now).m_jobs;
            submit_anywhere(id, 1);
        }
        check();
    }
    return m_result;
}

} // namespace hawthornpin::model
