// The entries that a process knows, by peer address. Pure.

#pragma once

#include "core/instant.h"
#include "core/random.h"

#include <map>
#include <string>
#include <vector>

namespace hawthornpin {

// An entry that was not heard for this long is forgotten, unless it is a seed. Longer than a restart takes.
inline constexpr milliseconds forget_entry_after{15'000};

enum class entry_contact { none, message, registration };

struct known_entry {
    bool m_is_seed = false;
    // When it was last heard itself; hearsay does not count.
    instant m_last_contact_at;
    instant m_called_at;
    // Presentations since the last that was answered.
    std::uint32_t m_unanswered_registrations = 0;
    // How it was last heard: only of, by orders, or by its answer to a presentation.
    entry_contact m_contact = entry_contact::none;
};

struct entry_list {
    // Never listed.
    std::string m_self;
    std::map<std::string, known_entry> m_entries;
};

void add_seeds(entry_list& list, const std::vector<std::string>& addresses);
// Learned from another process. An entry that is new starts as if heard now.
void add_learned_entries(entry_list& list, const std::vector<std::string>& addresses, instant now);
// The entry itself called or answered.
void record_contact(entry_list& list, const std::string& address, instant now);
// The entry answered a presentation: it knows this process.
void record_registration(entry_list& list, const std::string& address, instant now);
// The same for a home, which is forgotten all the same unless it sends orders: entries tell which homes are
// left.
void record_known_to_home(entry_list& list, const std::string& address);
// Whether an agent should present itself to the entry now: at once to one that it only heard of, and again to
// one that has fallen silent, less often with each time in vain.
bool is_registration_due(const entry_list& list, const known_entry& entry, instant now);
// The agent presents itself to the entry.
void record_registration_attempt(known_entry& entry, instant now);

// Between two presentations of an agent to an entry that hands its jobs on, in a system of this many entries:
// their sum stays bounded in a large one.
milliseconds registration_interval(std::size_t entry_count);
void remove_unresponsive_entries(entry_list& list, instant now);

// Entries to exchange knowledge with now: at most `count` of those that were not called within `pause`, at
// random. They count as called.
std::vector<std::string> choose_exchange_peers(entry_list& list, std::size_t count, milliseconds pause,
                                               random_source& random, instant now);

// Entries heard within the period after which they are forgotten: what is told to others.
std::vector<std::string> list_live(const entry_list& list, instant now);

} // namespace hawthornpin
