// Event queue with virtual time, which jumps from one event to the next.

#pragma once

#include "core/instant.h"

#include <functional>
#include <map>

namespace hawthornpin::fault_matrix {

// Runs events in time order; events of the same instant in the order in which they were added.
class schedule {
public:
    instant now() const { return m_now; }

    void at(instant when, std::function<void()> event)
    {
        m_events.emplace(std::max(when, m_now), std::move(event));
    }
    void after(milliseconds delay, std::function<void()> event) { at(m_now + delay, std::move(event)); }

    // Runs all events up to and including `end`, and leaves the clock there.
    void run_until(instant end)
    {
        while (!m_events.empty() && m_events.begin()->first <= end) {
            auto event = m_events.extract(m_events.begin());
            m_now = event.key();
            event.mapped()();
        }
        m_now = end;
    }

private:
    instant m_now{milliseconds(1'000'000)};
    std::multimap<instant, std::function<void()>> m_events;
};

} // namespace hawthornpin::fault_matrix
