// Callers of a soak test that send large bodies slowly or in small chunks, beside the ordinary load. Most of
// them stop short of the end; the job of such a body must not start.

#pragma once

#include "core/event_loop.h"
#include "core/random.h"
#include "tests/soak/slow_client.h"
#include "tests/soak/soak_verifier.h"

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace hawthornpin::soak {

class slow_callers {
public:
    slow_callers(std::vector<std::string> entries, std::uint64_t seed, double bodies_per_second,
                 soak_verifier& verifier);

    void start();
    void stop() { m_is_stopped = true; }

private:
    // A connection, and the promise that uses it.
    struct slow_body {
        std::unique_ptr<slow_client> m_client;
        kj::Promise<void> m_progress;
    };

    void send_body();
    // Sends the rest of a body after a pause.
    kj::Promise<void> complete(kj::Promise<void> sent, slow_client& client, const std::string& job,
                               unsigned pause_ms);
    // Reports how the job of a complete body was answered.
    void record_answer(const slow_client& client, const std::string& job);

    std::vector<std::string> m_entries;
    random_source m_random;
    double m_bodies_per_second;
    soak_verifier& m_verifier;
    bool m_is_stopped = false;
    // The newest ones; older ones are closed.
    std::deque<slow_body> m_bodies;
    std::unique_ptr<timer> m_tick;
};

} // namespace hawthornpin::soak
