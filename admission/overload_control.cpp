// Additive increase and multiplicative decrease of the refused share.

#include "admission/overload_control.h"

#include <algorithm>

namespace hawthornpin {

void record_delay(overload_control& control, milliseconds delay, instant now)
{
    const overload_limits& limits = control.m_limits;
    if (control.m_changed_at + limits.m_interval > now)
        return;
    control.m_changed_at = now;
    if (delay > limits.m_target_delay)
        control.m_refused_share = std::min(control.m_refused_share + limits.m_increase, limits.m_max_share);
    else
        control.m_refused_share *= limits.m_decrease;
    constexpr double negligible_share = 0.01;
    if (control.m_refused_share < negligible_share) {
        control.m_refused_share = 0;
        control.m_credit = 0;
    }
}

bool take_refusal(overload_control& control)
{
    control.m_credit += control.m_refused_share;
    if (control.m_credit < 1)
        return false;
    control.m_credit -= 1;
    return true;
}

} // namespace hawthornpin
