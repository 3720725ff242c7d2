// Queue of the connections that wait for their turn.

#include "http/input_scheduler.h"

#include "core/reactor.h"

#include <utility>

namespace hawthornpin {

namespace {

// Connections that are served in one iteration. With the quota of a body that is half a millisecond at most.
constexpr std::size_t turns_per_iteration = 4;

} // namespace

kj::Promise<void> input_scheduler::next_turn()
{
    auto pair = kj::newPromiseAndFulfiller<void>();
    m_waiting.push_back(kj::mv(pair.fulfiller));
    schedule_release();
    return kj::mv(pair.promise);
}

void input_scheduler::schedule_release()
{
    if (std::exchange(m_is_scheduled, true))
        return;
    m_release = release_all().eagerlyEvaluate(nullptr);
}

kj::Promise<void> input_scheduler::release_all()
{
    // A timer fires after the descriptors of its iteration have been checked; evalLast waits for the events
    // that they caused.
    return after_delay(0).then([] { return kj::evalLast([] {}); }).then([this]() -> kj::Promise<void> {
        release_some();
        if (!m_waiting.empty())
            return release_all();
        m_is_scheduled = false;
        return kj::READY_NOW;
    });
}

void input_scheduler::release_some()
{
    std::size_t turns = 0;
    while (!m_waiting.empty() && turns < turns_per_iteration) {
        // Connections that were closed meanwhile use up no turn.
        if (m_waiting.front()->isWaiting()) {
            m_waiting.front()->fulfill();
            ++turns;
        }
        m_waiting.pop_front();
    }
}

bool iteration_quota::take()
{
    const std::uint64_t iteration = reactor::instance().iterations();
    if (std::exchange(m_iteration, iteration) != iteration)
        m_used = 0;
    return m_used++ < m_reads;
}

} // namespace hawthornpin
