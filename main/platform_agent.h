// Agent on the users' platform: the only process that calls its worker.

#pragma once

#include "core/event_loop.h"
#include "core/metrics.h"
#include "core/random.h"
#include "dispatch/entry_leases.h"
#include "dispatch/run_guard.h"
#include "http/api_server.h"
#include "main/evacuation_watch.h"
#include "main/input_settings.h"
#include "main/job_home.h"
#include "main/loop_watch.h"
#include "main/platform_link.h"
#include "membership/entry_list.h"
#include "membership/home_assignment.h"
#include "platform/node_settings.h"
#include "platform/store_client.h"
#include "platform/worker_client.h"
#include "rpc/rpc_server.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace hawthornpin {

class platform_agent {
public:
    platform_agent(event_loop& loop, const node_settings& settings);
    ~platform_agent();
    platform_agent(const platform_agent&) = delete;
    platform_agent& operator=(const platform_agent&) = delete;

    // Opens the listeners and starts to look for entries; false with a reason on failure.
    bool start(last_reason& why);

    // Stops accepting orders, lets runs end and stops the loop within the platform's shutdown grace period.
    void begin_leaving();

    // Updates the gauges and returns all metrics.
    metrics& collect_metrics();
    // Limits of the HTTP input of the whole process.
    input_guard& http_input() { return m_input_guard; }

private:
    class node_server;

    kj::Promise<api_response> on_worker_call(const api_request& request);
    void on_orders(const order_batch& batch);

    // Carries out the run guard's decisions; scheduled after each event.
    void step();
    void schedule_step() { m_next_step.schedule(); }
    void call_start(const run_order& order, const guard_actions& actions);
    void call_stop(const run_id& run);
    void send_reports();
    void send_report(const home_identity& home, const guarded_home& home_state);

    void log_outcomes(const home_identity& home, const guarded_home& home_state);
    void log_state_change();
    // To be called before the guard handles the listing.
    void log_other_incarnation(const run_listing& listing) const;

    kj::Promise<void> renew_forever();
    void on_renewal_answer(const renewal& asked, const renewal_answer& answer);

    bool on_tick();
    void register_with_entries();
    void register_with(const std::string& address);
    void on_registration_answer(const std::string& address, const registration_answer& answer);
    void learn_entries_from_store();
    // Reads the evacuated zones from the store while no other process confirms them.
    void read_evacuation_if_due();
    void read_evacuation();
    void schedule_evacuation_read(milliseconds delay);
    void count_barred_orders();
    void finish_if_idle();

    // Jobs that entries forward to this agent as their home.
    class hosted_wait_guard;
    struct hosted_waiter {
        home_identity m_session;
        kj::Own<kj::PromiseFulfiller<job_answer_event>> m_fulfiller;
    };
    void on_entry_heartbeat(const entry_heartbeat& heartbeat_message);
    kj::Promise<job_answer_event> host_job(const entry_heartbeat& heartbeat_message, const work_request& work,
                                           const queue_contract& queue, milliseconds caller_timeout);
    void on_hosted_job_end(const job_answer_event& answer);
    // Cancels the hosted jobs that no entry waits for any more.
    void cancel_abandoned_jobs();
    void end_expired_sessions();
    home_status make_home_status() const;

    // Status for the home at this address; empty for an entry.
    agent_status make_status(const home_identity* receiver, const std::string& address);
    std::string worker_id() const;

    event_loop& m_loop;
    node_settings m_settings;
    metrics m_metrics;
    run_guard m_guard;
    agent_incarnation m_identity;
    std::uint64_t m_status_sequence = 0;
    entry_list m_entries;
    home_assignment m_assignment;
    worker_client m_worker;
    store_client m_store;
    platform_link m_links;
    job_home m_home;
    evacuation_watch m_evacuation;
    bool m_is_reading_evacuation = false;
    instant m_next_evacuation_read_at;
    random_source m_random;
    entry_leases m_entry_leases;
    // Entries that wait for the end of a hosted job, by job.
    std::map<std::string, std::vector<hosted_waiter>> m_hosted;
    input_guard m_input_guard{read_input_limits(m_settings)};
    std::unique_ptr<api_server> m_report_server;
    std::unique_ptr<rpc_server> m_rpc_server;
    loop_watch m_loop_watch{decision_tick, m_metrics};
    std::unique_ptr<timer> m_tick;
    std::set<home_identity> m_reports_in_flight;
    std::set<std::string> m_registrations_in_flight;
    agent_state m_logged_state = agent_state::preparing;
    renewal_status m_last_renewal = renewal_status::unanswered;
    coalesced_call m_next_step{[this] { step(); }};
    bool m_is_reading_store = false;
    instant m_store_read_at;
    instant m_orders_received_at;
    // When the last heartbeat of an entry arrived; only entries that may forward jobs here send them.
    instant m_entry_heartbeat_at;
    std::optional<instant> m_leaving_since;
    std::optional<instant> m_idle_since;
    background_tasks m_tasks;
};

} // namespace hawthornpin
