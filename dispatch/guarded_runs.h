// Functions shared by the source files of the run guard; not for use elsewhere.

#pragma once

#include "dispatch/run_guard.h"

namespace hawthornpin {

using run_iterator = std::map<run_id, guarded_run>::iterator;

// Whether the answer proves that the start call had no effect.
bool proves_no_effect(start_answer answer);

// Keeps the outcome until its home has acknowledged it.
void add_pending_outcome(run_guard& guard, const home_identity& home, const run_outcome& outcome);

// Removes the run and adds its outcome to those pending for its home. Returns the position after it.
run_iterator end_run(run_guard& guard, run_iterator position, run_result result, instant now);

// Requests a stop of the run, whose end is then reported as `result`. No effect if the run is already
// stopping.
void request_stop(guarded_run& run, run_result result, instant now);

// Ends all runs: as lost, or as not started if they still waited.
void mark_worker_runs_lost(run_guard& guard, instant now);

// Extends m_lease_end to the end of a lease of this length that a worker whose clock may be slow grants now.
void extend_lease_end(run_guard& guard, milliseconds lease, instant now);

// Whether the worker's last listing is still within its validity.
bool has_recent_listing(const run_guard& guard, instant now);

} // namespace hawthornpin
