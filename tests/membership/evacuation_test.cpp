// Tests of the evacuated zones as a process knows them: merging of states, ages, and when tasks may start.

#include "membership/evacuation.h"

#include <doctest/doctest.h>

namespace hawthornpin {

namespace {

instant at_ms(long long value)
{
    return instant(milliseconds(1'000'000 + value));
}

evacuation_view make_view()
{
    evacuation_view view;
    view.m_limits = evacuation_limits{};
    return view;
}

} // namespace

TEST_CASE("records evacuate zones and revoke that, and a snapshot replaces what was known")
{
    evacuation_state_builder builder;
    builder.apply({"a", true});
    builder.apply({"b", true});
    builder.apply({"a", false});
    builder.apply({"never evacuated", false});
    builder.set_offset(4);
    CHECK(builder.build() == evacuation_state{4, {"b"}});
    builder.reset();
    CHECK(builder.build().m_zones.empty());
}

// Guards against a zone whose agents all read the store every second for as long as it is evacuated.
TEST_CASE("an agent reads the store when others tell it too little, in an evacuated zone much later")
{
    evacuation_view view = make_view();
    CHECK(is_store_read_due(view, "a", at_ms(0)));
    merge_evacuation(view, {7, {"a"}}, at_ms(0), at_ms(0));
    CHECK_FALSE(is_store_read_due(view, "b", at_ms(1'500)));
    CHECK(is_store_read_due(view, "b", at_ms(1'501)));
    CHECK_FALSE(is_store_read_due(view, "a", at_ms(10'000)));
    CHECK(is_store_read_due(view, "a", at_ms(10'001)));
    CHECK_FALSE(is_store_read_due(evacuation_view(), "a", at_ms(0)));
}

// Guards against agents that never start anything because the operator's bounds are short.
TEST_CASE("the longest age of a state is positive for every bound")
{
    CHECK(max_evacuation_age({milliseconds(800), milliseconds(0)}) == milliseconds(400));
    CHECK(max_evacuation_age({milliseconds(5'000), milliseconds(6'000)}) == milliseconds(10'000));
}

// Guards against a delayed message that evacuates a zone again, or revokes an evacuation, by an old state.
TEST_CASE("a state with a higher offset replaces a lower one, in any order of arrival")
{
    evacuation_view view = make_view();
    CHECK(merge_evacuation(view, {7, {"a", "b"}}, at_ms(0), at_ms(0)));
    CHECK_FALSE(merge_evacuation(view, {5, {"c"}}, at_ms(10), at_ms(10)));
    CHECK(is_evacuated(view, "a"));
    CHECK(is_evacuated(view, "b"));
    CHECK_FALSE(is_evacuated(view, "c"));
    // The records behind the newer offset are of other keys.
    CHECK_FALSE(merge_evacuation(view, {8, {"a", "b"}}, std::nullopt, at_ms(20)));
    CHECK(merge_evacuation(view, {9, {}}, std::nullopt, at_ms(30)));
    CHECK_FALSE(is_evacuated(view, "a"));
}

// Guards against a process that counts as informed longer, or shorter, than what it was told allows.
TEST_CASE("a merge keeps the later confirmation, whichever of the states it came with")
{
    evacuation_view view = make_view();
    merge_evacuation(view, {7, {"a"}}, at_ms(0), at_ms(0));
    // The lower offset is confirmed later: all records acknowledged before are in the higher one, too.
    merge_evacuation(view, {5, {}}, at_ms(300), at_ms(400));
    CHECK(view.m_state == evacuation_state{7, {"a"}});
    CHECK(evacuation_age(view, at_ms(400)) == milliseconds(100));
    merge_evacuation(view, {9, {"a"}}, at_ms(100), at_ms(400));
    CHECK(evacuation_age(view, at_ms(400)) == milliseconds(100));
    merge_evacuation(view, {10, {"a"}}, std::nullopt, at_ms(500));
    CHECK(evacuation_age(view, at_ms(500)) == milliseconds(200));
    // Of the clock before a restart of the machine.
    merge_evacuation(view, {10, {"a"}}, at_ms(9'000), at_ms(600));
    CHECK(evacuation_age(view, at_ms(600)) == milliseconds(300));
}

// Guards against starts long after an evacuation by a process that has lost contact with all others.
TEST_CASE("a state is current until one second before the extended bound")
{
    evacuation_view view = make_view();
    CHECK_FALSE(is_current(view, at_ms(0)));
    CHECK(find_start_bar(view, "a", at_ms(0)) == start_bar::evacuation_unknown);
    merge_evacuation(view, {7, {}}, std::nullopt, at_ms(0));
    CHECK(find_start_bar(view, "a", at_ms(0)) == start_bar::evacuation_unknown);
    merge_evacuation(view, {7, {}}, at_ms(0), at_ms(0));
    CHECK(max_evacuation_age(*view.m_limits) == milliseconds(10'000));
    CHECK(find_start_bar(view, "a", at_ms(10'000)) == start_bar::none);
    CHECK(find_start_bar(view, "a", at_ms(10'001)) == start_bar::evacuation_stale);
    view.m_limits->m_evacuate = milliseconds(3'000);
    view.m_limits->m_max_stretch = milliseconds(2'000);
    CHECK(is_current(view, at_ms(4'000)));
    CHECK_FALSE(is_current(view, at_ms(4'001)));
    merge_evacuation(view, {8, {"a"}}, std::nullopt, at_ms(4'002));
    CHECK(find_start_bar(view, "a", at_ms(4'002)) == start_bar::zone_evacuated);
    CHECK(find_start_bar(view, "b", at_ms(4'002)) == start_bar::evacuation_stale);
}

// Guards against an age that shrinks on its way over several processes.
TEST_CASE("a report's age counts from before it was sent, and is never understated")
{
    evacuation_view first = make_view();
    CHECK_FALSE(make_evacuation_report(first, at_ms(0)));
    merge_evacuation(first, {7, {"a"}}, std::nullopt, at_ms(0));
    evacuation_view second = make_view();
    merge_evacuation_report(second, *make_evacuation_report(first, at_ms(0)), at_ms(0), at_ms(5));
    CHECK(second.m_state == first.m_state);
    CHECK_FALSE(second.m_confirmed_at);
    merge_evacuation(first, {7, {"a"}}, at_ms(0) + microseconds(1), at_ms(0) + microseconds(1));
    const auto report = make_evacuation_report(first, at_ms(100));
    REQUIRE(report);
    CHECK(report->m_age == milliseconds(100));
    // The second process asked at 90 and was answered at 120.
    merge_evacuation_report(second, *report, at_ms(90), at_ms(120));
    CHECK(evacuation_age(second, at_ms(120)) == milliseconds(130));
}

// Guards against any effect where the settings ask for no evacuations.
TEST_CASE("without limits nothing is learned, reported or barred")
{
    evacuation_view view;
    CHECK_FALSE(merge_evacuation(view, {7, {"a"}}, at_ms(0), at_ms(0)));
    CHECK(view == evacuation_view());
    CHECK_FALSE(is_evacuated(view, "a"));
    CHECK(is_current(view, at_ms(0)));
    CHECK(find_start_bar(view, "a", at_ms(0)) == start_bar::none);
    CHECK_FALSE(make_evacuation_report(view, at_ms(0)));
}

} // namespace hawthornpin
