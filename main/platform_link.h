// Calls between the processes of this system about runs and jobs. All but submit_to_home() have a time limit.

#pragma once

#include "rpc/home_session_wire.h"
#include "rpc/link.h"
#include "rpc/run_wire.h"

#include <optional>
#include <string>
#include <vector>

namespace hawthornpin {

// The platform's settings hold no secret; its network admits only the machines of one system.
inline constexpr const char* platform_cluster_key = "hawthornpin-platform";

// State that entries exchange: known entries and the configuration in force.
struct entry_sync_state {
    // Peer addresses of the live entries.
    std::vector<std::string> m_entries;
    // Version of the configuration in force; 0 for none.
    std::int64_t m_version = 0;
    // Text of the configuration, if it is newer than the receiver's.
    std::string m_directory;
    // The evacuated zones, if they are known.
    std::optional<evacuation_report> m_evacuation;
};

// An entry's or home's answer to the registration of an agent.
struct registration_answer {
    // Peer addresses of the live entries; none from a home among the agents.
    std::vector<std::string> m_entries;
    // Peer addresses of the agent's homes, best first.
    std::vector<std::string> m_homes;
    // The evacuated zones, if they are known.
    std::optional<evacuation_report> m_evacuation;
};

// The end of a forwarded job, and the home's status at that time.
struct forwarded_job_end {
    job_answer_event m_answer;
    home_status m_status;
};

// Every promise is empty or false if the peer can't be reached or does not answer in time. A link on which no
// call is answered any more is closed, so that a dead connection is not used for long.
class platform_link {
public:
    explicit platform_link(std::size_t max_links) : m_links(platform_cluster_key, max_links) {}

    kj::Promise<std::optional<agent_status>> order(const std::string& address, const order_batch& batch,
                                                   milliseconds timeout);
    kj::Promise<bool> report(const std::string& address, const agent_status& status,
                             const std::vector<run_outcome>& outcomes, milliseconds timeout);
    kj::Promise<std::optional<registration_answer>>
    register_agent(const std::string& address, const agent_status& status,
                   const std::optional<evacuation_report>& evacuation, milliseconds timeout);
    kj::Promise<std::optional<entry_sync_state>> share(const std::string& address,
                                                       const std::string& own_address,
                                                       const entry_sync_state& known, milliseconds timeout);
    // Sends an entry's heartbeat to a home of its jobs.
    kj::Promise<std::optional<home_status>> send_heartbeat(const std::string& address,
                                                           const entry_heartbeat& heartbeat_message,
                                                           milliseconds timeout);
    // Forwards a job to its home. The call lasts as long as the job, and dropping the promise cancels the
    // job. Empty if the connection broke: the job may have run.
    kj::Promise<std::optional<forwarded_job_end>>
    submit_to_home(const std::string& address, const entry_heartbeat& heartbeat_message,
                   const work_request& work, const queue_contract& queue, milliseconds caller_timeout);

private:
    template <typename Value>
    kj::Promise<std::optional<Value>> with_timeout(kj::Promise<std::optional<Value>>&& call,
                                                   const std::string& address, milliseconds timeout);

    link_pool m_links;
};

} // namespace hawthornpin
