// hawthornpin-soak: simulates the platform around real entries and agents on loopback, injects faults, and
// verifies what callers and workers see. See tests/soak/run-soak.

#include "tests/soak/late_reads.h"
#include "tests/soak/slow_callers.h"
#include "tests/soak/soak_callers.h"
#include "tests/soak/soak_configuration.h"
#include "tests/soak/soak_faults.h"
#include "tests/soak/soak_operator.h"

#include <boost/program_options.hpp>

#include <csignal>
#include <iostream>

namespace {

using namespace hawthornpin;
using namespace hawthornpin::soak;

namespace options = boost::program_options;

// Ports on every machine; run-soak writes them into the settings.
constexpr const char* caller_port = ":8161";
constexpr const char* worker_port = ":8165";
constexpr const char* worker_link_port = ":8164";
constexpr const char* report_port = ":8166";
constexpr const char* store_port = ":8169";
constexpr const char* advertised_peer_port = ":7720";
constexpr const char* peer_port = ":7721";

// Time for the programs to start and to discover each other.
constexpr unsigned startup_ms = 2'500;
// Time after the last fault: covers the longest fault and the leases that outlast it.
constexpr unsigned recovery_ms = 6'000;
// Time without faults at the end, with the load still on: some jobs must be completed.
constexpr unsigned fault_free_ms = 2'000;
// Time for the submitted jobs to end.
constexpr unsigned completion_ms = 6'000;
// Added to the seed for the callers with slow bodies.
constexpr std::uint64_t slow_seed_offset = 1'000'000;

struct soak_settings {
    std::string m_network;
    std::string m_directory;
    unsigned m_entries = 0;
    unsigned m_agents = 0;
    std::uint64_t m_seed = 1;
    unsigned m_fault_ms = 0;
    unsigned m_load_ms = 0;
    double m_jobs_per_second = 0;
    double m_slow_bodies_per_second = 0;
    unsigned m_idle_connections = 0;
    std::size_t m_late_read_rounds = 0;
    unsigned m_zones = 0;
    unsigned m_evacuate_ms = 0;
    unsigned m_max_stretch_ms = 0;
};

class soak_run {
public:
    explicit soak_run(const soak_settings& settings)
        : m_settings(settings), m_processes(settings.m_directory),
          m_faults(settings.m_seed, m_nodes, m_store, m_processes, m_verifier),
          m_operator(settings.m_seed, m_store, m_verifier)
    {
        m_verifier.set_evacuation_bounds(milliseconds(settings.m_evacuate_ms),
                                         milliseconds(settings.m_max_stretch_ms));
    }

    bool start(last_reason& why)
    {
        m_store.append("keyed.op", "config", make_configuration());
        if (!m_store.listen(m_settings.m_network + ".0.1" + store_port, why))
            return false;
        std::vector<std::string> entries;
        for (unsigned index = 1; index <= m_settings.m_entries; ++index) {
            if (!add_node("entry-" + std::to_string(index), ".1." + std::to_string(index), why))
                return false;
            entries.push_back(m_nodes.back().m_ip + caller_port);
        }
        for (unsigned index = 1; index <= m_settings.m_agents; ++index) {
            if (!add_node("agent-" + std::to_string(index), ".2." + std::to_string(index), why) ||
                !add_worker(m_nodes.back(), name_zone(index), why))
                return false;
        }
        m_callers = std::make_unique<soak_callers>(entries, m_settings.m_seed, m_settings.m_jobs_per_second,
                                                   m_verifier);
        // A seed of their own, so that a seed draws the same ordinary jobs beside them.
        m_slow_callers = std::make_unique<slow_callers>(entries, m_settings.m_seed + slow_seed_offset,
                                                        m_settings.m_slow_bodies_per_second, m_verifier);
        m_late_reads = std::make_unique<late_reads>(entries, m_settings.m_seed, m_verifier, m_processes);
        return true;
    }

    // Fulfilled at the end of the soak, with whether it passed.
    kj::Promise<bool> run_phases()
    {
        return after_delay(startup_ms)
            .then([this] {
                m_callers->open_idle_connections(m_settings.m_idle_connections);
                m_callers->start();
                m_slow_callers->start();
                if (m_settings.m_fault_ms == 0)
                    return after_delay(m_settings.m_load_ms);
                m_faults.start();
                start_operator();
                return after_delay(m_settings.m_fault_ms);
            })
            .then([this] {
                m_faults.stop();
                m_operator.stop();
                return after_delay(m_settings.m_fault_ms == 0 ? 0 : recovery_ms);
            })
            .then([this] {
                m_completed_at_recovery = m_verifier.completed();
                return after_delay(fault_free_ms);
            })
            .then([this] {
                m_callers->stop();
                m_slow_callers->stop();
                return after_delay(completion_ms);
            })
            .then([this] { return report_result(); });
    }

    kj::Promise<bool> play_late_reads()
    {
        return after_delay(startup_ms)
            .then([this] { return m_late_reads->play_rounds(m_settings.m_late_read_rounds); })
            .then([] { return after_delay(fault_free_ms); })
            .then([this] {
                std::cout << m_late_reads->summary() << '\n';
                const bool is_passed = report_result();
                if (!m_late_reads->is_conclusive())
                    std::cout << "inconclusive: too few requests were read late or completed\n";
                return is_passed && m_late_reads->is_conclusive();
            });
    }

private:
    bool add_node(const std::string& name, const std::string& suffix, last_reason& why)
    {
        soak_node node;
        node.m_name = name;
        node.m_ip = m_settings.m_network + suffix;
        node.m_peers = std::make_unique<fault_proxy>(node.m_ip + peer_port);
        node.m_store = std::make_unique<fault_proxy>(m_settings.m_network + ".0.1" + store_port);
        const bool is_listening = node.m_peers->listen(node.m_ip + advertised_peer_port, why) &&
                                  node.m_store->listen(node.m_ip + store_port, why);
        m_nodes.push_back(std::move(node));
        return is_listening;
    }

    // The zone of the agent with this number; run-soak writes the same into the settings.
    std::string name_zone(unsigned agent) const
    {
        return m_settings.m_zones == 0 ? "z" : "z" + std::to_string((agent - 1) % m_settings.m_zones + 1);
    }

    void start_operator()
    {
        constexpr milliseconds verified_time{1'500};
        if (m_settings.m_zones == 0)
            return;
        std::vector<std::string> zones;
        for (unsigned zone = 1; zone <= m_settings.m_zones; ++zone)
            zones.push_back(name_zone(zone));
        m_operator.start(std::move(zones),
                         milliseconds(m_settings.m_evacuate_ms + m_settings.m_max_stretch_ms) +
                             verified_time);
    }

    bool add_worker(soak_node& node, const std::string& zone, last_reason& why)
    {
        node.m_worker_link = std::make_unique<fault_proxy>(node.m_ip + worker_port);
        node.m_worker = std::make_unique<soak_worker>("worker-of-" + node.m_name, zone,
                                                      node.m_ip + report_port, m_verifier);
        return node.m_worker_link->listen(node.m_ip + worker_link_port, why) &&
               node.m_worker->listen(node.m_ip + worker_port, why);
    }

    bool report_result()
    {
        m_verifier.check_refusals();
        std::cout << m_verifier.summary() << '\n';
        if (!m_verifier.violation().empty()) {
            std::cout << "violated: " << m_verifier.violation() << '\n';
            return false;
        }
        if (m_verifier.completed() == m_completed_at_recovery) {
            std::cout << "violated: RECOVER: no job was completed after the faults\n";
            return false;
        }
        if (m_settings.m_zones > 0 && m_verifier.verified_evacuations() == 0) {
            std::cout << "inconclusive: no evacuation lasted for longer than its bound\n";
            return false;
        }
        std::cout << "verification passed: no guarantee was violated\n";
        return true;
    }

    soak_settings m_settings;
    soak_verifier m_verifier;
    soak_store m_store;
    std::vector<soak_node> m_nodes;
    soak_processes m_processes;
    soak_faults m_faults;
    soak_operator m_operator;
    std::unique_ptr<soak_callers> m_callers;
    std::unique_ptr<slow_callers> m_slow_callers;
    std::unique_ptr<late_reads> m_late_reads;
    std::size_t m_completed_at_recovery = 0;
};

soak_settings read_settings(int argument_count, char** arguments)
{
    soak_settings settings;
    options::options_description description("Options");
    auto add = description.add_options();
    add("network", options::value(&settings.m_network)->default_value("127.20"),
        "first two parts of all addresses");
    add("directory", options::value(&settings.m_directory)->required(), "folder of the process id files");
    add("entries", options::value(&settings.m_entries)->default_value(2), "number of entries");
    add("agents", options::value(&settings.m_agents)->default_value(5), "number of agents");
    add("seed", options::value(&settings.m_seed)->default_value(1), "seed of faults and jobs");
    add("fault-ms", options::value(&settings.m_fault_ms)->default_value(0),
        "how long faults are injected; 0: none");
    add("load-ms", options::value(&settings.m_load_ms)->default_value(5'000),
        "duration of the load without faults");
    add("jobs-per-second", options::value(&settings.m_jobs_per_second)->default_value(15),
        "rate of arrivals");
    add("slow-bodies-per-second", options::value(&settings.m_slow_bodies_per_second)->default_value(2),
        "rate of large bodies that are sent slowly or in small chunks, most of them incomplete; 0: none");
    add("idle-connections", options::value(&settings.m_idle_connections)->default_value(0),
        "further connections of callers to each entry that stay idle");
    add("late-read-rounds", options::value(&settings.m_late_read_rounds)->default_value(0),
        "in place of load and faults: how often an entry is suspended while it has unread requests");
    add("zones", options::value(&settings.m_zones)->default_value(0),
        "zones of the agents, which are evacuated while faults are injected; 0: one that is not");
    add("evacuate-ms", options::value(&settings.m_evacuate_ms)->default_value(0),
        "time from an evacuation until nothing may start in the zone");
    add("max-stretch-ms", options::value(&settings.m_max_stretch_ms)->default_value(0),
        "extension of that time by faults of the store");
    options::variables_map values;
    options::store(options::parse_command_line(argument_count, arguments, description), values);
    options::notify(values);
    return settings;
}

} // namespace

int main(int argument_count, char** arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    try {
        const soak_settings settings = read_settings(argument_count, arguments);
        event_loop loop;
        soak_run run(settings);
        last_reason why;
        if (!run.start(why)) {
            std::cerr << why.text() << '\n';
            return 1;
        }
        auto phases = settings.m_late_read_rounds > 0 ? run.play_late_reads() : run.run_phases();
        return run_until_complete(loop, kj::mv(phases)) ? 0 : 1;
    }
    catch (const options::error& error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
}
