// Draws the faults and the nodes that they affect.

#include "tests/soak/soak_faults.h"

#include <array>
#include <csignal>
#include <iostream>

namespace hawthornpin::soak {

namespace {

// Interval between faults; two or three are active at a time.
constexpr unsigned fault_interval_ms = 600;
constexpr unsigned min_fault_ms = 200;
constexpr unsigned max_fault_ms = 2'500;
// Interval between series of suspensions; two series may overlap.
constexpr unsigned series_interval_ms = 1'800;
constexpr std::size_t max_suspensions = 3;
constexpr unsigned max_short_suspension_ms = 1'000;
// Callers that wait for 1.5 s submit a job again during such a suspension.
constexpr unsigned min_long_suspension_ms = 2'600;
constexpr unsigned max_long_suspension_ms = 3'400;
constexpr unsigned max_gap_ms = 300;
// How long a crashed worker is away.
constexpr unsigned min_away_ms = 5;
constexpr unsigned max_away_ms = 1'000;

void print_fault(const std::string& what, unsigned duration_ms)
{
    std::cout << "fault: " << what << " for " << duration_ms << " ms\n";
}

} // namespace

unsigned soak_faults::draw(unsigned count)
{
    return std::uniform_int_distribution<unsigned>(0, count - 1)(m_random);
}

void soak_faults::start()
{
    m_tick = std::make_unique<timer>(fault_interval_ms, [this] {
        inject_fault();
        return true;
    });
    m_series_tick = std::make_unique<timer>(series_interval_ms, [this] {
        inject_suspensions();
        return true;
    });
}

void soak_faults::inject_fault()
{
    const unsigned duration_ms = min_fault_ms + draw(max_fault_ms - min_fault_ms);
    soak_node& node = m_nodes[draw(static_cast<unsigned>(m_nodes.size()))];
    std::cout << node.m_name << ": ";
    switch (draw(8)) {
    case 0:
    case 1:
        return inject_process_fault(node, duration_ms);
    case 2:
    case 3:
        return inject_link_fault(*node.m_peers, duration_ms);
    case 4:
        record_store_fault(duration_ms);
        return inject_link_fault(*node.m_store, duration_ms);
    case 5:
        return inject_store_fault(duration_ms);
    case 6:
        if (node.m_worker_link)
            return inject_link_fault(*node.m_worker_link, duration_ms);
        return inject_link_fault(*node.m_peers, duration_ms);
    default:
        if (node.m_worker)
            return inject_worker_fault(node, duration_ms);
        return inject_process_fault(node, duration_ms);
    }
}

void soak_faults::inject_process_fault(const soak_node& node, unsigned duration_ms)
{
    switch (draw(4)) {
    case 0:
        print_fault("terminated", 0);
        return m_processes.send_signal(node.m_name, SIGTERM);
    case 1:
        print_fault("reloaded", 0);
        return m_processes.send_signal(node.m_name, SIGHUP);
    case 2:
        print_fault("killed", 0);
        return m_processes.send_signal(node.m_name, SIGKILL);
    default:
        print_fault("suspended", duration_ms);
        m_processes.send_signal(node.m_name, SIGSTOP);
        m_tasks.add(after_delay(duration_ms).then([this, name = node.m_name] {
            m_processes.send_signal(name, SIGCONT);
        }));
    }
}

void soak_faults::inject_suspensions()
{
    for (const bool is_entry : {true, false}) {
        std::vector<std::string> nodes;
        for (const soak_node& node : m_nodes) {
            if (is_entry == !node.m_worker)
                nodes.push_back(node.m_name);
        }
        m_tasks.add(suspend_repeatedly(nodes[random_below(m_series_random, nodes.size())],
                                       1 + random_below(m_series_random, max_suspensions)));
    }
}

kj::Promise<void> soak_faults::suspend_repeatedly(std::string name, std::size_t count)
{
    const bool is_over = !m_series_tick;
    if (count == 0 || is_over)
        return kj::READY_NOW;
    const bool is_long = random_below(m_series_random, 2) == 0;
    const auto duration_ms = static_cast<unsigned>(
        is_long ? min_long_suspension_ms +
                      random_below(m_series_random, max_long_suspension_ms - min_long_suspension_ms)
                : 1 + random_below(m_series_random, max_short_suspension_ms));
    const auto gap_ms = static_cast<unsigned>(random_below(m_series_random, max_gap_ms));
    std::cout << name << ": ";
    print_fault("suspended in a series", duration_ms);
    m_processes.send_signal(name, SIGSTOP);
    return after_delay(duration_ms)
        .then([this, name, gap_ms] {
            m_processes.send_signal(name, SIGCONT);
            return after_delay(gap_ms);
        })
        .then([this, name, count] { return suspend_repeatedly(name, count - 1); });
}

void soak_faults::inject_link_fault(fault_proxy& link, unsigned duration_ms)
{
    constexpr std::array<std::pair<link_mode, const char*>, 4> modes = {{
        {link_mode::delayed, "link delayed"},
        {link_mode::cut_inbound, "link cut inbound"},
        {link_mode::cut_outbound, "link cut outbound"},
        {link_mode::cut, "link cut"},
    }};
    const unsigned drawn = draw(6);
    if (drawn == 4) {
        print_fault("connections reset", 0);
        return link.reset();
    }
    if (drawn == 5) {
        print_fault("open connections blocked", 0);
        return link.block_open_connections();
    }
    print_fault(modes.at(drawn).second, duration_ms);
    link.set_mode(modes.at(drawn).first);
    m_tasks.add(after_delay(duration_ms).then([&link] {
        link.set_mode(link_mode::open);
        // Bytes that a cut held up are lost: their senders count as having reset the connections.
        link.reset();
    }));
}

void soak_faults::record_store_fault(unsigned duration_ms)
{
    // A call that was not answered is given up, and repeated, within this time after the fault.
    constexpr milliseconds call_timeout{2'000};
    m_verifier.record_store_fault(boot_now() + milliseconds(duration_ms) + call_timeout);
}

void soak_faults::inject_store_fault(unsigned duration_ms)
{
    constexpr std::array<store_mode, 3> modes = {store_mode::refusing, store_mode::unresponsive,
                                                 store_mode::losing_answers};
    print_fault("store failing", duration_ms);
    record_store_fault(duration_ms);
    m_store.set_mode(modes.at(draw(3)));
    m_tasks.add(after_delay(duration_ms).then([this] { m_store.set_mode(store_mode::up); }));
}

void soak_faults::restart_worker(const soak_node& node)
{
    const unsigned away_ms = min_away_ms + draw(max_away_ms - min_away_ms);
    resources capacity = model::model_worker::default_capacity;
    if (draw(2) == 0)
        capacity.m_cpu_milli /= 2;
    const bool is_agent_suspended = draw(2) == 0;
    print_fault(std::string(is_agent_suspended ? "agent suspended, " : "") + "worker away, then back with " +
                    std::to_string(capacity.m_cpu_milli),
                away_ms);
    if (is_agent_suspended) {
        m_processes.send_signal(node.m_name, SIGSTOP);
        m_tasks.add(after_delay(away_ms + min_away_ms).then([this, name = node.m_name] {
            m_processes.send_signal(name, SIGCONT);
        }));
    }
    node.m_worker->restart(away_ms, capacity);
}

void soak_faults::inject_worker_fault(const soak_node& node, unsigned duration_ms)
{
    soak_worker& worker = *node.m_worker;
    switch (draw(6)) {
    case 0:
        return restart_worker(node);
    case 1:
        print_fault("worker leaves", 0);
        return worker.leave(false);
    case 2:
        print_fault("worker leaves, acknowledgement lost", 0);
        return worker.leave(true);
    case 3:
        // A refusal alone proves that nothing began; together they don't.
        print_fault("worker answers lost and starts refused", duration_ms);
        worker.set_losing_answers(true);
        worker.set_refusing_starts(true);
        m_tasks.add(after_delay(duration_ms).then([&worker] {
            worker.set_losing_answers(false);
            worker.set_refusing_starts(false);
        }));
        return;
    case 4:
        print_fault("worker answers lost", duration_ms);
        worker.set_losing_answers(true);
        m_tasks.add(after_delay(duration_ms).then([&worker] { worker.set_losing_answers(false); }));
        return;
    default:
        print_fault("starts carried out late by the worker", duration_ms);
        worker.set_delaying_starts(true);
        m_tasks.add(after_delay(duration_ms).then([&worker] { worker.set_delaying_starts(false); }));
    }
}

} // namespace hawthornpin::soak
