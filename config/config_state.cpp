// Deterministic application of configuration records.

#include "config/config_state.h"

#include "core/fault_injection.h"

#include <algorithm>

namespace hawthornpin {

namespace {

// Derives contracts and teams; false if a file does not parse or refers to a missing team.
bool derive_contracts_and_teams(config_state& state, last_reason& why)
{
    state.m_contracts.clear();
    state.m_teams.clear();
    for (const auto& [path, file] : state.m_files) {
        if (!file.m_content)
            continue;
        if (kind_of_path(path) == published_kind::service) {
            auto parsed = parse_service_file(*file.m_content, path, why);
            if (!parsed)
                return false;
            if (!state.m_contracts.emplace(parsed->service(), *parsed).second) {
                why.set(path + ": service " + parsed->service() + " is defined twice");
                return false;
            }
        }
        else {
            auto parsed = parse_team_file(*file.m_content, path, why);
            if (!parsed)
                return false;
            if (!state.m_teams.emplace(parsed->name(), *parsed).second) {
                why.set(path + ": team " + parsed->name() + " is defined twice");
                return false;
            }
        }
    }
    for (const auto& [service, value] : state.m_contracts) {
        if (!state.m_teams.contains(value.owner())) {
            why.set("service " + service + ": owner " + value.owner() + " is not a known team");
            return false;
        }
    }
    return true;
}

bool is_stale(const config_state& state, const config_change& change)
{
    if (is_mutant_active(mutant::replay_accepts_stale_base))
        return false;
    return std::any_of(change.m_files.begin(), change.m_files.end(), [&](const file_change& file) {
        const auto found = state.m_files.find(file.m_path);
        const log_offset current = found == state.m_files.end() ? no_offset : found->second.m_version;
        return file.m_base != current;
    });
}

apply_verdict apply_change(config_state& state, const config_change& change, log_offset offset,
                           last_reason& why)
{
    const auto& seen = state.m_recent_ids;
    if (std::find(seen.begin(), seen.end(), change.m_id) != seen.end()) {
        why.set("change " + change.m_id + " was applied before");
        return apply_verdict::rejected_repeated;
    }
    if (is_stale(state, change)) {
        why.set("change " + change.m_id + " is based on an older version");
        return apply_verdict::rejected_stale;
    }
    config_state next = state;
    for (const file_change& file : change.m_files) {
        if (!kind_of_path(file.m_path)) {
            why.set(file.m_path + ": file name is neither service.ini nor team.ini");
            return apply_verdict::rejected_invalid;
        }
        next.m_files[file.m_path] = {offset, file.m_content};
    }
    if (!derive_contracts_and_teams(next, why))
        return apply_verdict::rejected_invalid;
    next.m_recent_ids.push_back(change.m_id);
    if (next.m_recent_ids.size() > max_recent_ids)
        next.m_recent_ids.pop_front();
    state = std::move(next);
    return apply_verdict::accepted;
}

} // namespace

std::optional<apply_verdict> apply_record(config_state& state, const config_record& record, last_reason& why)
{
    if (record.m_offset <= state.m_version && !is_mutant_active(mutant::replay_goes_back))
        return std::nullopt;
    std::optional<apply_verdict> verdict;
    if (record.m_change)
        verdict = apply_change(state, *record.m_change, record.m_offset, why);
    if (record.m_checkpoint)
        state.m_last_checkpoint = record.m_offset;
    state.m_version = record.m_offset;
    return verdict;
}

std::optional<config_state> replay_log(const std::vector<config_record>& records, log_offset first_kept,
                                       last_reason& why)
{
    config_state state;
    for (const config_record& record : records) {
        if (record.m_checkpoint && record.m_checkpoint->m_as_of > state.m_version) {
            if (!adopt_checkpoint(state, *record.m_checkpoint, why))
                return std::nullopt;
            state.m_last_checkpoint = record.m_offset;
        }
    }
    if (state.m_version + 1 < first_kept) {
        why.set("records before offset " + std::to_string(first_kept) +
                " have expired and no checkpoint covers them");
        return std::nullopt;
    }
    for (const config_record& record : records) {
        last_reason ignored;
        apply_record(state, record, ignored);
    }
    return state;
}

config_checkpoint make_checkpoint(const config_state& state)
{
    return {state.m_version, state.m_files, state.m_recent_ids};
}

bool adopt_checkpoint(config_state& state, const config_checkpoint& checkpoint, last_reason& why)
{
    if (checkpoint.m_as_of <= state.m_version) {
        why.set("checkpoint is not newer");
        return false;
    }
    config_state next;
    next.m_version = checkpoint.m_as_of;
    next.m_files = checkpoint.m_files;
    next.m_recent_ids = checkpoint.m_recent_ids;
    next.m_last_checkpoint = state.m_last_checkpoint;
    if (!derive_contracts_and_teams(next, why))
        return false;
    state = std::move(next);
    return true;
}

std::map<std::string, published_file> files_since(const config_state& state, log_offset version)
{
    std::map<std::string, published_file> changed;
    for (const auto& [path, file] : state.m_files) {
        if (file.m_version > version)
            changed.emplace(path, file);
    }
    return changed;
}

} // namespace hawthornpin
