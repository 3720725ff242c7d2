// Verifies a run on real processes: compares the answers that callers received with the starts that targets
// counted.

#pragma once

#include <string>
#include <vector>

namespace hawthornpin::bench {

// Totals over all targets and all tickets of the callers.
struct verification_result {
    std::size_t m_tickets = 0;
    std::size_t m_started_tasks = 0;
    // Tasks that were started more than once.
    std::size_t m_double_starts = 0;
    // Tickets that were answered not_run and closed although a task started.
    std::size_t m_broken_not_run = 0;
    // Tickets that were answered complete although tasks are missing.
    std::size_t m_incomplete = 0;
    std::size_t m_unreachable_targets = 0;

    bool is_clean() const
    {
        return m_double_starts + m_broken_not_run + m_incomplete + m_unreachable_targets == 0;
    }
};

// Asks each target for its starts and reads the file of tickets that the load client wrote.
verification_result verify_run(const std::vector<std::string>& targets, const std::string& tickets_path,
                               const std::string& ticket_key);

} // namespace hawthornpin::bench
