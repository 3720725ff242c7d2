// Metric names and their output in the Prometheus text format.

#include "core/metrics.h"

#include <sstream>

namespace hawthornpin {

namespace {

constexpr std::array<std::string_view, counter_count> counter_names = {
    "tickets_minted",
    "jobs_submitted",
    "jobs_joined",
    "jobs_completed",
    "jobs_failed",
    "jobs_cancelled",
    "tasks_started",
    "tasks_finished",
    "grants_sent",
    "grants_received",
    "grants_returned_unstarted",
    "submits_sent",
    "fetches_sent",
    "cancels_sent",
    "revokes_sent",
    "idle_notices_sent",
    "announces_sent",
    "exchanges_sent",
    "log_polls",
    "log_appends",
    "config_changes_applied",
    "config_changes_rejected",
    "log_tail_lost",
    "members_suspected",
    "leases_renewed",
    "connections_closed_for_budget",
    "rpc_authentication_failures",
    "rpc_authentication_timeouts",
    "rpc_unauthenticated_evicted",
    "rpc_unauthenticated_oversized",
    "rpc_messages_too_large",
    "rpc_incomplete_messages_evicted",
    "http_answer_heads_too_large",
    "http_answer_bodies_too_large",
};

constexpr std::array<std::string_view, distribution_count> distribution_names = {
    "job_response", "queue_wait", "task_run", "home_answer", "loop_delay", "room_wait", "request_age"};

const std::vector<double> reported_quantiles = {0.5, 0.9, 0.99, 0.999};

std::array<std::uint64_t, counter_count>& process_counts()
{
    static std::array<std::uint64_t, counter_count> counts{};
    return counts;
}

void write_by_reason(std::ostream& out, std::string_view name,
                     const std::array<std::uint64_t, reason_count>& values)
{
    out << "# TYPE hawthornpin_" << name << "_total counter\n";
    for (std::size_t index = 1; index < values.size(); ++index) {
        out << "hawthornpin_" << name << "_total{reason=\"" << to_text(static_cast<reason>(index)) << "\"} "
            << values.at(index) << '\n';
    }
}

} // namespace

void count_in_process(counter which)
{
    ++process_counts().at(static_cast<std::size_t>(which));
}

metrics::metrics()
{
    namespace tag = boost::accumulators::tag;
    for (std::size_t index = 0; index < distribution_count; ++index)
        m_distributions.emplace_back(tag::extended_p_square::probabilities = reported_quantiles);
}

void metrics::count(counter which, std::uint64_t amount)
{
    m_counters.at(static_cast<std::size_t>(which)) += amount;
}

void metrics::count_refusal(reason why, std::uint64_t amount)
{
    m_refusals.at(static_cast<std::size_t>(why)) += amount;
}

void metrics::count_retry(reason why, std::uint64_t amount)
{
    m_retries.at(static_cast<std::size_t>(why)) += amount;
}

void metrics::count_labelled(const std::string& family, const std::string& label, std::uint64_t amount)
{
    m_labelled[family][label] += amount;
}

void metrics::observe(distribution which, double seconds)
{
    m_distributions.at(static_cast<std::size_t>(which))(seconds);
}

void metrics::set_gauge(const std::string& name, double value)
{
    m_gauges[name] = value;
}

std::uint64_t metrics::value(counter which) const
{
    const auto index = static_cast<std::size_t>(which);
    return m_counters.at(index) + process_counts().at(index);
}

std::uint64_t metrics::refusals(reason why) const
{
    return m_refusals.at(static_cast<std::size_t>(why));
}

std::string metrics::to_exposition() const
{
    namespace accumulators = boost::accumulators;
    std::ostringstream out;
    for (std::size_t index = 0; index < counter_count; ++index) {
        out << "# TYPE hawthornpin_" << counter_names.at(index) << "_total counter\n";
        out << "hawthornpin_" << counter_names.at(index) << "_total " << value(static_cast<counter>(index))
            << '\n';
    }
    write_by_reason(out, "refusals", m_refusals);
    write_by_reason(out, "retries", m_retries);
    for (const auto& [family, values] : m_labelled) {
        out << "# TYPE hawthornpin_" << family << "_total counter\n";
        for (const auto& [label, value] : values)
            out << "hawthornpin_" << family << "_total{kind=\"" << label << "\"} " << value << '\n';
    }
    for (const auto& [name, value] : m_gauges) {
        out << "# TYPE hawthornpin_" << name << " gauge\n";
        out << "hawthornpin_" << name << ' ' << value << '\n';
    }
    for (std::size_t index = 0; index < distribution_count; ++index) {
        const auto& values = m_distributions.at(index);
        const std::string name = "hawthornpin_" + std::string(distribution_names.at(index)) + "_seconds";
        out << "# TYPE " << name << " summary\n";
        if (accumulators::count(values) > 0) {
            for (const double quantile : reported_quantiles) {
                const double value =
                    accumulators::quantile(values, accumulators::quantile_probability = quantile);
                out << name << "{quantile=\"" << quantile << "\"} " << value << '\n';
            }
        }
        out << name << "_sum " << accumulators::sum(values) << '\n';
        out << name << "_count " << accumulators::count(values) << '\n';
    }
    return out.str();
}

} // namespace hawthornpin
