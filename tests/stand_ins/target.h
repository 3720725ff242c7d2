// Stand-in for a target: runs each task for the time given in its payload, and counts every start.

#pragma once

#include "core/instant.h"
#include "http/api_server.h"

#include <map>
#include <unordered_map>

namespace hawthornpin::stand_ins {

// Payloads: {"run_ms":N,"echo":"text","fail":true,"drop":true,"refuse":true}; all members are optional.
// POST /control {"fail_all":bool,"slow_factor":N,"leaving":bool,"throttled":bool} switches faults.
// GET /starts returns how often each grant was started.
class target {
public:
    explicit target(int slots) : m_slots(slots) {}

    kj::Promise<api_response> handle(const api_request& request);

private:
    struct running_task {
        kj::Own<kj::PromiseFulfiller<unsigned>> m_stop;
        instant m_lease_until;
    };

    kj::Promise<api_response> start(const std::string& grant, const api_request& request);
    api_response finish(const std::string& grant, unsigned status, const std::string& echo);
    void renew(const std::string& body);
    void check_leases();
    api_response control(const std::string& body);
    api_response status() const;
    api_response starts() const;

    int m_slots;
    process_clock m_clock;
    std::map<std::string, running_task> m_running;
    std::unordered_map<std::string, int> m_starts;
    std::uint64_t m_total_starts = 0;
    bool m_fails_all = false;
    bool m_is_leaving = false;
    bool m_is_throttled = false;
    unsigned m_slow_factor = 1;
    std::unique_ptr<timer> m_lease_check;
};

} // namespace hawthornpin::stand_ins
