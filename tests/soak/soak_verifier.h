// Verifies a soak test: records what workers started and what callers were answered, and reports the first
// violated guarantee.

#pragma once

#include "core/instant.h"
#include "world/work_request.h"

#include <map>
#include <set>
#include <string>

namespace hawthornpin::soak {

class soak_verifier {
public:
    // A worker began a run; `capacity_milli` is all that it has, `used_milli` what is in use with this run.
    void record_run_start(const std::string& worker, const std::string& zone, const run_id& run,
                          std::int64_t used_milli, std::int64_t capacity_milli);
    // The run occupies its worker no longer.
    void record_run_end(const std::string& worker, const run_id& run, bool is_done);

    // Bounds of evacuations: from their acknowledgement, and the extension while the store rejects machines.
    void set_evacuation_bounds(milliseconds evacuate, milliseconds max_stretch);
    // The store has acknowledged that the zone is evacuated, or no longer.
    void record_evacuated(const std::string& zone);
    void record_revoked(const std::string& zone);
    // The store rejects some machines, or all, or does not answer them, until then.
    void record_store_fault(instant until);
    // Evacuations that lasted for longer than their bound.
    std::size_t verified_evacuations() const { return m_verified_evacuations; }

    // A job with this many tasks is about to be submitted for the first time.
    void record_submitted(const std::string& job, std::uint32_t tasks);
    // The result of a caller's attempt.
    void record_completed(const std::string& job);
    void record_refused(const std::string& job);
    void record_unanswered(const std::string& job);

    // A violation that was found elsewhere, or a stand-in that failed.
    void record_violation(const std::string& what);

    // The first violated guarantee; empty if none was.
    const std::string& violation() const { return m_violation; }
    // Looks for refused jobs that have started. To be called when nothing runs any more.
    void check_refusals();
    std::string summary() const;
    std::size_t completed() const { return m_completed; }
    std::size_t submitted() const { return m_jobs.size(); }

private:
    struct tracked_job {
        std::uint32_t m_tasks = 0;
        std::set<task_id> m_done;
        bool m_has_started = false;
        // Whether all attempts of the caller so far were refused as not run.
        bool m_is_only_refused = true;
        bool m_is_refused = false;
    };

    struct evacuation {
        instant m_evacuated_at;
        // Whether the store had a fault before the bound.
        bool m_is_extended = false;
    };
    // From then on nothing may start in the zone.
    instant evacuation_bound(const evacuation& zone) const;

    std::map<std::string, tracked_job> m_jobs;
    milliseconds m_evacuate{0};
    milliseconds m_max_stretch{0};
    std::map<std::string, evacuation> m_evacuated;
    instant m_store_fault_end;
    std::size_t m_verified_evacuations = 0;
    // Where tasks run now.
    std::map<task_id, std::string> m_running;
    std::size_t m_starts = 0;
    std::size_t m_completed = 0;
    std::size_t m_refused = 0;
    std::size_t m_unanswered = 0;
    std::size_t m_violations = 0;
    std::string m_violation;
};

} // namespace hawthornpin::soak
