#include "deployment.hh"

#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <sstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

enum port_offset { callers, readiness, control, worker_calls, store_calls, first_peer_port };
constexpr int ports_of_a_machine = first_peer_port + 16;

constexpr const char* zones[] = {"teifi", "aeron", "ystwyth", "rheidol"};

// The `run` command of a role in the deploy file.
std::string read_command(const std::string& role)
{
    std::ifstream file("deploy/system.toml");
    std::string line;
    bool is_in_role = false;
    while (std::getline(file, line)) {
        if (line.starts_with("["))
            is_in_role = line == "[roles." + role + "]";
        if (is_in_role && line.starts_with("run = "))
            return line.substr(line.find('"') + 1, line.rfind('"') - line.find('"') - 1);
    }
    return "";
}

bool is_free(const std::string& ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const bool result = ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
    ::close(descriptor);
    return result;
}

} // namespace

program::program(std::string name, std::string command, std::string settings_path, std::string log_path)
    : m_name(std::move(name)), m_command(std::move(command)), m_settings_path(std::move(settings_path)),
      m_log_path(std::move(log_path))
{
}

program::~program()
{
    kill();
}

bool program::start()
{
    std::vector<std::string> words;
    std::istringstream text(m_command);
    for (std::string word; text >> word;)
        words.push_back(word);
    std::vector<char*> arguments;
    for (std::string& word : words)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    std::vector<std::string> variables = {"HAWTHORNPIN_BOOT=" + m_settings_path, "GSETTINGS_BACKEND=memory"};
    for (const char* name : {"PATH", "HOME", "LANG"}) {
        if (const char* value = std::getenv(name))
            variables.push_back(std::string(name) + "=" + value);
    }
    std::vector<char*> environment;
    for (std::string& variable : variables)
        environment.push_back(variable.data());
    environment.push_back(nullptr);
    m_id = ::fork();
    if (m_id != 0)
        return m_id > 0;
    // It ends with this process.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = ::open(m_log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    ::execve(arguments.front(), arguments.data(), environment.data());
    ::_exit(127);
}

void program::signal(int number)
{
    if (m_id > 0)
        ::kill(m_id, number);
}

void program::kill()
{
    if (m_id <= 0)
        return;
    ::kill(m_id, SIGKILL);
    ::waitpid(m_id, nullptr, 0);
    m_id = -1;
}

bool program::has_ended(long long within_ms)
{
    const long long until = now_ms() + within_ms;
    do {
        if (m_id <= 0 || ::waitpid(m_id, nullptr, WNOHANG) == m_id) {
            m_id = -1;
            return true;
        }
        sleep_ms(10);
    } while (now_ms() < until);
    return false;
}

deployment::deployment(record& to) : m_record(to), m_seen(to)
{
    char folder[] = "/tmp/review-XXXXXX";
    if (const char* made = ::mkdtemp(folder))
        m_folder = made;
}

deployment::~deployment()
{
    m_entries.clear();
    m_agents.clear();
    m_relays.clear();
    m_workers.clear();
    m_store.reset();
    const char* logs = std::getenv("KEEP_LOGS");
    std::error_code ignored;
    if (logs == nullptr && !m_folder.empty())
        std::filesystem::remove_all(m_folder, ignored);
    else
        std::cout << "logs: " << m_folder << '\n';
}

std::string deployment::ip(int group, int index) const
{
    return "127." + std::to_string(m_network) + "." + std::to_string(group) + "." + std::to_string(index);
}

bool deployment::choose_addresses()
{
    std::srand(static_cast<unsigned>(::getpid()));
    for (int attempt = 0; attempt < 50; ++attempt) {
        m_network = 16 + std::rand() % 200;
        m_first_port = 12000 + std::rand() % 15000;
        std::vector<std::string> machines = {ip(0, 1)};
        for (int index = 0; index < entry_count; ++index)
            machines.push_back(entry_ip(index));
        for (int index = 0; index < agent_count; ++index)
            machines.push_back(agent_ip(index));
        bool are_free = true;
        for (const std::string& machine : machines) {
            for (int offset = 0; offset < ports_of_a_machine; ++offset)
                are_free = are_free && is_free(machine, m_first_port + offset);
        }
        if (are_free)
            return true;
    }
    return false;
}

void deployment::write_settings(const std::string& name, const std::string& own_ip, int zone, bool is_entry)
{
    std::ofstream file(m_folder + "/" + name + ".toml");
    file << "node = \"" << name << "\"\nrole = \"" << (is_entry ? "entry" : "agent")
         << "\"\nmachine_class = \"" << (is_entry ? "frontend" : "side")
         << "\"\nserves = " << (is_entry ? R"(["frontend","control_plane"])" : R"(["side"])") << "\nip = \""
         << own_ip << "\"\nzone = \"" << zones[zone] << "\"\nregion = \"cymru-west\"\nport_range = ["
         << m_first_port + first_peer_port << "," << m_first_port + first_peer_port + 15 << "]\nseeds = [";
    for (int index = 0; index < std::min(entry_count, 3); ++index)
        file << (index == 0 ? "" : ",") << '"' << entry_ip(index) << port(control) << '"';
    file << "]\nbootstrap = true\ncounts_as_loss = false\ndiscovery = \"local\"\nentry = \"vip\"\n"
            "heartbeat_ms = 1500\norders = \"call\"\n";
    if (!is_entry)
        file << "app = \"" << own_ip << port(worker_calls) << "\"\nservice = \"svc\"\n";
    file << "[zones]\n";
    for (const char* name_of_zone : zones)
        file << name_of_zone << " = \"cymru-west\"\n";
    file << "[listen_addrs]\n";
    if (is_entry)
        file << "front = \"" << own_ip << port(callers) << "\"\nready = \"" << own_ip << port(readiness)
             << "\"\n";
    file << "control = \"" << own_ip << port(control)
         << "\"\n"
            "[limits]\ncpu_share = "
         << (is_entry ? "0.25" : "0.15") << "\ncores = 1\nmemory_mb = " << (is_entry ? 260 : 128)
         << "\nmax_fds = 4100\nlink_mbps = 1000.0\n"
            "[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\ncatch_up_s = 4\n"
            "drain_ms = 2000\ngrace_s = 6\nslack_ms = 200\nconfig_apply_ms = 2000\nrollback_slack_ms = 250\n"
            "max_stretch_ms = 5000\nrecovery_s = 12\nmax_hold_ms = 1000\nstop_ms = 50\ncancel_ms = 3000\n"
            "visible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\nlease_ms = 3000\n"
            "retransmit_ms = 1300\n"
            "[platform]\naddress = \""
         << ip(0, 1) << port(store_calls)
         << "\"\nform = \"log\"\nwrites_per_s = 800\nreads_per_s = 2000\nparts = 8\nappend_ms = 4.0\n";
}

worker_settings deployment::settings_of_worker(int index) const
{
    worker_settings settings;
    settings.m_id = "w-" + std::to_string(index);
    settings.m_address = agent_ip(index) + port(worker_calls);
    settings.m_report_address = agent_ip(index) + port(control);
    const bool is_large = index % 3 == 2;
    settings.m_cpu = is_large ? 24'000 : 16'000;
    settings.m_labels = {is_large ? "b" : "a", "r" + std::to_string(index / 3)};
    settings.m_zone = zones[index % entry_count];
    return settings;
}

worker& deployment::find_worker(const std::string& id)
{
    return *m_workers.at(static_cast<std::size_t>(std::atoi(id.substr(id.find('-') + 1).c_str())));
}

bool deployment::start(const std::vector<route>& routes)
{
    const std::string entry_command = read_command("entry");
    const std::string agent_command = read_command("agent");
    if (m_folder.empty() || entry_command.empty() || agent_command.empty() || !choose_addresses()) {
        m_record.write("no folder, no commands in the deploy file, or no free ports");
        return false;
    }
    m_store = std::make_unique<store>(ip(0, 1) + port(store_calls));
    configure(1, routes);
    if (!m_store->start())
        return false;
    const auto start_program = [this](const std::string& name, const std::string& command) {
        auto started = std::make_unique<program>(name, command, m_folder + "/" + name + ".toml",
                                                 m_folder + "/" + name + ".log");
        started->start();
        return started;
    };
    for (int index = 0; index < entry_count; ++index) {
        const std::string name = "entry-" + std::to_string(index);
        write_settings(name, entry_ip(index), index, true);
        m_entries.push_back(start_program(name, entry_command));
    }
    for (int index = 0; index < agent_count; ++index) {
        const std::string name = "agent-" + std::to_string(index);
        write_settings(name, agent_ip(index), index % entry_count, false);
        std::string command = agent_command;
        if (m_has_relays) {
            command += " --peer-listen-port " + std::to_string(m_first_port + first_peer_port + 1);
            m_relays.push_back(std::make_unique<relay>(agent_ip(index) + port(first_peer_port),
                                                       agent_ip(index) + port(first_peer_port + 1)));
            if (!m_relays.back()->start())
                return false;
        }
        m_agents.push_back(start_program(name, command));
        m_workers.push_back(std::make_unique<worker>(settings_of_worker(index), m_seen));
        if (!m_workers.back()->start())
            return false;
    }
    // Traffic starts 10 s after the machines do; a small deployment here is ready earlier.
    constexpr long long start_within_ms = 20'000;
    for (int index = 0; index < entry_count; ++index) {
        const long long until = now_ms() + start_within_ms;
        while (call(entry_ip(index) + port(readiness), "GET", "/hawthornpin/ready", {{"Host", "x"}}, "", 500)
                   .m_status != 200) {
            if (now_ms() > until) {
                m_record.write("entry " + std::to_string(index) + " is not ready");
                return false;
            }
            sleep_ms(100);
        }
    }
    // All agents are known a few seconds later.
    sleep_ms(4'000);
    m_record.write("all programs are up");
    return true;
}

void deployment::configure(long long version, const std::vector<route>& routes)
{
    std::string list;
    std::string names;
    for (const route& item : routes) {
        list += std::string(list.empty() ? "" : ",") + "{\"name\":" + quote(item.m_name) +
                ",\"host\":" + quote(host) + ",\"path_prefix\":" + quote(item.m_prefix) +
                ",\"service\":\"svc\",\"priority\":0,\"max_attempts\":3,\"stretch\":1.6,\"target_latency_"
                "ms\":60}";
        names += " " + item.m_prefix;
    }
    m_store->append("keyed.op", "config",
                    "{\"version\":" + std::to_string(version) + ",\"routes\":[" + list +
                        "],\"services\":[{\"name\":\"svc\",\"enforces_capacity\":false}],\"limits\":{}}");
    m_record.write("configuration " + std::to_string(version) + " is acknowledged, routes" + names);
}

http_message deployment::submit(int entry, const std::string& path, const std::string& body,
                                long long deadline_ms)
{
    const std::string caller = "POST " + path + " at entry-" + std::to_string(entry);
    m_record.write(caller + " is sent, Deadline-Ms " + std::to_string(deadline_ms));
    const auto answer =
        call(caller_address(entry), "POST", path,
             {{"Host", host}, {"Deadline-Ms", std::to_string(deadline_ms)}}, body, deadline_ms);
    m_record.write(caller + " is answered " + std::to_string(answer.m_status) + " " + answer.m_body);
    return answer;
}

http_message deployment::cancel(int entry, const std::string& path)
{
    const std::string caller = "DELETE " + path + " at entry-" + std::to_string(entry);
    m_record.write(caller + " is sent");
    const auto answer =
        call(caller_address(entry), "DELETE", path, {{"Host", host}, {"Deadline-Ms", "1500"}}, "", 1500);
    m_record.write(caller + " is answered " + std::to_string(answer.m_status) + " " + answer.m_body);
    return answer;
}

std::string make_job(const std::string& spec, int count, long long cpu, long long estimate_ms,
                     const std::string& more)
{
    return "{\"spec\":" + quote(spec) +
           ",\"best_effort\":true,\"phases\":[{\"count\":" + std::to_string(count) +
           ",\"cpu\":" + std::to_string(cpu) +
           ",\"mem_mb\":64,\"estimate_ms\":" + std::to_string(estimate_ms) + more + "}]}";
}

int conclude(record& to, int outcome, const std::string& text)
{
    const char* const names[] = {"held: ", "BROKEN: ", "could not run: "};
    to.write(names[outcome] + text);
    std::cout << names[outcome] << text << std::endl;
    return outcome;
}

} // namespace review
