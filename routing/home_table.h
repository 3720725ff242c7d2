// An entry's view of the homes that it hands jobs on to: which of them answer, and which job is where. Pure.

#pragma once

#include "core/instant.h"
#include "core/random.h"
#include "membership/home_choice.h"
#include "world/home_session.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hawthornpin {

struct home_table_limits {
    // A home hears from the entry this often, so that the entry's lease there lasts.
    milliseconds m_heartbeat{100};
    // A heartbeat that is not answered by then is lost, and with it the home's connection and the jobs there:
    // no shorter than the time after which the home is given up.
    milliseconds m_answer_timeout{400};
    // A home that has not answered for this long gets no new jobs.
    milliseconds m_suspect_after{250};
    // A home that has not answered for this long is given up: the entry's lease there, which is as long, has
    // ended the jobs.
    milliseconds m_lost_after{400};
};

struct home_view {
    std::string m_address;
    std::uint64_t m_session = 0;
    home_status m_status;
    // Of the newest clock value in this session.
    std::uint64_t m_clock_seen = 0;
    instant m_clock_seen_at;
    instant m_heartbeat_sent_at;
    bool m_is_heartbeat_pending = false;
    // Whether new jobs may be handed on to it.
    bool m_is_chosen = true;
    std::set<std::string> m_jobs;
};

struct home_table {
    home_table_limits m_limits;
    // The entry's id.
    std::string m_self;
    std::uint32_t m_homes_per_agent = 1;
    random_source m_random;
    std::map<std::string, home_view> m_homes;
};

// A heartbeat that is due.
struct due_home_heartbeat {
    std::string m_home;
    std::string m_address;
    entry_heartbeat m_heartbeat_message;
};

// From now on new jobs go to these homes; others are kept while they have jobs.
void set_chosen_homes(home_table& table, const std::vector<home_candidate>& homes);

// The home for a new job; the one with fewer jobs for each of its agents, of two that answer, drawn at
// random. Empty if none does.
std::optional<std::string> choose_home(home_table& table, const std::set<std::string>& excluded, instant now);

// What the entry shows the home with every message.
entry_heartbeat make_entry_heartbeat(const home_table& table, const std::string& home);

// Heartbeats that are due; each must end in on_home_status() or on_home_heartbeat_lost().
std::vector<due_home_heartbeat> take_due_home_heartbeats(home_table& table, instant now);
// An answer in the session; one of an earlier session changes nothing.
void on_home_status(home_table& table, const std::string& home, std::uint64_t session,
                    const home_status& status, instant now);
void on_home_heartbeat_lost(home_table& table, const std::string& home, std::uint64_t session);

void record_forwarded(home_table& table, const std::string& home, const std::string& job);
void record_forward_ended(home_table& table, const std::string& home, const std::string& job);

// Homes with jobs that have not answered for too long.
std::vector<std::string> list_unresponsive_homes(const home_table& table, instant now);
// Begins a new session with the home, which ends the old one there, and returns the jobs that were lost.
std::set<std::string> mark_home_lost(home_table& table, const std::string& home);

} // namespace hawthornpin
