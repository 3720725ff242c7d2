// Injects the faults of a soak test: drawn from a seed, a few at a time, each undone after a random duration.

#pragma once

#include "core/event_loop.h"
#include "core/random.h"
#include "tests/soak/fault_proxy.h"
#include "tests/soak/soak_processes.h"
#include "tests/soak/soak_store.h"
#include "tests/soak/soak_worker.h"

#include <memory>
#include <string>
#include <vector>

namespace hawthornpin::soak {

// A machine of the soak test: its address and the proxies on its links.
struct soak_node {
    std::string m_name;
    std::string m_ip;
    std::unique_ptr<fault_proxy> m_peers;
    std::unique_ptr<fault_proxy> m_store;
    // Set for agents only.
    std::unique_ptr<fault_proxy> m_worker_link;
    std::unique_ptr<soak_worker> m_worker;
};

class soak_faults {
public:
    soak_faults(std::uint64_t seed, std::vector<soak_node>& nodes, soak_store& store,
                const soak_processes& processes, soak_verifier& verifier)
        : m_random(seed), m_series_random(~seed), m_nodes(nodes), m_store(store), m_processes(processes),
          m_verifier(verifier)
    {
    }

    // Injects a fault at regular intervals until stop(). Faults that last longer still end by themselves.
    void start();
    void stop()
    {
        m_tick.reset();
        m_series_tick.reset();
    }

private:
    void inject_fault();
    void inject_process_fault(const soak_node& node, unsigned duration_ms);
    // Suspends an entry and an agent several times, so that requests wait unread in its sockets.
    void inject_suspensions();
    kj::Promise<void> suspend_repeatedly(std::string name, std::size_t count);
    void inject_link_fault(fault_proxy& link, unsigned duration_ms);
    // Tells the verifier that some machines get no answers from the store for this long.
    void record_store_fault(unsigned duration_ms);
    void inject_store_fault(unsigned duration_ms);
    void inject_worker_fault(const soak_node& node, unsigned duration_ms);
    // Crashes the worker, which is back soon, with all or half of its capacity. Its agent may be suspended
    // until then, and learns nothing of it meanwhile.
    void restart_worker(const soak_node& node);
    // Draws a number below `count`.
    unsigned draw(unsigned count);

    random_source m_random;
    random_source m_series_random;
    std::vector<soak_node>& m_nodes;
    soak_store& m_store;
    const soak_processes& m_processes;
    soak_verifier& m_verifier;
    background_tasks m_tasks;
    std::unique_ptr<timer> m_tick;
    std::unique_ptr<timer> m_series_tick;
};

} // namespace hawthornpin::soak
