// Publishes configuration: collects the files beside the services' code, appends them to the log as one
// change record, and determines whether that was accepted.

#pragma once

#include "config/config_state.h"
#include "core/event_loop.h"
#include "platform/log_client.h"

#include <map>
#include <optional>
#include <string>

namespace hawthornpin {

// Local files by the path that they are published under.
using local_files = std::map<std::string, std::string>;

// Reads every service.ini and team.ini below a folder. Fails on an unreadable file or folder.
std::optional<local_files> collect_files(const std::string& folder, last_reason& why);

// Checks the files strictly, one by one and together (owners, duplicates).
bool check_files(const local_files& files, last_reason& why);

// The change that turns `state` into the local files; it has no files if nothing differs. Files in force that
// are missing locally are removed only with `removes_missing`.
config_change plan_change(const config_state& state, const local_files& files, bool removes_missing,
                          const std::string& id);

enum class publish_verdict {
    accepted,
    // Another operator changed a file first; nothing of the change is in force.
    rejected_stale,
    rejected_invalid,
    // The change is provably not in the log and will not be appended later.
    not_written,
    // The log did not answer; run publish --resume with the id.
    unknown,
    unchanged,
};

struct publish_result {
    publish_verdict m_verdict = publish_verdict::unknown;
    std::string m_id;
    log_offset m_version = no_offset;
    std::string m_detail;
};

// Publishes to one log stream. The log may be down, slow or lose answers at any step.
class publisher {
public:
    explicit publisher(log_client log);

    // The state after all records of the stream; empty when the log can't be read.
    kj::Promise<std::optional<config_state>> read_state();

    // Appends the planned change and reads the log until its result is known or the attempts are used up.
    kj::Promise<publish_result> publish(config_change change);

    // Reads the result of an earlier change from the log; never appends.
    kj::Promise<publish_result> resume(std::string id);

private:
    struct stream_content {
        std::vector<config_record> m_records;
        log_offset m_first = no_offset;
    };

    kj::Promise<std::optional<stream_content>> read_all(stream_content content, log_offset from);
    kj::Promise<publish_result> resolve(std::string id, int attempts_left);

    log_client m_log;
};

// The result of the change with this id according to the records; empty if it is not among them.
std::optional<publish_result> find_change_result(const std::vector<config_record>& records,
                                                 log_offset first_kept, const std::string& id);

} // namespace hawthornpin
