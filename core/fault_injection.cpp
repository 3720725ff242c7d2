// Holds the active mutant of test builds.

#include "core/fault_injection.h"

namespace hawthornpin {

#ifdef HAWTHORNPIN_MUTANTS
mutant& active_mutant()
{
    static mutant active = mutant::none;
    return active;
}
#endif

} // namespace hawthornpin
