// Which fault strikes where.

#include "tests/soak/soak_faults.h"

#include <array>
#include <csignal>
#include <iostream>

namespace hawthornpin::soak {

namespace {

// Two or three faults are under way at a time.
constexpr unsigned strike_pause_ms = 600;
constexpr unsigned shortest_ms = 200;
constexpr unsigned longest_ms = 2'500;

void say(const std::string& what, unsigned lasting_ms)
{
    std::cout << "fault: " << what << " for " << lasting_ms << " ms\n";
}

} // namespace

unsigned soak_faults::draw(unsigned count)
{
    return std::uniform_int_distribution<unsigned>(0, count - 1)(m_random);
}

void soak_faults::start()
{
    m_tick = std::make_unique<timer>(strike_pause_ms, [this] {
        strike();
        return true;
    });
}

void soak_faults::strike()
{
    const unsigned lasting_ms = shortest_ms + draw(longest_ms - shortest_ms);
    soak_node& node = m_nodes[draw(static_cast<unsigned>(m_nodes.size()))];
    std::cout << node.m_name << ": ";
    switch (draw(8)) {
    case 0:
    case 1:
        return strike_process(node, lasting_ms);
    case 2:
    case 3:
        return strike_link(*node.m_peers, lasting_ms);
    case 4:
        return strike_link(*node.m_store, lasting_ms);
    case 5:
        return strike_store(lasting_ms);
    case 6:
        if (node.m_worker_link)
            return strike_link(*node.m_worker_link, lasting_ms);
        return strike_link(*node.m_peers, lasting_ms);
    default:
        if (node.m_worker)
            return strike_worker(*node.m_worker, lasting_ms);
        return strike_process(node, lasting_ms);
    }
}

void soak_faults::strike_process(const soak_node& node, unsigned lasting_ms)
{
    switch (draw(4)) {
    case 0:
        say("terminated", 0);
        return m_processes.send_signal(node.m_name, SIGTERM);
    case 1:
        say("reload", 0);
        return m_processes.send_signal(node.m_name, SIGHUP);
    case 2:
        say("killed", 0);
        return m_processes.send_signal(node.m_name, SIGKILL);
    default:
        say("suspended", lasting_ms);
        m_processes.send_signal(node.m_name, SIGSTOP);
        m_tasks.add(after_delay(lasting_ms).then([this, name = node.m_name] {
            m_processes.send_signal(name, SIGCONT);
        }));
    }
}

void soak_faults::strike_link(fault_proxy& link, unsigned lasting_ms)
{
    constexpr std::array<std::pair<link_mode, const char*>, 4> modes = {{
        {link_mode::delayed, "link delayed"},
        {link_mode::cut_inbound, "link cut inbound"},
        {link_mode::cut_outbound, "link cut outbound"},
        {link_mode::cut, "link cut"},
    }};
    const unsigned drawn = draw(6);
    if (drawn == 4) {
        say("connections reset", 0);
        return link.reset();
    }
    if (drawn == 5) {
        say("connections silenced", 0);
        return link.silence();
    }
    say(modes.at(drawn).second, lasting_ms);
    link.set_mode(modes.at(drawn).first);
    m_tasks.add(after_delay(lasting_ms).then([&link] {
        link.set_mode(link_mode::open);
        // What a cut held up is lost: its senders have reset their connections.
        link.reset();
    }));
}

void soak_faults::strike_store(unsigned lasting_ms)
{
    constexpr std::array<store_mode, 3> modes = {store_mode::refusing, store_mode::silent,
                                                 store_mode::losing_answers};
    say("store fails", lasting_ms);
    m_store.set_mode(modes.at(draw(3)));
    m_tasks.add(after_delay(lasting_ms).then([this] { m_store.set_mode(store_mode::up); }));
}

void soak_faults::strike_worker(soak_worker& worker, unsigned lasting_ms)
{
    switch (draw(3)) {
    case 0:
        say("worker restarts", 0);
        return worker.restart();
    case 1:
        say("worker loses answers", lasting_ms);
        worker.set_losing_answers(true);
        m_tasks.add(after_delay(lasting_ms).then([&worker] { worker.set_losing_answers(false); }));
        return;
    default:
        say("worker carries orders out late", lasting_ms);
        worker.set_late(true);
        m_tasks.add(after_delay(lasting_ms).then([&worker] { worker.set_late(false); }));
    }
}

} // namespace hawthornpin::soak
