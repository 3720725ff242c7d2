// Submits jobs at suspended entries, which read them only after the callers have given up and submitted the
// jobs again at other entries.

#pragma once

#include "core/event_loop.h"
#include "core/random.h"
#include "tests/soak/soak_processes.h"
#include "tests/soak/soak_requests.h"
#include "tests/soak/soak_verifier.h"

#include <string>
#include <vector>

namespace hawthornpin::soak {

class late_reads {
public:
    // `entries` are the addresses of entry-1, entry-2 and so on; three at least.
    late_reads(std::vector<std::string> entries, std::uint64_t seed, soak_verifier& verifier,
               const soak_processes& processes)
        : m_entries(std::move(entries)), m_random(seed), m_verifier(verifier), m_processes(processes)
    {
    }

    kj::Promise<void> play_rounds(std::size_t count);

    // Whether enough requests were read late, and enough jobs completed at the other entry.
    bool is_conclusive() const;
    std::string summary() const;

private:
    kj::Promise<void> play_round(std::size_t round);
    // Adds the answer of a job's submission at the suspended entry.
    void add_first_submission(const soak_job& job, kj::Promise<http_response> answer);
    void submit_again(const soak_job& job, const std::string& entry);
    soak_job draw_job();

    std::vector<std::string> m_entries;
    random_source m_random;
    soak_verifier& m_verifier;
    const soak_processes& m_processes;
    // The jobs of the current round, and the connections of those that were sent on a kept one.
    std::vector<soak_job> m_jobs;
    std::vector<http_client> m_kept;
    std::size_t m_submitted = 0;
    std::size_t m_read_late = 0;
    std::size_t m_completed = 0;
    background_tasks m_tasks;
};

} // namespace hawthornpin::soak
