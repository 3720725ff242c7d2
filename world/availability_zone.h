// Places of processes: region, availability zone and rack, and the distance between two places.

#pragma once

#include <compare>
#include <string>

namespace hawthornpin {

// A rack within an availability zone within a region. Compares by value.
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
