// The configuration state: every reader of the log stream derives the same state from the same records.
//
// Reads no clock and does no I/O. The version in force is a log offset, and it never decreases.

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

// Offsets start at one; zero means that no record was read yet, or that a file does not exist yet.
inline constexpr log_offset no_offset = 0;

// New content of a file in a change. An empty optional removes the file.
struct file_change {
    std::string m_path;
    // The version that the change is based on; if another one is in force, the change is stale.
    log_offset m_base = no_offset;
    std::optional<std::string> m_content;

    friend bool operator==(const file_change&, const file_change&) = default;
};

// One publication by an operator; applied atomically.
struct config_change {
    std::string m_id;
    std::vector<file_change> m_files;

    friend bool operator==(const config_change&, const config_change&) = default;
};

// A file in force. A removed file is kept without content, so that a stale change that creates it again is
// rejected by its version.
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

// One record of the stream: either a change or a checkpoint; neither for a record of an unknown kind.
struct config_record {
    log_offset m_offset = no_offset;
    std::optional<config_change> m_change;
    std::optional<config_checkpoint> m_checkpoint;
};

// Result of applying a change.
enum class apply_verdict { accepted, rejected_stale, rejected_invalid, rejected_repeated };

// The state in force. Change it only through the functions below.
struct config_state {
    // The highest offset applied; never decreases.
    log_offset m_version = no_offset;
    std::map<std::string, published_file> m_files;
    // Ids of accepted changes, newest last; bounded by max_recent_ids.
    std::deque<std::string> m_recent_ids;
    // Derived from m_files: contracts by service and teams by name.
    std::map<std::string, contract> m_contracts;
    std::map<std::string, team> m_teams;
    // The offset of the newest checkpoint record applied or adopted.
    log_offset m_last_checkpoint = no_offset;

    friend bool operator==(const config_state&, const config_state&) = default;
};

inline constexpr std::size_t max_recent_ids = 4096;

// Applies one record. Records at or below the version in force are ignored. Returns the verdict on a change;
// empty for ignored records, checkpoints and records of an unknown kind. `why` explains a rejection.
std::optional<apply_verdict> apply_record(config_state& state, const config_record& record, last_reason& why);

// Builds the state from all retained records, `first_kept` being the oldest offset. Empty if records have
// expired that no checkpoint covers, or if a checkpoint is invalid: the caller must not start without a
// state.
std::optional<config_state> replay_log(const std::vector<config_record>& records, log_offset first_kept,
                                       last_reason& why);

config_checkpoint make_checkpoint(const config_state& state);

// Replaces the state by a newer checkpoint from a peer or the log. Returns false and leaves the state
// unchanged if the checkpoint is not newer or does not parse.
bool adopt_checkpoint(config_state& state, const config_checkpoint& checkpoint, last_reason& why);

// Returns the files changed after `version`, for readers that hold that version.
std::map<std::string, published_file> files_since(const config_state& state, log_offset version);

} // namespace hawthornpin
