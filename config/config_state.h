// The configuration fold: every reader of the log stream derives the same state from the same records.
//
// Pure: no clock and no I/O. The version in force is a log offset, and it never falls.

#pragma once

#include "config/published_files.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hawthornpin {

using log_offset = std::uint64_t;

// Offsets start at one; zero says that no record was read yet, or that a file does not exist yet.
inline constexpr log_offset no_offset = 0;

// A file as a change wants it. An empty content removes the file.
struct file_change {
    std::string m_path;
    // The version that the operator saw; a change against another version is stale.
    log_offset m_base = no_offset;
    std::optional<std::string> m_content;

    friend bool operator==(const file_change&, const file_change&) = default;
};

// One publication by an operator; applied whole or not at all.
struct config_change {
    std::string m_id;
    std::vector<file_change> m_files;

    friend bool operator==(const config_change&, const config_change&) = default;
};

// A file in force. Removed files stay with their version, so that a stale re-creation is noticed.
struct published_file {
    log_offset m_version = no_offset;
    std::optional<std::string> m_content;

    friend bool operator==(const published_file&, const published_file&) = default;
};

// A snapshot that lets readers skip the records up to `m_as_of`.
struct config_checkpoint {
    log_offset m_as_of = no_offset;
    std::map<std::string, published_file> m_files;
    std::deque<std::string> m_recent_ids;

    friend bool operator==(const config_checkpoint&, const config_checkpoint&) = default;
};

// One record of the stream: exactly one of the two is set; neither for a record of an unknown kind.
struct config_record {
    log_offset m_offset = no_offset;
    std::optional<config_change> m_change;
    std::optional<config_checkpoint> m_checkpoint;
};

// What became of a change.
enum class apply_verdict { accepted, rejected_stale, rejected_invalid, rejected_repeated };

// The state in force. Change it only through the functions below.
struct config_state {
    // The highest offset folded; never falls.
    log_offset m_version = no_offset;
    std::map<std::string, published_file> m_files;
    // Newest last; bounded by max_recent_ids.
    std::deque<std::string> m_recent_ids;
    // Derived from m_files: contracts by service and teams by name.
    std::map<std::string, contract> m_contracts;
    std::map<std::string, team> m_teams;
    // The offset of the newest checkpoint folded or adopted.
    log_offset m_last_checkpoint = no_offset;

    friend bool operator==(const config_state&, const config_state&) = default;
};

inline constexpr std::size_t max_recent_ids = 4096;

// Folds one record. Records at or below the version in force are ignored and give an empty optional,
// as do checkpoints. `why` explains a rejection.
std::optional<apply_verdict> apply_record(config_state& state, const config_record& record, last_reason& why);

// Builds the state from all kept records, `first_kept` being the oldest. Empty if records are missing
// before the newest checkpoint's reach: the caller must not start on such a state.
std::optional<config_state> replay_log(const std::vector<config_record>& records, log_offset first_kept,
                                       last_reason& why);

// The checkpoint of a state.
config_checkpoint make_checkpoint(const config_state& state);

// Replaces the state by a newer checkpoint (from a peer or the log); false and unchanged if it is not newer
// or does not parse.
bool adopt_checkpoint(config_state& state, const config_checkpoint& checkpoint, last_reason& why);

// Files changed after `version`, for readers that hold an older one.
std::map<std::string, published_file> files_since(const config_state& state, log_offset version);

} // namespace hawthornpin
