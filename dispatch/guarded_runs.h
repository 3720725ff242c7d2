// Steps that the parts of the run guard share. Not for use outside of them.

#pragma once

#include "dispatch/run_guard.h"

namespace hawthornpin {

using run_iterator = std::map<run_id, guarded_run>::iterator;

// Keeps the outcome for its home until that has acknowledged it.
void add_pending_outcome(run_guard& guard, const home_identity& home, const run_outcome& outcome);

// Removes the run and owes its outcome to its home. Returns the run behind it.
run_iterator end_run(run_guard& guard, run_iterator position, run_result result, instant now);

// Has the run stopped; its end is reported as `result`.
void request_stop(guarded_run& run, run_result result, instant now);

// Everything that the worker ran is gone.
void mark_worker_runs_lost(run_guard& guard, instant now);

// Counts a lease that ends `lease` after now on a worker whose clock may be slow.
void extend_lease_end(run_guard& guard, instant now);

// Whether the worker was heard within the listing's validity.
bool has_recent_listing(const run_guard& guard, instant now);

} // namespace hawthornpin
