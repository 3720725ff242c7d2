// Distance between places.

#include "world/availability_zone.h"

namespace hawthornpin {

link_distance measure_distance(const place& from, const place& to)
{
    if (from.m_region != to.m_region)
        return link_distance::other_region;
    if (from.m_zone != to.m_zone)
        return link_distance::other_zone;
    return from.m_rack == to.m_rack ? link_distance::same_rack : link_distance::same_zone;
}

} // namespace hawthornpin
