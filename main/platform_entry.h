// Entry on the users' platform: accepts callers' jobs, has them run, and answers.

#pragma once

#include "admission/burst_detector.h"
#include "admission/limits.h"
#include "admission/overload_control.h"
#include "config/queue_index.h"
#include "core/event_loop.h"
#include "core/metrics.h"
#include "dispatch/run_guard.h"
#include "http/api_server.h"
#include "main/evacuation_watch.h"
#include "main/input_settings.h"
#include "main/job_home.h"
#include "main/loop_watch.h"
#include "main/platform_link.h"
#include "membership/entry_list.h"
#include "platform/directory_follower.h"
#include "platform/node_settings.h"
#include "platform/store_client.h"
#include "routing/home_table.h"
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
    platform_entry(event_loop& loop, const node_settings& settings);
    ~platform_entry();
    platform_entry(const platform_entry&) = delete;
    platform_entry& operator=(const platform_entry&) = delete;

    // Opens the listeners and starts to look for the configuration and the agents; false with a reason on
    // failure.
    bool start(last_reason& why);

    // Fails the readiness probe, answers the requests in progress and stops the loop within the platform's
    // shutdown grace period.
    void begin_leaving();

    // Updates the gauges and returns all metrics.
    metrics& collect_metrics();
    // Limits of the HTTP input of the whole process.
    input_guard& http_input() { return m_input_guard; }

private:
    // The balancer stops sending connections after two failed probes, a second apart; a connection that is
    // open then may still carry requests.
    static constexpr milliseconds serve_while_leaving{3'500};

    class node_server;
    class caller_wait_guard;
    using fulfiller = kj::Own<kj::PromiseFulfiller<api_response>>;

    // When and in which queue a job was submitted.
    struct arrival {
        instant m_arrived;
        std::string m_queue;
    };

    // An answer kept for callers that submit a job again after it was answered or cancelled.
    struct cached_answer {
        std::string m_state;
        instant m_expires_at;
    };

    kj::Promise<api_response> on_readiness_probe(const api_request& request);
    kj::Promise<api_response> on_caller_request(const api_request& request);
    kj::Promise<api_response> submit(const queue_contract& queue, const std::string& id,
                                     const api_request& request);
    // The response to a submission whose caller has stopped waiting.
    api_response refuse_expired(const std::string& id) const;
    // Observes the age of a submission, and logs it if it is read late.
    void record_age(const std::string& id, const api_request& request, instant now);
    api_response describe_job(const std::string& id) const;
    api_response cancel(const std::string& id);
    kj::Promise<api_response> wait_for_answer(const std::string& id);
    void cancel_if_unawaited(const std::string& id);

    void deliver(const job_answer_event& answer);
    // Logs the answer with the time since the job was submitted.
    void log_answer(const job_answer_event& answer);

    // In a large service, jobs are forwarded to homes among the agents.
    bool is_forwarding() const { return m_are_homes_ready; }
    void choose_service_homes();
    void update_forwarding();
    // A job to be forwarded to a home.
    struct outgoing_job {
        work_request m_work;
        queue_contract m_queue;
        // When the caller stops waiting.
        instant m_caller_deadline;
        // Homes that refused it.
        std::set<std::string> m_refused_by;
    };
    // A job that is refused if no home responds by m_wait_until.
    struct waiting_job {
        outgoing_job m_job;
        instant m_wait_until;
    };
    void forward_job(const outgoing_job& job);
    void wait_for_home(const outgoing_job& job);
    // Forwards the waiting jobs once a home responds; refuses those whose m_wait_until has passed.
    void forward_waiting_jobs();
    void on_forwarded_job_end(outgoing_job job, const std::string& home, std::uint64_t session,
                              const std::optional<forwarded_job_end>& end);
    // Ends the call for the job, and with it the job at its home; false if the job was neither forwarded nor
    // waiting for a home.
    bool cancel_forwarded(const std::string& job);
    void send_home_heartbeats();
    void handle_lost_home(const std::string& home);
    std::vector<std::string> list_homes_of(const std::string& agent) const;

    void apply_directory(const service_directory& directory, const std::string& text);
    bool on_tick();
    void share_with_entries();
    void share_with(const std::string& address);
    void publish_address();
    void learn_entries_from_store();
    void evict_cached_answers(instant now);
    void finish_if_idle();
    bool is_ready() const;

    event_loop& m_loop;
    node_settings m_settings;
    metrics m_metrics;
    // The configuration in force; empty until the first one arrives.
    std::optional<queue_index> m_configuration;
    std::string m_directory_text;
    entry_list m_entries;
    store_client m_store;
    platform_link m_links;
    job_home m_home;
    evacuation_watch m_evacuation;
    // Homes among the agents; empty in a small service.
    std::vector<home_candidate> m_service_homes;
    // The agents that m_service_homes were chosen from, and the homes of each by its id.
    std::vector<home_candidate> m_home_candidates;
    std::map<std::string, std::vector<home_candidate>> m_homes_of_agents;
    // Whether jobs are forwarded: set once one of the homes accepts jobs. Until then the entry itself is the
    // home.
    bool m_are_homes_ready = false;
    home_choice_limits m_home_limits;
    home_table m_home_table;
    // Bounds how many jobs are submitted to a further home, so that an overload does not multiply its own
    // work.
    retry_budget m_retries = make_home_retry_budget();
    // By service.
    std::map<std::string, burst_detector> m_bursts;
    // Refuses jobs while this process is short of processor time.
    overload_control m_overload;
    instant m_homes_chosen_at;
    instant m_homes_checked_at;
    std::unique_ptr<directory_follower> m_follower;
    input_guard m_input_guard{read_input_limits(m_settings)};
    std::unique_ptr<api_server> m_caller_server;
    std::unique_ptr<api_server> m_ready_server;
    std::unique_ptr<rpc_server> m_rpc_server;
    loop_watch m_loop_watch{decision_tick, m_metrics};
    std::unique_ptr<timer> m_tick;
    std::map<std::string, std::vector<fulfiller>> m_waiters;
    std::map<std::string, cached_answer> m_cached_answers;
    instant m_answers_evicted_at;
    // Jobs that are not answered yet.
    std::map<std::string, arrival> m_arrivals;
    bool m_was_store_connected = false;
    std::set<std::string> m_shares_in_flight;
    instant m_shared_at;
    random_source m_random;
    std::optional<instant> m_leaving_since;
    // When a caller's request last arrived or was answered.
    instant m_last_request_at;
    background_tasks m_tasks;
    // Jobs that wait for a home to respond, by id.
    std::map<std::string, waiting_job> m_waiting_for_home;
    // Calls for forwarded jobs, by job.
    struct forwarded_job {
        std::string m_home;
        instant m_forwarded_at;
        kj::Promise<void> m_call;
    };
    std::map<std::string, forwarded_job> m_forwarded;
    // Ended calls, freed in a later iteration of the loop.
    deferred_deletion<forwarded_job> m_ended_calls;
};

} // namespace hawthornpin
