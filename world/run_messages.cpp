// Names of results and states in logs and counters.

#include "world/run_messages.h"

namespace hawthornpin {

const char* to_text(run_result result)
{
    switch (result) {
    case run_result::done:
        return "done";
    case run_result::failed:
        return "failed";
    case run_result::not_started:
        return "not_started";
    case run_result::lost:
        return "lost";
    case run_result::stopped:
        return "stopped";
    case run_result::stalled:
        return "stalled";
    case run_result::superseded:
        return "superseded";
    case run_result::refused:
        break;
    }
    return "refused";
}

const char* to_text(agent_state state)
{
    switch (state) {
    case agent_state::preparing:
        return "preparing";
    case agent_state::serving:
        return "serving";
    case agent_state::leaving:
        return "leaving";
    case agent_state::worker_silent:
        return "worker_silent";
    case agent_state::assigned_elsewhere:
        return "assigned_elsewhere";
    case agent_state::evacuated:
        break;
    }
    return "evacuated";
}

} // namespace hawthornpin
