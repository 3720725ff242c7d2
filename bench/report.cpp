// Computes ratios of response times to the references, and their quantiles.

#include "bench/report.h"

#include "bench/central_queue.h"
#include "core/json.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>

#include <iomanip>
#include <map>
#include <sstream>

namespace hawthornpin::bench {

namespace {

// Values of one group of jobs.
struct group_values {
    std::vector<double> m_by_floor;
    std::vector<double> m_by_central;
    std::vector<double> m_response_ms;
};

const char* width_class(std::size_t width)
{
    if (width == 1)
        return "1";
    if (width <= 8)
        return "2-8";
    return width <= 32 ? "9-32" : width <= 128 ? "33-128" : "129-770";
}

void write_quantiles(json_writer& writer, const char* name, const std::vector<double>& values)
{
    const quantiles found = compute_quantiles(values);
    writer.key(name).begin_object().key("p50").decimal(found.m_p50).key("p99").decimal(found.m_p99);
    writer.key("p999").decimal(found.m_p999).end_object();
}

void write_group(json_writer& writer, const std::string& name, const group_values& values)
{
    writer.begin_object().key("group").text(name);
    writer.key("jobs").integer(static_cast<std::int64_t>(values.m_response_ms.size()));
    write_quantiles(writer, "by_floor", values.m_by_floor);
    write_quantiles(writer, "by_central_queue", values.m_by_central);
    write_quantiles(writer, "response_ms", values.m_response_ms);
    writer.end_object();
}

} // namespace

std::optional<std::string> summarize(const std::string& json, const std::string& title)
{
    reason why = reason::none;
    const auto document = json_document::parse(json, why);
    if (!document)
        return std::nullopt;
    const json_object root = document->root();
    std::ostringstream out;
    out << "== " << title << ": ";
    if (const auto outcomes = root.object("outcomes")) {
        for (const std::string& name : outcomes->names())
            out << name << ' ' << outcomes->integer(name.c_str()).value_or(0) << "  ";
    }
    out << "\n| group | jobs | floor p50 | floor p99 | central p50 | central p99 | p50 ms | p99 ms |\n";
    for (const json_object& group : root.objects("groups")) {
        out << "| " << group.text("group").value_or("") << " | " << group.integer("jobs").value_or(0);
        for (const char* ratio : {"by_floor", "by_central_queue", "response_ms"}) {
            const auto values = group.object(ratio);
            for (const char* quantile : {"p50", "p99"})
                out << " | " << std::setprecision(4) << (values ? values->decimal(quantile).value_or(0) : 0);
        }
        out << " |\n";
    }
    return out.str();
}

quantiles compute_quantiles(const std::vector<double>& values)
{
    namespace accumulators = boost::accumulators;
    using right_tail = accumulators::tag::tail_quantile<accumulators::right>;
    if (values.empty())
        return {};
    accumulators::accumulator_set<double, accumulators::stats<right_tail>> tail(
        accumulators::right_tail_cache_size = values.size());
    for (const double value : values)
        tail(value);
    const auto at = [&](double probability) {
        return accumulators::quantile(tail, accumulators::quantile_probability = probability);
    };
    constexpr double p50 = 0.5;
    constexpr double p99 = 0.99;
    constexpr double p999 = 0.999;
    return {at(p50), at(p99), at(p999), values.size()};
}

std::string to_json(const run_data& run)
{
    const auto central = replay_central_queue(run.m_jobs, run.m_slots);
    const auto link_ms = static_cast<double>(run.m_min_link_time.count()) / 1000;
    std::map<std::string, group_values> groups;
    std::map<std::string, int> outcomes;
    int wrong = 0;
    int repeats = 0;
    for (std::size_t job = 0; job < run.m_jobs.size(); ++job) {
        const job_result& result = run.m_results[job];
        repeats += result.m_repeats;
        if (!result.m_is_complete) {
            ++outcomes[result.m_verdict + "/" + result.m_reason];
            continue;
        }
        ++outcomes["complete"];
        wrong += result.m_is_correct ? 0 : 1;
        const auto response = static_cast<double>(result.m_response.count());
        const double response_floor = std::max(
            1.0, static_cast<double>(compute_response_floor(run.m_jobs[job], run.m_slots).count()) + link_ms);
        const double central_queue_response =
            std::max(1.0, static_cast<double>(central[job].count()) + link_ms);
        const std::string team = "team-" + std::to_string(run.m_jobs[job].m_team);
        const std::string width = width_class(run.m_jobs[job].m_run_times.size());
        for (const std::string& name : {std::string("all"), "width " + width, team}) {
            groups[name].m_by_floor.push_back(response / response_floor);
            groups[name].m_by_central.push_back(response / central_queue_response);
            groups[name].m_response_ms.push_back(response);
        }
    }
    json_writer writer;
    writer.begin_object().key("jobs").integer(static_cast<std::int64_t>(run.m_jobs.size()));
    writer.key("wrong_answers").integer(wrong).key("repeats").integer(repeats).key("outcomes").begin_object();
    for (const auto& [name, count] : outcomes)
        writer.key(name.c_str()).integer(count);
    writer.end_object().key("groups").begin_array();
    for (const auto& [name, values] : groups)
        write_group(writer, name, values);
    writer.end_array().end_object();
    return writer.to_string();
}

} // namespace hawthornpin::bench
