// Seeded random numbers for decisions, and unpredictable ones for identifiers.

#pragma once

#include "core/ids.h"

#include <random>

namespace hawthornpin {

// Passed into decision code, so that the same seed reproduces every choice.
using random_source = std::mt19937_64;

// Unpredictable values from the operating system.
std::uint64_t generate_secure_random();
incarnation_id generate_incarnation();
ticket_id generate_ticket_id();

// A number in [0, bound); zero for a bound of zero.
inline std::size_t random_below(random_source& source, std::size_t bound)
{
    return bound == 0 ? 0 : std::uniform_int_distribution<std::size_t>(0, bound - 1)(source);
}

} // namespace hawthornpin
