// Capacity tables: the resources that each role needs at the target size, calculated from measured slopes.

#pragma once

#include "core/last_reason.h"

#include <optional>
#include <string>

namespace hawthornpin::bench {

// Reads the slopes file of bench/measure-slopes and returns the tables of docs/CAPACITY.md in Markdown.
std::optional<std::string> make_capacity_tables(const std::string& slopes_path, last_reason& why);

} // namespace hawthornpin::bench
