// The entries that a process knows, by peer address. Reads no clock and does no I/O.

#pragma once

#include "core/instant.h"
#include "core/random.h"

#include <map>
#include <string>
#include <vector>

namespace hawthornpin {

// An entry without contact for this long is removed, unless it is a seed. Longer than a restart takes.
inline constexpr milliseconds forget_entry_after{15'000};

// The most recent contact with an entry: none yet, a message from it, or its answer to a registration.
enum class entry_contact { none, message, registration };

struct known_entry {
    bool m_is_seed = false;
    // Last message from the entry itself; for an entry learned from others, when it was first learned of.
    instant m_last_contact_at;
    // Last call from this process to the entry.
    instant m_called_at;
    // Registrations sent since the last answered one or the last message from the entry.
    std::uint32_t m_unanswered_registrations = 0;
    entry_contact m_contact = entry_contact::none;
};

struct entry_list {
    // Address of this process, which is never listed.
    std::string m_self;
    std::map<std::string, known_entry> m_entries;
};

void add_seeds(entry_list& list, const std::vector<std::string>& addresses);
// Adds entries learned from another process. A new one starts as if its last contact were now; known ones are
// unchanged.
void add_learned_entries(entry_list& list, const std::vector<std::string>& addresses, instant now);
// Records a call or an answer from the entry itself.
void record_contact(entry_list& list, const std::string& address, instant now);
// Records that the entry answered a registration, so it knows this process.
void record_registration(entry_list& list, const std::string& address, instant now);
// The same for a home, but without renewing its last contact: a home that sends no orders is removed in time,
// because the entries report which homes are current.
void record_known_to_home(entry_list& list, const std::string& address);
// Whether an agent should register with the entry now: at once with one that it only learned of, and again
// with one that has stopped responding, with a longer pause after each registration without an answer.
bool is_registration_due(const entry_list& list, const known_entry& entry, instant now);
// Records that the agent sends a registration to the entry.
void record_registration_attempt(known_entry& entry, instant now);

// Interval between two registrations of an agent with an entry that forwards its jobs. It grows with the
// number of entries, so that the rate of all registrations stays bounded in a large system.
milliseconds registration_interval(std::size_t entry_count);
void remove_unresponsive_entries(entry_list& list, instant now);

// Chooses entries to exchange membership with now: at most `count`, at random, of those that were not called
// within `pause`. Records them as called.
std::vector<std::string> choose_exchange_peers(entry_list& list, std::size_t count, milliseconds pause,
                                               random_source& random, instant now);

// Returns the entries with recent contact, which are reported to other processes. Recent is shorter than
// forget_entry_after.
std::vector<std::string> list_live(const entry_list& list, instant now);

} // namespace hawthornpin
