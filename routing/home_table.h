// An entry's view of the homes that it forwards jobs to: which of them respond, and which home has which job.
// Reads no clock and does no I/O.

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
    // Interval of the heartbeats to a home; they renew the entry's lease there.
    milliseconds m_heartbeat{100};
    // Timeout of a heartbeat. When it expires, the connection to the home is closed and the jobs there are
    // lost, so it is no shorter than m_lost_after.
    milliseconds m_answer_timeout{400};
    // A home that has not answered for this long gets no new jobs.
    milliseconds m_suspect_after{250};
    // A home whose last heartbeat took longer gets no new jobs: a job would reach it after the entry's lease,
    // which begins with the last answer, has lapsed.
    milliseconds m_max_round_trip{150};
    // A home that has not answered for this long is lost. The entry's lease there is as long, so by then the
    // home has ended the entry's jobs.
    milliseconds m_lost_after{400};
};

struct home_view {
    std::string m_address;
    std::uint64_t m_session = 0;
    home_status m_status;
    // The newest clock value of the home in this session, and its arrival.
    std::uint64_t m_clock_seen = 0;
    instant m_clock_seen_at;
    instant m_heartbeat_sent_at;
    bool m_is_heartbeat_pending = false;
    // From the last heartbeat to its answer.
    std::optional<milliseconds> m_round_trip;
    // Whether new jobs may be forwarded to the home.
    bool m_is_chosen = true;
    std::set<std::string> m_jobs;
    // Processor demand of the jobs that were forwarded since m_status arrived, in thousandths of a core.
    std::int64_t m_unreported_milli = 0;
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

// Sets the homes that new jobs are forwarded to; other homes are kept while they have jobs.
void set_chosen_homes(home_table& table, const std::vector<home_candidate>& homes);

// Chooses the home for a new job with this processor demand, in thousandths of a core: of two responding
// homes drawn at random the one with more room for each of its agents or, if that is too small for the job,
// the one with the most such room of all. Empty if no home responds.
std::optional<std::string> choose_home(home_table& table, const std::set<std::string>& excluded,
                                       std::int64_t demand_milli, instant now);

// The heartbeat that accompanies every message from the entry to the home.
entry_heartbeat make_entry_heartbeat(const home_table& table, const std::string& home);

// Returns the heartbeats that are due; the caller must report the end of each with on_home_status() or
// on_home_heartbeat_lost().
std::vector<due_home_heartbeat> take_due_home_heartbeats(home_table& table, instant now);
// Records an answer in the session; an answer of an earlier session is ignored.
void on_home_status(home_table& table, const std::string& home, std::uint64_t session,
                    const home_status& status, instant now);
// Records the answer to the last heartbeat.
void on_home_heartbeat_answered(home_table& table, const std::string& home, std::uint64_t session,
                                const home_status& status, instant now);
// Records that the last heartbeat was not answered. Begins a new session unless the home has jobs, whose own
// calls report a lost connection.
void on_home_heartbeat_lost(home_table& table, const std::string& home, std::uint64_t session);

// Least round trip of the last heartbeats to the responding homes; zero if none is known. Homes differ in
// their own delay, but all answers wait as long for this process.
milliseconds estimate_own_delay(const home_table& table, instant now);

void record_forwarded(home_table& table, const std::string& home, const std::string& job,
                      std::int64_t demand_milli);
void record_forward_ended(home_table& table, const std::string& home, const std::string& job);

// Returns the homes with jobs that have not answered for m_lost_after.
std::vector<std::string> list_unresponsive_homes(const home_table& table, instant now);
// Begins a new session with the home, so that the lease of the old one expires there, and returns the jobs
// that were lost.
std::set<std::string> mark_home_lost(home_table& table, const std::string& home);

} // namespace hawthornpin
