// Tests which incomplete messages give way.

#include "rpc/message_budget.h"

#include <doctest/doctest.h>

namespace hawthornpin {

using ids = std::vector<message_budget::message_id>;

TEST_CASE("the message that has been incomplete longest gives way first")
{
    message_budget budget(100);
    const auto first = budget.begin();
    const auto second = budget.begin();
    const auto third = budget.begin();
    CHECK(budget.resize(third, 60).empty());
    CHECK(budget.resize(first, 20).empty());
    CHECK(budget.resize(second, 20).empty());
    CHECK(budget.resize(second, 30) == ids{first});
    CHECK(budget.bytes() == 90);
    CHECK(budget.resize(third, 101) == ids{second, third});
    CHECK(budget.bytes() == 0);
}

TEST_CASE("a message that is complete, or gave way, is no longer counted")
{
    message_budget budget(100);
    const auto first = budget.begin();
    CHECK(budget.resize(first, 80).empty());
    budget.end(first);
    CHECK(budget.bytes() == 0);
    const auto second = budget.begin();
    CHECK(budget.resize(second, 101) == ids{second});
    CHECK(budget.resize(second, 10).empty());
    budget.end(second);
    CHECK(budget.bytes() == 0);
}

} // namespace hawthornpin
