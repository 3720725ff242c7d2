// Recognizes jobs of a queue's burst: those beyond its usual load while the loads of the service's other
// queues have not grown as much. Reads no clock.
//
// A burst is served only with what the other queues leave, whatever the priorities. A load that grows in all
// queues alike is no burst, since callers move together when a machine or a zone is lost.

#pragma once

#include "core/instant.h"

#include <map>
#include <string>

namespace hawthornpin {

struct burst_limits {
    // Averaging time of the load that counts as usual: several times the length of a burst.
    milliseconds m_usual{30'000};
    // Averaging time of the present load.
    milliseconds m_recent{1'000};
    // A queue that has been observed for less time is never in a burst.
    milliseconds m_min_observed{3'000};
    // Part of a burst's jobs that counts for the usual load, which so follows a lasting growth slowly.
    double m_burst_weight = 0.1;
    // Growth that is no burst yet, in standard deviations of the load of independent jobs.
    double m_tolerated_deviations = 2;
};

// Work that arrives in a queue, in units of the caller's choice per millisecond.
struct queue_arrivals {
    // Exponentially weighted means, at m_updated_at.
    double m_usual = 0;
    double m_recent = 0;
    instant m_updated_at;
    instant m_first_job_at;
    // Fraction of a job of the burst that earlier jobs have left over.
    double m_credit = 0;
};

// The queues of one service.
struct burst_detector {
    burst_limits m_limits;
    // By name.
    std::map<std::string, queue_arrivals> m_queues;
};

// Records a job that arrives in a queue. Returns whether it counts as one of a burst: of the jobs of a queue
// in a burst, as large a share as its load exceeds the usual one.
bool record_arrival(burst_detector& detector, const std::string& queue, double work, instant now);

// Priority of a burst's jobs in a queue with this priority: behind all queues without one.
int burst_priority(int priority);

} // namespace hawthornpin
