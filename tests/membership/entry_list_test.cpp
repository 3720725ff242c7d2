// Knowledge of entries: seeds stay, silent ones go, hearsay does not keep a dead one.

#include "membership/entry_list.h"

#include <doctest/doctest.h>

namespace hawthornpin {

namespace {

instant at_ms(long long value)
{
    return instant(milliseconds(1'000'000 + value));
}

} // namespace

TEST_CASE("a process does not list itself, keeps its seeds and forgets silent entries")
{
    entry_list list;
    list.m_self = "a:1";
    add_seeds(list, {"a:1", "b:1"});
    note_hearsay(list, {"a:1", "c:1", ""}, at_ms(0));
    CHECK(list.m_entries.size() == 2);
    note_heard(list, "c:1", at_ms(100));
    forget_silent(list, at_ms(100 + forget_entry_after.count()));
    CHECK(list.m_entries.contains("c:1"));
    forget_silent(list, at_ms(101 + forget_entry_after.count()));
    CHECK_FALSE(list.m_entries.contains("c:1"));
    CHECK(list.m_entries.contains("b:1"));
}

TEST_CASE("an entry that only others speak of is not passed on for ever")
{
    entry_list list;
    note_heard(list, "b:1", at_ms(0));
    CHECK(list_live(list, at_ms(1'000)) == std::vector<std::string>{"b:1"});
    note_hearsay(list, {"b:1"}, at_ms(2'000));
    CHECK(list_live(list, at_ms(4'000)).empty());
}

} // namespace hawthornpin
