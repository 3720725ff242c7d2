// Counters, gauges and time distributions of one process, written in the Prometheus text format.

#pragma once

#include "core/verdict.h"

#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hawthornpin {

// Kinds of counted events. Those ending in `sent` count requests from this process to other hawthornpin
// processes.
enum class counter {
    tickets_minted,
    jobs_submitted,
    jobs_joined,
    jobs_completed,
    jobs_failed,
    jobs_cancelled,
    tasks_started,
    tasks_finished,
    grants_sent,
    grants_received,
    grants_returned_unstarted,
    submits_sent,
    fetches_sent,
    cancels_sent,
    revokes_sent,
    idle_notices_sent,
    announces_sent,
    exchanges_sent,
    log_polls,
    log_appends,
    config_changes_applied,
    config_changes_rejected,
    log_tail_lost,
    members_suspected,
    leases_renewed,
    connections_closed_for_budget,
    rpc_authentication_failures,
    rpc_authentication_timeouts,
    rpc_unauthenticated_evicted,
    rpc_unauthenticated_oversized,
    rpc_messages_too_large,
    rpc_incomplete_messages_evicted,
    http_answer_heads_too_large,
    http_answer_bodies_too_large,
};
inline constexpr std::size_t counter_count =
    static_cast<std::size_t>(counter::http_answer_bodies_too_large) + 1;

// Counts an event in code that is used without a metrics object, such as the clients of other processes. The
// metrics of the process include these counts.
void count_in_process(counter which);

// Measured durations, in seconds.
enum class distribution {
    job_response,
    queue_wait,
    task_run,
    home_answer,
    loop_delay,
    room_wait,
    request_age
};
inline constexpr std::size_t distribution_count = 7;

// All metrics of a process. Owned by the process's main object and passed by reference; not thread-safe.
class metrics {
public:
    metrics();

    void count(counter which, std::uint64_t amount = 1);
    void count_refusal(reason why, std::uint64_t amount = 1);
    void count_retry(reason why, std::uint64_t amount = 1);
    // Counts events of a metric family with one label, such as the reason why a run ended.
    void count_labelled(const std::string& family, const std::string& label, std::uint64_t amount = 1);
    void observe(distribution which, double seconds);
    void set_gauge(const std::string& name, double value);

    std::uint64_t value(counter which) const;
    std::uint64_t refusals(reason why) const;

    // All metrics in the Prometheus text exposition format, version 0.0.4.
    std::string to_exposition() const;

private:
    using accumulator = boost::accumulators::accumulator_set<
        double, boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
                                           boost::accumulators::tag::extended_p_square_quantile>>;

    std::array<std::uint64_t, counter_count> m_counters{};
    std::array<std::uint64_t, reason_count> m_refusals{};
    std::array<std::uint64_t, reason_count> m_retries{};
    // By family, then by label.
    std::map<std::string, std::map<std::string, std::uint64_t>> m_labelled;
    std::map<std::string, double> m_gauges;
    std::vector<accumulator> m_distributions;
};

} // namespace hawthornpin
