// The operator interface of a daemon: health, readiness, metrics, members and drain.

#pragma once

#include "core/metrics.h"
#include "http/api_server.h"

#include <functional>
#include <string>

namespace hawthornpin {

// Callbacks into a daemon.
struct operator_hooks {
    // Empty when ready, else what is missing.
    std::function<std::string()> m_explain_not_ready;
    std::function<void()> m_begin_drain;
    // A JSON document of the known members.
    std::function<std::string()> m_list_members;
    // Updates the gauges before metrics are written.
    std::function<void(metrics&)> m_update_gauges;
};

// GET /healthz, /readyz, /metrics, /members; POST /drain.
api_handler make_operator_handler(operator_hooks hooks, metrics& counts);

} // namespace hawthornpin
