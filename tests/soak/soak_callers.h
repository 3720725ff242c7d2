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
    soak_job draw_job();
    void submit_due();
    kj::Promise<void> attempt(soak_job job, int attempts_left);

    std::vector<std::string> m_entries;
    random_source m_random;
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
