// Which availability zones are evacuated, as a process knows it, and whether its knowledge is recent enough
// to start tasks. Reads no clock and does no I/O.
//
// The state is a prefix of the operator's log, so processes need no agreement: a higher offset is newer.

#pragma once

#include "world/evacuation_state.h"

#include <optional>
#include <string>
#include <vector>

namespace hawthornpin {

// The operator's bounds, by the settings.
struct evacuation_limits {
    // Time from the acknowledgement of an evacuation after which no task may start in the zone.
    milliseconds m_evacuate{5'000};
    // Extension of the bound while the store rejects some machines.
    milliseconds m_max_stretch{6'000};

    friend bool operator==(const evacuation_limits&, const evacuation_limits&) = default;
};

// A process whose state was confirmed longer ago starts nothing. One second less than the operator's bounds,
// or half of them if they are shorter than two: a start in flight is over by then.
milliseconds max_evacuation_age(const evacuation_limits& limits);

// What a process knows. Without limits, the settings ask for no evacuations and nothing is restricted.
struct evacuation_view {
    std::optional<evacuation_limits> m_limits;
    std::optional<evacuation_state> m_state;
    // Every record that was acknowledged before this instant of the process's own clock is contained in the
    // state.
    std::optional<instant> m_confirmed_at;

    friend bool operator==(const evacuation_view&, const evacuation_view&) = default;
};

// Builds the state of a process that reads the operator's log.
class evacuation_state_builder {
public:
    // Forgets all records; the next ones are the newest of each key.
    void reset() { m_state = {}; }
    // Records must be applied in the order of their offsets, except after reset().
    void apply(const evacuation_record& record);
    // Sets the offset up to which all records have been applied.
    void set_offset(std::int64_t offset) { m_state.m_offset = offset; }
    const evacuation_state& build() const { return m_state; }

private:
    evacuation_state m_state;
};

// Merges a state that another process or the store has sent, and when it was confirmed if that is known:
// keeps the higher offset and the later confirmation. A confirmation after `now` is ignored. Returns whether
// the evacuated zones have changed or are known for the first time. Does nothing without limits.
bool merge_evacuation(evacuation_view& view, const evacuation_state& state,
                      std::optional<instant> confirmed_at, instant now);
// The same for a report whose age counts from `counted_from`, which must not be later than the sending of the
// report.
bool merge_evacuation_report(evacuation_view& view, const evacuation_report& report, instant counted_from,
                             instant now);

// Whether the zone is evacuated by the newest state that is known.
bool is_evacuated(const evacuation_view& view, const std::string& zone);
// Whether the state is known and was confirmed recently enough to start tasks.
bool is_current(const evacuation_view& view, instant now);
// Time since the confirmation; empty without one.
std::optional<milliseconds> evacuation_age(const evacuation_view& view, instant now);
// Whether an agent in the zone reads the store itself, because other processes tell it too little. Agents of
// an evacuated zone start nothing whatever the state's age, so they need not all read the store every second.
bool is_store_read_due(const evacuation_view& view, const std::string& zone, instant now);
// The report for other processes; empty while no state is known.
std::optional<evacuation_report> make_evacuation_report(const evacuation_view& view, instant now);

// Why nothing may start on a worker.
enum class start_bar { none, zone_evacuated, evacuation_unknown, evacuation_stale };
const char* to_text(start_bar why);

// Whether tasks may start in the zone now.
start_bar find_start_bar(const evacuation_view& view, const std::string& zone, instant now);

} // namespace hawthornpin
