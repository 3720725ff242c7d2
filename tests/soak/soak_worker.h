// Stand-in for a worker in a soak test: serves the platform's worker calls on real sockets with the worker of
// the model.

#pragma once

#include "core/event_loop.h"
#include "core/json.h"
#include "http/api_server.h"
#include "platform/http_client.h"
#include "tests/model/model_worker.h"
#include "tests/soak/soak_verifier.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace hawthornpin::soak {

// Specification of a job in a soak test: the processor time and the duration of each task.
std::string make_specification(std::int64_t cpu_milli, long long duration_ms);

class soak_worker {
public:
    // `report_address` is where the agent accepts worker reports.
    soak_worker(std::string id, std::string zone, std::string report_address, soak_verifier& verifier);

    bool listen(const std::string& address, last_reason& why);

    // Crashes, which breaks its connections, and starts a new incarnation of this capacity under the same id
    // and address after `away_ms`.
    void restart(unsigned away_ms, const resources& capacity);
    // Drains, deregisters and ends, soon after the acknowledgement or, if that is lost, seconds later. A new
    // incarnation starts as after a crash.
    void leave(bool is_acknowledgement_lost);
    // Whether some answers to starts and stops are lost, and whether some starts are carried out late.
    void set_losing_answers(bool is_on) { m_is_losing_answers = is_on; }
    void set_delaying_starts(bool is_on) { m_is_delaying_starts = is_on; }
    // Whether some starts are refused as by an unhealthy worker, also if the run began before.
    void set_refusing_starts(bool is_on) { m_is_refusing_starts = is_on; }

    bool is_idle() const { return m_worker.occupying_runs().empty(); }

private:
    kj::Promise<api_response> handle(const api_request& request);
    kj::Promise<api_response> hold(const json_object& request);
    kj::Promise<api_response> wait_for_new_ends(renewal request, long long until);
    api_response list(const renewal& request);
    api_response start(const json_object& request);
    api_response stop(const json_object& request);
    kj::Promise<void> run_report_loop();
    kj::Promise<http_response> send_report();
    // Calls the agent; an answer may take report_timeout_ms.
    kj::Promise<http_response> call_agent(const char* call, std::string body);
    kj::Promise<void> deregister(bool is_acknowledgement_lost);
    // Advances the worker to the current time and reports ended runs to the verifier.
    void advance();
    api_response make_answer(unsigned status, const char* reason) const;

    std::string m_id;
    std::string m_zone;
    std::string m_report_address;
    soak_verifier& m_verifier;
    model::model_worker m_worker;
    std::int64_t m_incarnation_started = 0;
    // Runs that were reported to the verifier as started, but not as ended.
    std::set<run_id> m_occupying_runs;
    bool m_is_losing_answers = false;
    bool m_is_delaying_starts = false;
    bool m_is_refusing_starts = false;
    std::size_t m_calls = 0;
    std::string m_address;
    // Unset while the worker is away.
    std::unique_ptr<api_server> m_server;
    http_client m_reports;
    background_tasks m_tasks;
    std::unique_ptr<timer> m_tick;
};

} // namespace hawthornpin::soak
