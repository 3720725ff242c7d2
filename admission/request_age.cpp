// Deadlines of requests that are read late.

#include "admission/request_age.h"

namespace hawthornpin {

instant caller_deadline(const request_age& age, const caller_patience& patience)
{
    return age.m_received_at + patience.m_stated.value_or(patience.m_default);
}

bool may_be_abandoned(const request_age& age, const caller_patience& patience, instant now)
{
    if (!patience.m_stated && age.m_received_at + patience.m_resubmit_after <= now)
        return true;
    return caller_deadline(age, patience) <= now;
}

} // namespace hawthornpin
