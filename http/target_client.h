// The agent's client of its target: starting, stopping and leasing of tasks over loopback HTTP.

#pragma once

#include "dispatch/messages.h"
#include "platform/http_client.h"

#include <optional>

namespace hawthornpin {

// What a target reports of itself.
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
    // `address` is IP:port; `slots` bounds the connections, with one more for control.
    target_client(const std::string& address, unsigned slots);

    // Starts a task and waits for its end. Always a POST: an idempotent method might be resent by the
    // library.
    kj::Promise<task_end> start(const grant_id& id, const std::string& payload, milliseconds budget,
                                milliseconds lease);
    kj::Promise<void> stop(const std::string& grant);
    // Renews the leases of all given tasks in one message.
    kj::Promise<void> renew(const std::vector<std::string>& grants, milliseconds lease);
    // Empty if the target can't be reached or answers nonsense.
    kj::Promise<std::optional<target_status>> status();

private:
    std::string m_url;
    http_client m_tasks;
    http_client m_control;
};

} // namespace hawthornpin
