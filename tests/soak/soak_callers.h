// Callers of a soak test: they submit jobs at a steady rate, resubmit them as the platform's callers do, and
// report the results to the verifier.

#pragma once

#include "core/event_loop.h"
#include "core/instant.h"
#include "core/random.h"
#include "platform/http_client.h"
#include "tests/soak/soak_requests.h"
#include "tests/soak/soak_verifier.h"

#include <memory>
#include <string>
#include <vector>

namespace hawthornpin::soak {

class soak_callers {
public:
    soak_callers(std::vector<std::string> entries, std::uint64_t seed, double jobs_per_second,
                 soak_verifier& verifier);

    // Opens connections to each entry that carry one request each and then stay idle.
    void open_idle_connections(unsigned for_each_entry);

    void start();
    void stop() { m_is_stopped = true; }
    bool is_idle() const { return m_open_attempts == 0; }

private:
    // How a caller sends a submission and waits for the answer.
    struct caller_behavior {
        // Stated in Deadline-Ms, or not stated.
        std::optional<unsigned> m_deadline_ms;
        unsigned m_wait_ms = 0;
        // Pause in the middle of the body; 0: none.
        unsigned m_pause_ms = 0;
        bool m_leaves_connection_open = false;
    };

    soak_job draw_job();
    caller_behavior draw_behavior();
    // An answer that takes longer than the caller waits counts as lost.
    kj::Promise<http_response> send(const soak_job& job, const caller_behavior& behavior);
    void submit_due();
    kj::Promise<void> attempt(soak_job job, int attempts_left);

    std::vector<std::string> m_entries;
    random_source m_random;
    // Separate, so that the same seed draws the same jobs whatever the behavior of their callers.
    random_source m_behavior_random;
    double m_jobs_per_second;
    soak_verifier& m_verifier;
    instant m_started;
    std::size_t m_submitted = 0;
    std::size_t m_open_attempts = 0;
    bool m_is_stopped = false;
    http_client m_http;
    std::vector<http_client> m_idle_clients;
    background_tasks m_tasks;
    std::unique_ptr<timer> m_tick;
};

} // namespace hawthornpin::soak
