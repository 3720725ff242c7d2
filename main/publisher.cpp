// Collects and checks files, appends changes and finds out their results.

#include "main/publisher.h"

#include "config/record_json.h"

#include <algorithm>
#include <filesystem>

namespace hawthornpin {

namespace {

constexpr unsigned append_timeout_ms = 5'000;
constexpr unsigned resolve_interval_ms = 200;
// Reads of the log after an append before the result is reported as unknown.
constexpr int max_resolve_attempts = 25;
constexpr unsigned records_per_read = 256;

} // namespace

std::optional<local_files> collect_files(const std::string& folder, last_reason& why)
{
    namespace fs = std::filesystem;
    local_files files;
    std::error_code error;
    for (auto item = fs::recursive_directory_iterator(folder, error); !error && item != fs::end(item);
         item.increment(error)) {
        const std::string path = fs::relative(item->path(), folder).generic_string();
        if (!item->is_regular_file() || !kind_of_path(path))
            continue;
        auto content = read_file(item->path().string(), why);
        if (!content)
            return std::nullopt;
        files.emplace(path, std::move(*content));
    }
    if (error) {
        why.set(folder + ": " + error.message());
        return std::nullopt;
    }
    if (files.empty()) {
        why.set(folder + ": there is no service.ini or team.ini");
        return std::nullopt;
    }
    return files;
}

bool check_files(const local_files& files, last_reason& why)
{
    config_state empty;
    const config_record record{1, plan_change(empty, files, false, "check"), std::nullopt};
    return apply_record(empty, record, why) == apply_verdict::accepted;
}

config_change plan_change(const config_state& state, const local_files& files, bool removes_missing,
                          const std::string& id)
{
    config_change change;
    change.m_id = id;
    for (const auto& [path, content] : files) {
        const auto found = state.m_files.find(path);
        if (found == state.m_files.end())
            change.m_files.push_back({path, no_offset, content});
        else if (found->second.m_content != content)
            change.m_files.push_back({path, found->second.m_version, content});
    }
    for (const auto& [path, file] : state.m_files) {
        if (removes_missing && file.m_content && !files.contains(path))
            change.m_files.push_back({path, file.m_version, std::nullopt});
    }
    return change;
}

std::optional<publish_result> find_change_result(const std::vector<config_record>& records,
                                                 log_offset first_kept, const std::string& id)
{
    last_reason why;
    // Replaying the records before the change gives the state on which its verdict depends.
    std::vector<config_record> before;
    for (const config_record& record : records) {
        if (!record.m_change || record.m_change->m_id != id) {
            before.push_back(record);
            continue;
        }
        auto state = replay_log(before, first_kept, why);
        if (!state)
            return publish_result{publish_verdict::unknown, id, record.m_offset, why.text()};
        const auto change_verdict = apply_record(*state, record, why);
        publish_result result{publish_verdict::rejected_invalid, id, record.m_offset, why.text()};
        // A checkpoint that covers the record has the change's id only if it was accepted.
        if (!change_verdict || change_verdict == apply_verdict::accepted ||
            change_verdict == apply_verdict::rejected_repeated)
            result.m_verdict = publish_verdict::accepted;
        else if (change_verdict == apply_verdict::rejected_stale)
            result.m_verdict = publish_verdict::rejected_stale;
        return result;
    }
    const auto state = replay_log(records, first_kept, why);
    const bool is_known = state && std::find(state->m_recent_ids.begin(), state->m_recent_ids.end(), id) !=
                                       state->m_recent_ids.end();
    if (is_known)
        return publish_result{publish_verdict::accepted, id, state->m_version,
                              "in force through a checkpoint"};
    return std::nullopt;
}

publisher::publisher(log_client log) : m_log(std::move(log)) {}

kj::Promise<std::optional<publisher::stream_content>> publisher::read_all(stream_content content,
                                                                          log_offset from)
{
    return m_log.read(from, 0, records_per_read)
        .then([this, content = std::move(content)](
                  std::optional<log_page> page) mutable -> kj::Promise<std::optional<stream_content>> {
            if (!page)
                return std::optional<stream_content>();
            content.m_first = page->m_first;
            for (const log_record& record : page->m_records)
                content.m_records.push_back(record_from_json(record.m_offset, record.m_body));
            if (content.m_records.empty() || content.m_records.back().m_offset + 1 >= page->m_next)
                return std::optional<stream_content>(std::move(content));
            const log_offset next = content.m_records.back().m_offset + 1;
            return read_all(std::move(content), next);
        });
}

kj::Promise<std::optional<config_state>> publisher::read_state()
{
    return read_all({}, 1).then([](std::optional<stream_content> content) {
        last_reason why;
        return content ? replay_log(content->m_records, content->m_first, why)
                       : std::optional<config_state>();
    });
}

kj::Promise<publish_result> publisher::publish(config_change change)
{
    if (change.m_files.empty())
        return publish_result{publish_verdict::unchanged, change.m_id, no_offset, "nothing differs"};
    const std::string id = change.m_id;
    return m_log.append(to_json(change), append_timeout_ms)
        .then([this, id](append_result result) -> kj::Promise<publish_result> {
            if (result.m_status == append_status::not_written)
                return publish_result{publish_verdict::not_written, id, no_offset,
                                      "the log can't be reached"};
            return resolve(id, max_resolve_attempts);
        });
}

kj::Promise<publish_result> publisher::resolve(std::string id, int attempts_left)
{
    return resume(id).then([this, id, attempts_left](publish_result result) -> kj::Promise<publish_result> {
        if (result.m_verdict != publish_verdict::unknown || attempts_left <= 1)
            return kj::mv(result);
        return after_delay(resolve_interval_ms).then([this, id, attempts_left] {
            return resolve(id, attempts_left - 1);
        });
    });
}

kj::Promise<publish_result> publisher::resume(std::string id)
{
    return read_all({}, 1).then([id](std::optional<stream_content> content) {
        if (!content)
            return publish_result{publish_verdict::unknown, id, no_offset, "the log can't be read"};
        const auto found = find_change_result(content->m_records, content->m_first, id);
        return found ? *found
                     : publish_result{publish_verdict::unknown, id, no_offset, "not in the log so far"};
    });
}

} // namespace hawthornpin
