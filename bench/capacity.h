// The capacity table: what each role takes at the target size, from measured slopes.

#pragma once

#include "core/last_reason.h"

#include <optional>
#include <string>

namespace hawthornpin::bench {

// Reads the slopes file of bench/measure-slopes and gives the tables of docs/CAPACITY.md in Markdown.
std::optional<std::string> make_capacity_tables(const std::string& slopes_path, last_reason& why);

} // namespace hawthornpin::bench
