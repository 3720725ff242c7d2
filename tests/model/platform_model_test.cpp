// Seeded schedules of faults on the model; a broken rule names the seed that replays it.

#include "tests/model/platform_model.h"

#include <doctest/doctest.h>

#include <cstdlib>

namespace hawthornpin::model {

namespace {

// Schedules of each kind in CI; HAWTHORNPIN_MODEL_SEED replays one, HAWTHORNPIN_MODEL_SCHEDULES plays more.
constexpr std::uint64_t schedule_count = 150;

model_faults all_faults()
{
    model_faults faults;
    faults.m_lose_message = 10;
    faults.m_delay_message = 10;
    faults.m_lose_worker_answer = 30;
    faults.m_late_worker_order = 20;
    faults.m_kill_agent = 8;
    faults.m_kill_entry = 8;
    faults.m_freeze_agent = 8;
    faults.m_freeze_entry = 8;
    faults.m_cut_link = 8;
    faults.m_worker_incarnation = 3;
    faults.m_long_run = 50;
    return faults;
}

model_result play(std::uint64_t seed, const model_faults& faults, model_mutant mutant = model_mutant::none,
                  bool is_forwarding = false)
{
    model_settings settings;
    settings.m_is_forwarding = is_forwarding;
    settings.m_seed = seed;
    settings.m_faults = faults;
    settings.m_mutant = mutant;
    return platform_model(settings).run();
}

// A number from the environment, for longer runs by hand.
std::uint64_t read_number(const char* name, std::uint64_t otherwise)
{
    const char* text = std::getenv(name);
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

void play_all(const model_faults& faults)
{
    const std::uint64_t replayed = read_number("HAWTHORNPIN_MODEL_SEED", 0);
    const std::uint64_t last = read_number("HAWTHORNPIN_MODEL_SCHEDULES", schedule_count);
    for (const bool is_forwarding : {false, true}) {
        CAPTURE(is_forwarding);
        for (std::uint64_t seed = replayed == 0 ? 1 : replayed; seed <= (replayed == 0 ? last : replayed);
             ++seed) {
            const model_result result = play(seed, faults, model_mutant::none, is_forwarding);
            INFO("replay with HAWTHORNPIN_MODEL_SEED=", seed);
            CHECK(result.m_broken == "");
            CHECK(result.m_jobs > 0);
        }
    }
}

} // namespace

TEST_CASE("model: without faults nearly all jobs of a calm load are completed")
{
    model_settings settings;
    // A quarter of the workers is busy.
    settings.m_arrival_ms = 100;
    settings.m_length_ms = 20'000;
    for (const bool is_forwarding : {false, true}) {
        CAPTURE(is_forwarding);
        settings.m_is_forwarding = is_forwarding;
        const model_result result = platform_model(settings).run();
        CHECK(result.m_broken == "");
        CHECK(result.m_completed * 20 >= result.m_jobs * 19);
    }
}

TEST_CASE("model: single kinds of faults break no rule")
{
    struct fault_case {
        const char* m_name;
        int model_faults::*m_chance;
        int m_thousandths;
    };
    constexpr fault_case cases[] = {
        {"messages lost", &model_faults::m_lose_message, 50},
        {"messages delayed", &model_faults::m_delay_message, 50},
        {"answers of workers lost", &model_faults::m_lose_worker_answer, 200},
        {"orders carried out late", &model_faults::m_late_worker_order, 50},
        {"agents killed", &model_faults::m_kill_agent, 20},
        {"entries killed", &model_faults::m_kill_entry, 20},
        {"agents suspended", &model_faults::m_freeze_agent, 20},
        {"entries suspended", &model_faults::m_freeze_entry, 20},
        {"links cut, one way or both", &model_faults::m_cut_link, 20},
        {"workers begin new lives", &model_faults::m_worker_incarnation, 10},
    };
    for (const fault_case& row : cases) {
        const std::string name = row.m_name;
        CAPTURE(name);
        model_faults faults;
        faults.m_long_run = 50;
        faults.*row.m_chance = row.m_thousandths;
        play_all(faults);
    }
}

TEST_CASE("model: all faults together break no rule")
{
    play_all(all_faults());
}

TEST_CASE("model: every defect is noticed")
{
    constexpr std::pair<model_mutant, const char*> cases[] = {
        {model_mutant::accepts_old_orders, "accepts_old_orders"},
        {model_mutant::repeats_too_early, "repeats_too_early"},
        {model_mutant::stop_frees_at_once, "stop_frees_at_once"},
        {model_mutant::ignores_orphaned_runs, "ignores_orphaned_runs"},
        {model_mutant::keeps_runs_of_silent_homes, "keeps_runs_of_silent_homes"},
        {model_mutant::keeps_jobs_of_silent_entries, "keeps_jobs_of_silent_entries"},
    };
    model_faults faults = all_faults();
    faults.m_delay_message = 50;
    for (const auto& [mutant, text] : cases) {
        const std::string name = text;
        CAPTURE(name);
        bool is_noticed = false;
        for (std::uint64_t seed = 1; seed <= schedule_count && !is_noticed; ++seed)
            is_noticed = !play(seed, faults, mutant, mutant == model_mutant::keeps_jobs_of_silent_entries)
                              .m_broken.empty();
        CHECK(is_noticed);
    }
}

} // namespace hawthornpin::model
