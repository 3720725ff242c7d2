// Where a process stands: region, availability zone and rack, and how far two places are apart.

#pragma once

#include <compare>
#include <string>

namespace hawthornpin {

// An availability zone within a region, with the rack inside it. Compares by value.
struct place {
    std::string m_region;
    std::string m_zone;
    std::string m_rack;

    friend auto operator<=>(const place&, const place&) = default;
};

// Ordered from near to far.
enum class link_distance { same_rack, same_zone, other_zone, other_region };

link_distance measure_distance(const place& from, const place& to);

} // namespace hawthornpin
