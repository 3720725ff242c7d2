// Calculates the tables of docs/CAPACITY.md.

#include "bench/capacity.h"

#include "core/settings.h"

#include <glib.h>

#include <cstdio>
#include <memory>
#include <vector>

namespace hawthornpin::bench {

namespace {

// Target size and limits, from the users' requirements.
constexpr double workers = 14'000;
constexpr double starts_per_s = 1'200'000;
constexpr double regions = 10;
constexpr double changes_per_day = 18'000;
constexpr double replacements_per_day = 190 + 1'900;
constexpr double seconds_per_day = 86'400;
constexpr double bound_cores = 0.023;
constexpr double bound_bytes_per_s = 3'000;
constexpr double bound_memory = 128.0 * 1024 * 1024;
constexpr double bound_connections = 64;
constexpr double bound_appends_per_s = 300;
// Assumptions stated in docs/CAPACITY.md.
constexpr double tasks_per_job = 10;
constexpr double entry_utilization = 0.5;
constexpr double fanout = 2;
constexpr double peers_per_agent = 16;
constexpr double record_retention_s = 120 + 30 + 60;
constexpr double config_file_bytes = 300;
constexpr double polls_per_s = 1;
constexpr double records_per_checkpoint = 200;
constexpr double heartbeat_bytes = 56;
constexpr double announcement_bytes = 200;
constexpr double microseconds_per_second = 1e6;

using key_file = std::unique_ptr<GKeyFile, decltype(&g_key_file_unref)>;

// One measured value; NaN when it is missing, which shows in the table.
double read_slope(GKeyFile* file, const char* section, const char* key)
{
    GError* error = nullptr;
    const double value = g_key_file_get_double(file, section, key, &error);
    if (error == nullptr)
        return value;
    g_error_free(error);
    return std::numeric_limits<double>::quiet_NaN();
}

// The increase per added agent between the measurements with 4 and with 11 agents.
double slope_per_agent(GKeyFile* file, const char* key)
{
    constexpr double added_agents = 11 - 4;
    return (read_slope(file, "idle-11-agents", key) - read_slope(file, "idle-4-agents", key)) / added_agents;
}

class table {
public:
    explicit table(const std::string& title)
        : m_text("\n" + title + "\n\n| what | amount | bound | within |\n| --- | --- | --- | --- |\n")
    {
    }

    void add(const std::string& what, double amount, const char* unit, double bound = 0)
    {
        char line[256];
        if (bound > 0) {
            std::snprintf(line, sizeof(line), "| %s | %.4g %s | %.4g %s | %s |\n", what.c_str(), amount, unit,
                          bound, unit, amount <= bound ? "yes" : "NO");
        }
        else {
            std::snprintf(line, sizeof(line), "| %s | %.4g %s | | |\n", what.c_str(), amount, unit);
        }
        m_text += line;
    }

    const std::string& text() const { return m_text; }

private:
    std::string m_text;
};

} // namespace

std::optional<std::string> make_capacity_tables(const std::string& slopes_path, last_reason& why)
{
    const auto content = read_file(slopes_path, why);
    if (!content)
        return std::nullopt;
    const key_file owner(g_key_file_new(), g_key_file_unref);
    GKeyFile* file = owner.get();
    if (g_key_file_load_from_data(file, content->c_str(), content->size(), G_KEY_FILE_NONE, nullptr) ==
        FALSE) {
        why.set(slopes_path + " is not a valid key file");
        return std::nullopt;
    }
    const double starts_per_worker = starts_per_s / workers;
    const double jobs_per_s = starts_per_s / tasks_per_job;
    const double job_cpu_us = read_slope(file, "load-noop", "entry_cpu_us_per_task");
    const double task_cpu_us = read_slope(file, "load-noop-wide", "entry_cpu_us_per_task");
    const double entry_cores =
        (jobs_per_s * job_cpu_us + starts_per_s * task_cpu_us) / microseconds_per_second;
    const double entries = entry_cores / entry_utilization;
    const double entries_per_region = entries / regions;
    const double agents_per_region = workers / regions;
    const double announcers = agents_per_region * fanout / entries_per_region;

    table agent("**Agent** (one beside each of 14,000 targets)");
    agent.add("task starts", starts_per_worker, "/s");
    agent.add("processor, control", read_slope(file, "idle-11-agents", "agent_cpu_cores"), "cores",
              bound_cores);
    agent.add("processor, with its share of the peak, jobs of 100 tasks",
              read_slope(file, "idle-11-agents", "agent_cpu_cores") +
                  starts_per_worker * read_slope(file, "load-noop-wide", "agent_cpu_us_per_task") /
                      microseconds_per_second,
              "cores");
    const double bytes_in = read_slope(file, "idle-11-agents", "agent_bytes_in_per_s") +
                            (peers_per_agent - 11) * slope_per_agent(file, "agent_bytes_in_per_s");
    const double bytes_out = read_slope(file, "idle-11-agents", "agent_bytes_out_per_s");
    const double config_bytes = changes_per_day / seconds_per_day * config_file_bytes * fanout;
    agent.add("control traffic in and out, 16 peers", bytes_in + bytes_out, "B/s");
    agent.add("configuration", config_bytes, "B/s");
    agent.add("control traffic, total", bytes_in + bytes_out + config_bytes, "B/s", bound_bytes_per_s);
    const double records = starts_per_worker * record_retention_s;
    agent.add("ledger and grant records", records, "");
    agent.add("memory",
              read_slope(file, "idle-11-agents", "agent_resident_bytes") +
                  records * read_slope(file, "load-noop", "agent_resident_bytes_per_record"),
              "B", bound_memory);
    agent.add("connections: target 10, entries in and out, peers in and out",
              10 + entries_per_region + fanout + 2 * peers_per_agent, "", bound_connections);

    table entry("**Entry** (jobs of 10 tasks on average, each entry half busy)");
    entry.add("entries in all", entries, "");
    entry.add("entries in a region", entries_per_region, "");
    entry.add("jobs", jobs_per_s / entries, "/s each");
    entry.add("agents that announce to it", announcers, "");
    entry.add("processor, control", announcers / fanout * slope_per_agent(file, "entry_cpu_cores"), "cores",
              bound_cores);
    const double exchange = announcers * heartbeat_bytes * (entries_per_region - 1);
    entry.add("announcements in", announcers * slope_per_agent(file, "entry_bytes_in_per_s"), "B/s");
    entry.add("replies to announcements", announcers * slope_per_agent(file, "entry_bytes_out_per_s"), "B/s");
    entry.add("exchange with the region's entries, out and in", 2 * exchange, "B/s");
    entry.add("control traffic, total",
              announcers * (slope_per_agent(file, "entry_bytes_in_per_s") +
                            slope_per_agent(file, "entry_bytes_out_per_s")) +
                  2 * exchange,
              "B/s", bound_bytes_per_s);
    const double member_bytes = (read_slope(file, "idle-11-agents", "entry_resident_bytes") -
                                 read_slope(file, "idle-4-agents", "entry_resident_bytes")) /
                                7;
    entry.add("memory, with its region's members",
              read_slope(file, "idle-11-agents", "entry_resident_bytes") + agents_per_region * member_bytes,
              "B", bound_memory);

    table log("**Log service**");
    log.add("appends: changes", changes_per_day / seconds_per_day, "/s");
    log.add("appends: changes and checkpoints",
            changes_per_day / seconds_per_day * (1 + 1 / records_per_checkpoint), "/s", bound_appends_per_s);
    log.add("long polls", entries * polls_per_s, "/s");
    log.add("task starts on the log", 0, "/s");

    table events("**Events**");
    events.add("replaced or failed instances, one every", seconds_per_day / replacements_per_day, "s");
    events.add("loss of a zone: agents that announce anew", agents_per_region / 3, "");
    events.add("their announcements, to each entry of the region", agents_per_region / 3 * announcement_bytes,
               "B");
    return agent.text() + entry.text() + log.text() + events.text();
}

} // namespace hawthornpin::bench
