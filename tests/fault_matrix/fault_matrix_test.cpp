// Tests every fault at every step, alone and in pairs, and random schedules of faults from a seed. Deliberate
// defects prove that the checks detect violations.

#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "core/fault_injection.h"
#include "tests/fault_matrix/world.h"

#include <cstdlib>
#include <iostream>

namespace hawthornpin::fault_matrix {

namespace {

constexpr int single_fault_occurrences = 4;

std::vector<planned_fault> all_faults(int occurrences)
{
    std::vector<planned_fault> all;
    for (std::size_t at = 0; at < step_names.size(); ++at) {
        for (std::size_t what = 0; what < fault_names.size(); ++what) {
            for (int occurrence = 0; occurrence < occurrences; ++occurrence)
                all.push_back({static_cast<step>(at), static_cast<fault>(what), occurrence});
        }
    }
    return all;
}

std::string run_plan(const world_plan& plan)
{
    world simulated(plan);
    simulated.run();
    return simulated.find_violation();
}

std::uint64_t number_from_environment(const char* name, std::uint64_t fallback)
{
    const char* text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

world_plan random_plan(std::uint64_t seed)
{
    random_source random(seed);
    world_plan plan;
    plan.m_seed = seed;
    plan.m_job_widths.clear();
    const std::size_t jobs = 2 + random_below(random, 8);
    for (std::size_t job = 0; job < jobs; ++job)
        plan.m_job_widths.push_back(1 + static_cast<int>(random_below(random, 12)));
    plan.m_cancelled_job = static_cast<int>(random_below(random, 2 * jobs)) - static_cast<int>(jobs);
    plan.m_has_drain = random_below(random, 2) == 0;
    plan.m_task_time = milliseconds(5 + random_below(random, 150));
    plan.m_favour = random_below(random, 2) == 0 ? favour::response : favour::messages;
    plan.m_early_cancel = milliseconds(random_below(random, 40));
    const std::size_t faults = 1 + random_below(random, 10);
    for (std::size_t index = 0; index < faults; ++index) {
        plan.m_faults.push_back({static_cast<step>(random_below(random, step_names.size())),
                                 static_cast<fault>(random_below(random, fault_names.size())),
                                 static_cast<int>(random_below(random, 12))});
    }
    return plan;
}

// Runs random plans until one shows a violation. Returns the seed and the violation, or an empty text.
std::string search_random_plans(std::uint64_t first_seed, std::uint64_t count)
{
    for (std::uint64_t seed = first_seed; seed < first_seed + count; ++seed) {
        const std::string found = run_plan(random_plan(seed));
        if (!found.empty())
            return "seed " + std::to_string(seed) + ": " + found;
    }
    return {};
}

std::string search_single_faults()
{
    for (const planned_fault& single : all_faults(single_fault_occurrences)) {
        world_plan plan;
        plan.m_faults = {single};
        const std::string found = run_plan(plan);
        if (!found.empty())
            return describe(single) + ": " + found;
    }
    return {};
}

struct mutant_case {
    mutant m_mutant;
    const char* m_name;
};

// Defects that the matrix must detect.
constexpr mutant_case mutant_cases[] = {
    {mutant::regrant_after_lost_connection, "regrant_after_lost_connection"},
    {mutant::not_run_after_send, "not_run_after_send"},
    {mutant::replay_accepts_stale_base, "replay_accepts_stale_base"},
    {mutant::replay_goes_back, "replay_goes_back"},
    {mutant::cancel_drops_tombstone, "cancel_drops_tombstone"},
    {mutant::revoke_drops_tombstone, "revoke_drops_tombstone"},
    {mutant::refusal_drops_tombstone, "refusal_drops_tombstone"},
    {mutant::partial_answer, "partial_answer"},
    {mutant::join_ignores_digest, "join_ignores_digest"},
    {mutant::restart_accepts_old_ticket, "restart_accepts_old_ticket"},
    {mutant::older_incarnation_overrides, "older_incarnation_overrides"},
    {mutant::duplicate_grant_starts_again, "duplicate_grant_starts_again"},
    {mutant::slot_leaks_on_stop, "slot_leaks_on_stop"},
    {mutant::answers_swapped, "answers_swapped"},
    {mutant::leaving_accepts_grants, "leaving_accepts_grants"},
    {mutant::expired_ticket_starts, "expired_ticket_starts"},
};

} // namespace

TEST_CASE("without faults every job that is not cancelled completes")
{
    world_plan plan;
    plan.m_cancelled_job = -1;
    plan.m_has_drain = false;
    world simulated(plan);
    simulated.run();
    CHECK(simulated.find_violation() == "");
    // m_job_widths does not include the jobs that are cancelled early.
    CHECK(simulated.completed_jobs() >= static_cast<int>(plan.m_job_widths.size()));
}

TEST_CASE("every step of the matrix is reached without faults")
{
    world_plan plan;
    world simulated(plan);
    simulated.run();
    CHECK(simulated.find_violation() == "");
    for (std::size_t at = 0; at < step_names.size(); ++at) {
        CAPTURE(std::string(step_names.at(at)));
        CHECK(simulated.faults().reached_count(static_cast<step>(at)) > 0);
    }
}

TEST_CASE("every fault at every step")
{
    int injected = 0;
    const auto singles = all_faults(single_fault_occurrences);
    for (const planned_fault& single : singles) {
        world_plan plan;
        plan.m_faults = {single};
        world simulated(plan);
        simulated.run();
        injected += simulated.faults().injected_count();
        CAPTURE(describe(single));
        CHECK(simulated.find_violation() == "");
    }
    std::cout << "matrix: " << step_names.size() << " steps x " << fault_names.size() << " faults x "
              << single_fault_occurrences << " occurrences, " << injected << " of " << singles.size()
              << " injected\n";
    CHECK(injected > 0);
}

TEST_CASE("every pair of faults")
{
    const auto singles = all_faults(1);
    int pairs = 0;
    for (std::size_t first = 0; first < singles.size(); ++first) {
        for (std::size_t second = first + 1; second < singles.size(); ++second) {
            world_plan plan;
            plan.m_faults = {singles[first], singles[second]};
            // Two faults at the same step occur the first and the second time that it is reached.
            if (singles[first].m_step == singles[second].m_step)
                plan.m_faults[1].m_occurrence = 1;
            const std::string found = run_plan(plan);
            ++pairs;
            if (!found.empty()) {
                CAPTURE(describe(plan.m_faults[0]));
                CAPTURE(describe(plan.m_faults[1]));
                CHECK(found == "");
            }
        }
    }
    std::cout << "pairs: " << pairs << '\n';
    CHECK(pairs > 0);
}

TEST_CASE("random schedules")
{
    const std::uint64_t first = number_from_environment("HAWTHORNPIN_SEED", 1);
    const std::uint64_t count = number_from_environment("HAWTHORNPIN_SCHEDULES", 10'000);
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        const std::string found = run_plan(random_plan(seed));
        if (found.empty())
            continue;
        std::cout << "replay: HAWTHORNPIN_SEED=" << seed
                  << " HAWTHORNPIN_SCHEDULES=1 build/tests/fault-matrix-test -tc='random schedules'\n";
        for (const planned_fault& fault : random_plan(seed).m_faults)
            std::cout << "  " << describe(fault) << '\n';
        CHECK(found == "");
    }
    std::cout << "schedules: " << count << " from seed " << first << '\n';
}

TEST_CASE("every mutant is detected")
{
    constexpr std::uint64_t seeds_per_mutant = 3'000;
    for (const mutant_case& tested : mutant_cases) {
        active_mutant() = tested.m_mutant;
        std::string found = search_single_faults();
        if (found.empty())
            found = search_random_plans(1, seeds_per_mutant);
        active_mutant() = mutant::none;
        CAPTURE(std::string(tested.m_name));
        CHECK(found != "");
        std::cout << "mutant " << tested.m_name << " -> " << found << '\n';
    }
}

} // namespace hawthornpin::fault_matrix
