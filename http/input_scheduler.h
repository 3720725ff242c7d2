// Lets connections with much input take turns, so that none of them monopolises the event loop.

#pragma once

#include "core/event_loop.h"

#include <cstdint>
#include <deque>

namespace hawthornpin {

class input_scheduler {
public:
    input_scheduler() = default;
    input_scheduler(const input_scheduler&) = delete;
    input_scheduler& operator=(const input_scheduler&) = delete;

    // Fulfilled in a later iteration of the event loop, once its other input and the events that follow from
    // it have been handled. Connections are served in the order of their calls, a few in each iteration.
    kj::Promise<void> next_turn();

private:
    void schedule_release();
    // Releases some connections in each iteration until none is waiting.
    kj::Promise<void> release_all();
    void release_some();

    std::deque<kj::Own<kj::PromiseFulfiller<void>>> m_waiting;
    bool m_is_scheduled = false;
    kj::Promise<void> m_release = nullptr;
};

// Counts the reads of a connection against its quota of one iteration of the event loop.
class iteration_quota {
public:
    explicit iteration_quota(unsigned reads) : m_reads(reads) {}

    // Counts a read; false if the quota of this iteration was used up before.
    bool take();

    // Sets the quota of each iteration.
    void set_reads(unsigned reads) { m_reads = reads; }

    // Counts from zero again.
    void renew() { m_used = 0; }

private:
    unsigned m_reads;
    unsigned m_used = 0;
    std::uint64_t m_iteration = 0;
};

} // namespace hawthornpin
