// Comparison of versions of the service directory.

#include "config/service_directory.h"

namespace hawthornpin {

bool is_newer(const service_directory& candidate, const service_directory& in_force)
{
    return candidate.m_version > in_force.m_version;
}

} // namespace hawthornpin
