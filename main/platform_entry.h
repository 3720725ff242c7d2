// The entry on the users' platform: takes callers' jobs, has them run, and answers.

#pragma once

#include "config/service_directory.h"
#include "core/event_loop.h"
#include "core/metrics.h"
#include "dispatch/job_scheduler.h"
#include "http/api_server.h"
#include "main/platform_link.h"
#include "membership/entry_list.h"
#include "platform/directory_follower.h"
#include "platform/process_place.h"
#include "platform/store_client.h"
#include "rpc/rpc_server.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hawthornpin {

class platform_entry {
public:
    platform_entry(event_loop& loop, const process_place& place);
    ~platform_entry();
    platform_entry(const platform_entry&) = delete;
    platform_entry& operator=(const platform_entry&) = delete;

    // Listens and begins to look for the configuration and the agents; false with a reason on failure.
    bool start(last_reason& why);

    // Takes no new connections, answers what is under way and stops the loop within the platform's grace.
    void begin_leaving();

    metrics& counts() { return m_metrics; }

private:
    // The balancer needs two missed probes, a second apart, to stop sending connections; a connection that is
    // open then may still bring requests.
    static constexpr milliseconds serve_while_leaving{3'500};

    class node_server;
    class caller_wait;
    using fulfiller = kj::Own<kj::PromiseFulfiller<api_response>>;

    // An answer kept for callers that hand a job in again although it was answered.
    struct kept_answer {
        std::string m_state;
        instant m_forget_at;
    };

    kj::Promise<api_response> on_readiness_probe(const api_request& request);
    kj::Promise<api_response> on_caller_request(const api_request& request);
    kj::Promise<api_response> submit(const queue_contract& queue, const std::string& id,
                                     const api_request& request);
    api_response describe_job(const std::string& id) const;
    api_response cancel(const std::string& id);
    kj::Promise<api_response> wait_for_answer(const std::string& id);
    void abandon(const std::string& id);

    void on_report(const agent_status& status, const std::vector<run_outcome>& outcomes);
    void on_batch_end(const std::string& agent, std::uint64_t number,
                      const std::optional<agent_status>& status);
    void log_orders(const outgoing_batch& out);
    void log_admission(const work_request& request, const queue_contract& queue);

    void step();
    void schedule_step();
    void send_batches();
    void deliver_answers();
    void deliver(const job_answer_event& answer);

    void apply_directory(const service_directory& directory, const std::string& text);
    bool on_tick();
    void share_with_entries();
    void share_with(const std::string& address);
    void publish_address();
    void learn_entries_from_store();
    void finish_if_idle();
    bool is_ready() const;

    event_loop& m_loop;
    process_place m_place;
    metrics m_metrics;
    job_scheduler m_scheduler;
    std::optional<service_directory> m_directory;
    std::string m_directory_text;
    entry_list m_entries;
    store_client m_store;
    platform_link m_links;
    std::unique_ptr<directory_follower> m_follower;
    std::unique_ptr<api_server> m_caller_server;
    std::unique_ptr<api_server> m_ready_server;
    std::unique_ptr<rpc_server> m_rpc_server;
    std::unique_ptr<timer> m_tick;
    std::map<std::string, std::vector<fulfiller>> m_waiters;
    std::map<std::string, kept_answer> m_kept_answers;
    // When the jobs that are not answered yet came in.
    std::map<std::string, instant> m_arrivals;
    bool m_was_store_connected = false;
    std::set<std::string> m_shares_in_flight;
    bool m_is_step_scheduled = false;
    std::optional<instant> m_leaving_since;
    // When a caller's request last arrived or was answered.
    instant m_last_request_at;
    background_tasks m_tasks;
};

} // namespace hawthornpin
