// Tests of the configuration state: concurrent and repeated changes, expired records, checkpoints, and the
// verdict on a publication.

#include "config/record_json.h"
#include "main/publisher.h"

#include <doctest/doctest.h>

namespace hawthornpin {

namespace {

std::string team_text(int weight)
{
    return "[team]\nname=cercles\nweight=" + std::to_string(weight) + "\nkey_sha256=" + std::string(64, 'a') +
           "\n";
}

config_record make_change(log_offset offset, const std::string& id, log_offset base, int weight)
{
    return {offset, config_change{id, {{"team.ini", base, team_text(weight)}}}, {}};
}

} // namespace

TEST_CASE("of two changes with the same base every reader applies only the first in the log")
{
    last_reason why;
    config_state state;
    CHECK(apply_record(state, make_change(1, "a", 0, 1), why) == apply_verdict::accepted);
    CHECK(apply_record(state, make_change(2, "b", 1, 2), why) == apply_verdict::accepted);
    CHECK(apply_record(state, make_change(3, "c", 1, 3), why) == apply_verdict::rejected_stale);
    CHECK(apply_record(state, make_change(4, "b", 2, 4), why) == apply_verdict::rejected_repeated);
    CHECK(state.m_teams.at("cercles").weight() == 2);
    CHECK(state.m_version == 4);
    CHECK_FALSE(apply_record(state, make_change(2, "d", 2, 9), why));
    CHECK(state.m_version == 4);
}

TEST_CASE("a change that makes a file or a reference invalid is rejected as a whole")
{
    last_reason why;
    config_state state;
    REQUIRE(apply_record(state, make_change(1, "a", 0, 1), why) == apply_verdict::accepted);
    const config_state before = state;
    const std::vector<config_change> broken = {
        {"b", {{"team.ini", 1, "[team]\nname=cercles\n"}}},
        {"c", {{"team.ini", 1, std::nullopt}, {"x/service.ini", 0, "[service]\nname=x\nowner=cercles\n"}}},
        {"d", {{"x/service.ini", 0, "[service]\nname=x\nowner=nobody\n"}}},
        {"e", {{"readme.txt", 0, "text"}}},
        {"f", {{"x/team.ini", 0, team_text(1)}}},
    };
    log_offset offset = 1;
    for (const config_change& broken_change : broken) {
        CAPTURE(broken_change.m_id);
        CHECK(apply_record(state, {++offset, broken_change, {}}, why) == apply_verdict::rejected_invalid);
        CHECK(state.m_files == before.m_files);
    }
}

TEST_CASE("a reader that starts from a checkpoint reaches the state of one that read all records")
{
    last_reason why;
    std::vector<config_record> records;
    config_state full;
    for (log_offset offset = 1; offset <= 20; ++offset) {
        // Every third change is stale on purpose.
        const log_offset base = offset % 3 == 0        ? 0
                                : full.m_files.empty() ? 0
                                                       : full.m_files.at("team.ini").m_version;
        records.push_back(make_change(offset, std::to_string(offset), base, static_cast<int>(offset)));
        apply_record(full, records.back(), why);
        if (offset == 12) {
            const std::string text = to_json(make_checkpoint(full));
            records.push_back(record_from_json(++offset, text));
            apply_record(full, records.back(), why);
        }
    }
    for (log_offset first = 1; first <= 13; ++first) {
        const std::vector<config_record> kept(records.begin() + static_cast<std::ptrdiff_t>(first - 1),
                                              records.end());
        const auto state = replay_log(kept, first, why);
        REQUIRE(state);
        CHECK(state->m_files == full.m_files);
        CHECK(state->m_recent_ids == full.m_recent_ids);
        CHECK(state->m_version == full.m_version);
    }
    const std::vector<config_record> too_late(records.begin() + 15, records.end());
    CHECK_FALSE(replay_log(too_late, 16, why));
}

TEST_CASE("an unreadable record is skipped by all readers")
{
    last_reason why;
    config_state state;
    for (const char* text :
         {"", "{", "[]", "{\"kind\":\"song\"}", "{\"kind\":\"change\",\"kind\":\"change\"}"})
        CHECK_FALSE(apply_record(state, record_from_json(state.m_version + 1, text), why));
    CHECK(state.m_version == 5);
    CHECK(state.m_files.empty());
}

TEST_CASE("the verdict on a publication is read from the log, also through a checkpoint")
{
    last_reason why;
    const std::vector<config_record> records = {make_change(1, "a", 0, 1), make_change(2, "b", 0, 2),
                                                make_change(3, "a", 0, 1)};
    CHECK(find_change_result(records, 1, "a")->m_verdict == publish_verdict::accepted);
    CHECK(find_change_result(records, 1, "b")->m_verdict == publish_verdict::rejected_stale);
    CHECK_FALSE(find_change_result(records, 1, "c"));
    config_state state = *replay_log(records, 1, why);
    const std::vector<config_record> only_checkpoint = {{4, {}, make_checkpoint(state)}};
    CHECK(find_change_result(only_checkpoint, 4, "a")->m_verdict == publish_verdict::accepted);
}

} // namespace hawthornpin
