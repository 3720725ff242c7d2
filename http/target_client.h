// HTTP client through which an agent starts and stops tasks on its target and renews their leases, over
// loopback.

#pragma once

#include "dispatch/messages.h"
#include "platform/http_client.h"

#include <optional>

namespace hawthornpin {

// Status that a target reports.
struct target_status {
    int m_slots = 0;
    int m_running = 0;
    int m_memory_mib = 0;
    int m_accelerators = 0;
    bool m_is_leaving = false;
    bool m_is_throttled = false;
    // Grants that the target runs, in text form.
    std::vector<std::string> m_grants;

    friend bool operator==(const target_status&, const target_status&) = default;
};

class target_client {
public:
    // `address` is IP:port; `slots` limits the connections for tasks. Control requests have two more.
    target_client(const std::string& address, unsigned slots);

    // Starts a task and waits for its end. Always a POST, because the HTTP library might resend an idempotent
    // method.
    kj::Promise<task_end> start(const grant_id& id, const std::string& payload, milliseconds budget,
                                milliseconds lease);
    kj::Promise<void> stop(const std::string& grant);
    // Renews the leases of all given tasks in one request.
    kj::Promise<void> renew(const std::vector<std::string>& grants, milliseconds lease);
    // Empty if the target can't be reached, or gives no valid answer in time.
    kj::Promise<std::optional<target_status>> status();

private:
    std::string m_url;
    http_client m_tasks;
    http_client m_control;
};

} // namespace hawthornpin
