// The deployment cimwch-tickets on loopback: 4 entries in 4 zones and 11 agents with their workers. The
// project's programs are processes of their own, started with the commands of the deploy file; the store and
// the workers are stand-ins.

#pragma once

#include "relay.hh"
#include "store.hh"
#include "worker.hh"

#include <sys/types.h>

namespace review {

// One of the project's programs. It is not started again when it ends.
class program {
public:
    program(std::string name, std::string command, std::string settings_path, std::string log_path);
    ~program();
    program(const program&) = delete;
    program& operator=(const program&) = delete;

    bool start();
    void signal(int number);
    // Ends it with SIGKILL and waits for its end.
    void kill();
    // Whether it ended by itself; waits for this long.
    bool has_ended(long long within_ms);

private:
    std::string m_name;
    std::string m_command;
    std::string m_settings_path;
    std::string m_log_path;
    pid_t m_id = -1;
};

// A route of the configuration.
struct route {
    std::string m_name;
    std::string m_prefix;
};

class deployment {
public:
    // Reads the commands from deploy/system.toml in the working directory, chooses free ports and makes a
    // temporary folder, which is removed at the end.
    explicit deployment(record& to);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    // Starts everything with this configuration and waits until all entries are ready and know the workers;
    // false if that takes too long.
    bool start(const std::vector<route>& routes);
    // Writes a configuration into the store; returns when that is acknowledged.
    void configure(long long version, const std::vector<route>& routes);

    // Submits a job to an entry and waits for the answer.
    http_message submit(int entry, const std::string& path, const std::string& body, long long deadline_ms);
    http_message cancel(int entry, const std::string& path);

    std::string caller_address(int entry) const { return entry_ip(entry) + port(0); }
    // Two of three workers are of kind a with 16 cores, the third is of kind b with 24 cores.
    worker_settings settings_of_worker(int index) const;
    worker& find_worker(const std::string& id);

    // If set before start(), a relay passes the calls of other processes on to each agent. The agents then
    // get the option --peer-listen-port beside the command of the deploy file.
    bool m_has_relays = false;
    std::vector<std::unique_ptr<relay>> m_relays;

    static constexpr int entry_count = 4;
    static constexpr int agent_count = 11;
    static constexpr const char* host = "orders.example";

    record& m_record;
    observer m_seen;
    std::unique_ptr<store> m_store;
    std::vector<std::unique_ptr<program>> m_entries;
    std::vector<std::unique_ptr<program>> m_agents;
    std::vector<std::unique_ptr<worker>> m_workers;

private:
    std::string ip(int group, int index) const;
    std::string entry_ip(int index) const { return ip(1, index + 1); }
    std::string agent_ip(int index) const { return ip(2, index + 1); }
    std::string port(int offset) const { return ":" + std::to_string(m_first_port + offset); }
    bool choose_addresses();
    void write_settings(const std::string& name, const std::string& own_ip, int zone, bool is_entry);

    int m_network = 0;
    int m_first_port = 0;
    std::string m_folder;
};

// A job with one step, as the body of its submission.
std::string make_job(const std::string& spec, int count, long long cpu, long long estimate_ms,
                     const std::string& more = "");

// Keeps all of the record, and prints the outcome: 0 held, 1 broken, 2 could not run.
int conclude(record& to, int outcome, const std::string& text);

} // namespace review
