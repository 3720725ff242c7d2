// State changes of grants at a worker.

#include "dispatch/grant_table.h"

#include "core/fault_injection.h"

#include <algorithm>

namespace hawthornpin {

namespace {

constexpr outcome expired_grant{verdict::not_run, reason::ticket_expired, ticket_state::closed};

grant_record* find(grant_table& table, const grant_id& id)
{
    const auto found = table.m_grants.find(id);
    return found == table.m_grants.end() ? nullptr : &found->second;
}

// Outcome to reply to a repeated or late copy of a known grant.
outcome get_repeat_outcome(const grant_record& known)
{
    switch (known.m_phase) {
    case grant_phase::refused:
        return {verdict::not_run, reason::worker_full, ticket_state::closed};
    case grant_phase::revoked:
        return {verdict::not_run, reason::revoked, ticket_state::closed};
    case grant_phase::queued:
    case grant_phase::running:
    case grant_phase::finished:
        break;
    }
    return {verdict::may_have_run, reason::connection_lost, ticket_state::closed};
}

void store(grant_table& table, const grant& offered, grant_phase phase, instant now)
{
    grant_record& record = table.m_grants[offered.m_id];
    record = grant_record();
    record.m_phase = phase;
    record.m_attempt = offered.m_attempt;
    record.m_home = offered.m_home;
    record.m_team = offered.m_team;
    record.m_budget = offered.m_budget;
    record.m_estimated = offered.m_estimated;
    record.m_received_at = now;
    record.m_valid_until = offered.m_valid_until;
    if (phase == grant_phase::queued)
        record.m_payload = offered.m_payload;
    table.m_by_validity.emplace(offered.m_valid_until, offered.m_id);
}

void remove_running(grant_table& table, const grant_id& id, const grant_record& record)
{
    table.m_running.erase(id);
    const auto team = table.m_running_by_team.find(record.m_team);
    if (team != table.m_running_by_team.end() && --team->second == 0)
        table.m_running_by_team.erase(team);
}

} // namespace

bool is_repeat(const grant_table& table, const grant& offered)
{
    const auto known = table.m_grants.find(offered.m_id);
    if (known == table.m_grants.end())
        return false;
    return known->second.m_phase != grant_phase::refused || offered.m_attempt <= known->second.m_attempt;
}

std::optional<outcome> offer_grant(grant_table& table, const grant& offered, instant now)
{
    if (offered.m_valid_until <= now)
        return expired_grant;
    if (is_repeat(table, offered)) {
        const grant_record& known = table.m_grants.at(offered.m_id);
        const bool restarts_finished =
            is_mutant_active(mutant::duplicate_grant_starts_again) && known.m_phase == grant_phase::finished;
        if (!restarts_finished)
            return get_repeat_outcome(known);
    }
    store(table, offered, grant_phase::queued, now);
    ++table.m_queued;
    return std::nullopt;
}

void refuse_grant(grant_table& table, const grant& refused)
{
    const grant_record* known = find(table, refused.m_id);
    if (known != nullptr && known->m_phase != grant_phase::refused)
        return;
    if (!is_mutant_active(mutant::refusal_drops_tombstone))
        store(table, refused, grant_phase::refused, {});
}

bool begin_run(grant_table& table, const grant_id& id, instant now)
{
    grant_record* record = find(table, id);
    if (record == nullptr || record->m_phase != grant_phase::queued || record->m_valid_until <= now)
        return false;
    record->m_phase = grant_phase::running;
    record->m_started_at = now;
    --table.m_queued;
    table.m_running.insert(id);
    ++table.m_running_by_team[record->m_team];
    return true;
}

std::optional<grant_record> end_run(grant_table& table, const grant_id& id)
{
    grant_record* record = find(table, id);
    if (record == nullptr || record->m_phase != grant_phase::running)
        return std::nullopt;
    if (!(record->m_is_stopping && is_mutant_active(mutant::slot_leaks_on_stop)))
        remove_running(table, id, *record);
    record->m_phase = grant_phase::finished;
    record->m_payload = std::string();
    return *record;
}

std::optional<grant_record> return_unstarted(grant_table& table, const grant_id& id)
{
    grant_record* record = find(table, id);
    if (record == nullptr)
        return std::nullopt;
    if (record->m_phase == grant_phase::running)
        remove_running(table, id, *record);
    else if (record->m_phase == grant_phase::queued)
        --table.m_queued;
    else
        return std::nullopt;
    record->m_phase = grant_phase::refused;
    const grant_record returned = *record;
    record->m_payload = std::string();
    return returned;
}

outcome revoke_grant(grant_table& table, const grant_id& id, instant valid_until)
{
    grant_record* record = find(table, id);
    if (record == nullptr) {
        grant unknown;
        unknown.m_id = id;
        unknown.m_valid_until = valid_until;
        if (!is_mutant_active(mutant::revoke_drops_tombstone))
            store(table, unknown, grant_phase::revoked, {});
        return {verdict::not_run, reason::revoked, ticket_state::closed};
    }
    switch (record->m_phase) {
    case grant_phase::queued:
        --table.m_queued;
        [[fallthrough]];
    case grant_phase::refused:
        record->m_phase = grant_phase::revoked;
        record->m_payload = std::string();
        [[fallthrough]];
    case grant_phase::revoked:
        return {verdict::not_run, reason::revoked, ticket_state::closed};
    case grant_phase::running:
        return {verdict::may_have_run, reason::revoked, ticket_state::closed};
    case grant_phase::finished:
        break;
    }
    return {verdict::ran, reason::revoked, ticket_state::closed};
}

std::vector<grant_id> queued_grants(const grant_table& table)
{
    std::vector<grant_id> queued;
    for (const auto& [id, record] : table.m_grants) {
        if (record.m_phase == grant_phase::queued)
            queued.push_back(id);
    }
    std::sort(queued.begin(), queued.end());
    return queued;
}

void drop_expired(grant_table& table, instant now)
{
    while (!table.m_by_validity.empty() && table.m_by_validity.begin()->first <= now) {
        const auto [validity, id] = *table.m_by_validity.begin();
        table.m_by_validity.erase(table.m_by_validity.begin());
        const auto found = table.m_grants.find(id);
        if (found == table.m_grants.end() || found->second.m_valid_until > validity)
            continue;
        const grant_phase phase = found->second.m_phase;
        if (phase == grant_phase::queued || phase == grant_phase::running) {
            // The task has not ended yet; its record is checked again later.
            constexpr milliseconds recheck_interval{1'000};
            table.m_by_validity.emplace(now + recheck_interval, id);
            found->second.m_valid_until = phase == grant_phase::queued ? validity : now + recheck_interval;
            continue;
        }
        table.m_grants.erase(found);
    }
}

} // namespace hawthornpin
