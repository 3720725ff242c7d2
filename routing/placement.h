// Placement: which agent becomes a job's home, and which worker a pending task is granted to.

#pragma once

#include "core/random.h"
#include "routing/quarantine.h"

#include <optional>
#include <string>

namespace hawthornpin {

// Policies of choice. All but least_loaded are baselines for the benchmark.
enum class placement_policy { random, round_robin, two_choices, least_loaded };

struct placement_settings {
    placement_policy m_policy = placement_policy::least_loaded;
    // Tasks that may wait at a worker, for each of its slots, to hide the latency of the round trip to their
    // home.
    double m_buffer_per_slot = 0;
    // A nearer worker is preferred unless it has this many more tasks a slot, for each step of distance.
    double m_locality_margin = 0.125;
    quarantine_limits m_quarantine;
};

// State of placement in one process.
struct placement_state {
    placement_settings m_settings;
    place m_own_place;
    // Position of the next choice in rotation.
    std::size_t m_next = 0;
    // Ids of quarantined workers as of the last refresh_quarantine().
    std::set<std::string> m_quarantined;
};

// Recomputes which workers are quarantined; to be called after reports and periodically.
void refresh_quarantine(placement_state& state, const load_view& view);

// Whether the worker may be given a task now: not quarantined, or due for a probe.
bool is_placeable(const placement_state& state, const worker_view& worker, instant now);

// Chooses a home among usable workers that fit the needs. Empty if there is none.
std::optional<std::string> choose_home(placement_state& state, load_view& view, const task_needs& needs,
                                       instant now, random_source& random);

// Chooses a home for a ticket that will be used later. The current load says little about the load at that
// time, so homes are chosen in rotation.
std::optional<std::string> choose_home_for_ticket(placement_state& state, load_view& view,
                                                  const task_needs& needs, instant now);

// Chooses a worker other than `self` with an estimated free slot. Empty if there is none.
std::optional<std::string> choose_worker(placement_state& state, load_view& view, const std::string& self,
                                         const task_needs& needs, instant now, random_source& random);

// Whether any known worker, usable or not, has the memory and accelerators for such a task.
bool can_ever_fit(const load_view& view, const task_needs& needs);

std::optional<placement_policy> placement_policy_from_text(const std::string& text);

} // namespace hawthornpin
