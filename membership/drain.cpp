// Transitions between the steps of a drain.

#include "membership/drain.h"

namespace hawthornpin {

void begin_drain(drain_state& state, instant now)
{
    if (state.m_step != drain_step::serving)
        return;
    state.m_step = drain_step::lingering;
    state.m_started = now;
}

drain_step advance_drain(drain_state& state, int in_progress, instant now)
{
    const auto elapsed = now - state.m_started;
    if (state.m_step == drain_step::lingering && elapsed >= state.m_limits.m_linger)
        state.m_step = drain_step::finishing;
    const bool is_over = in_progress == 0 || elapsed >= state.m_limits.m_linger + state.m_limits.m_grace;
    if (state.m_step == drain_step::finishing && is_over)
        state.m_step = drain_step::finished;
    return state.m_step;
}

} // namespace hawthornpin
