// The store of the model and its operator, who evacuates zones; how processes learn of that; and the check
// that nothing starts in an evacuated zone.

#include "tests/model/model_processes.h"

#include <algorithm>
#include <utility>

namespace hawthornpin::model {

namespace {

constexpr long long read_wait_ms = 500;
constexpr long long read_poll_ms = 10;
constexpr long long read_retry_ms = 250;
constexpr long long read_timeout_ms = 1'500;
constexpr long long share_interval_ms = 400;

} // namespace

void platform_model::toggle_evacuation()
{
    if (is_store_down())
        return;
    const std::string zone = "zone-" + std::to_string(random_below(m_random, m_settings.m_zones));
    const auto evacuated = m_evacuated_zones.find(zone);
    m_operator_log.push_back({zone, evacuated == m_evacuated_zones.end()});
    if (evacuated == m_evacuated_zones.end())
        m_evacuated_zones[zone] = {m_now, m_last_rejection_end >= m_now};
    else
        m_evacuated_zones.erase(evacuated);
    ++m_result.m_operator_records;
}

void platform_model::inject_store_faults()
{
    constexpr long long min_rejection_ms = 500;
    // The store's operators promise 9 s at most. Longer ones are the same as a cut link to the store.
    constexpr std::size_t rejection_spread_ms = 14'000;
    constexpr long long outage_ms = 6'000;
    if (!m_settings.m_evacuation)
        return;
    const model_faults& faults = m_settings.m_faults;
    if (draw_fault(faults.m_evacuate_zone))
        toggle_evacuation();
    if (draw_fault(faults.m_store_down))
        m_store_down_until = m_now + outage_ms;
    for (process* reader : list_store_readers()) {
        if (!draw_fault(faults.m_reject_reads))
            continue;
        reader->m_rejected_until =
            m_now + min_rejection_ms + static_cast<long long>(random_below(m_random, rejection_spread_ms));
        m_last_rejection_end = std::max(m_last_rejection_end, reader->m_rejected_until);
        for (auto& [zone, evacuated] : m_evacuated_zones) {
            if (m_now < evacuated.m_evacuated_ms + m_settings.m_evacuation->m_evacuate.count())
                evacuated.m_is_extended = true;
        }
    }
}

std::vector<platform_model::process*> platform_model::list_store_readers() const
{
    std::vector<process*> readers;
    for (const auto& agent : m_agents)
        readers.push_back(agent.get());
    for (const auto& home : m_home_processes)
        readers.push_back(home.get());
    for (const auto& entry : m_forwarding_entries)
        readers.push_back(entry.get());
    return readers;
}

void platform_model::begin_evacuation_state(process& reader)
{
    reader.m_evacuation = evacuation_view();
    reader.m_evacuation.m_limits = m_settings.m_evacuation;
    reader.m_is_reading_store = false;
    reader.m_next_store_read = m_now;
}

void platform_model::read_store(process& reader, std::size_t from, long long wait_ms,
                                std::function<void(std::size_t)> on_end)
{
    constexpr int unanswered_per_mille = 500;
    const bool is_rejected = is_store_down() || reader.m_rejected_until > m_now;
    if (is_rejected) {
        const long long delay = random_chance(unanswered_per_mille) ? read_timeout_ms : 1;
        deliver(reader, delay, [from, on_end = std::move(on_end)] { on_end(from); });
        return;
    }
    answer_read(reader, from, m_now, m_now + wait_ms, std::move(on_end));
}

void platform_model::answer_read(process& reader, std::size_t from, long long sent, long long until,
                                 std::function<void(std::size_t)> on_end)
{
    if (m_operator_log.size() <= from && m_now < until) {
        at(m_now + read_poll_ms, [this, &reader, from, sent, until, on_end = std::move(on_end)] {
            answer_read(reader, from, sent, until, on_end);
        });
        return;
    }
    evacuation_state_builder state;
    for (const evacuation_record& record : m_operator_log)
        state.apply(record);
    state.set_offset(static_cast<std::int64_t>(m_operator_log.size()));
    deliver(reader, 1,
            [this, &reader, state = state.build(), sent, next = m_operator_log.size(),
             on_end = std::move(on_end)] {
                merge_evacuation(reader.m_evacuation, state, instant(milliseconds(sent)), now());
                on_end(next);
            });
}

void platform_model::follow_store(process& reader, std::size_t from)
{
    if (!m_settings.m_evacuation)
        return;
    read_store(reader, from, read_wait_ms, [this, &reader, from, sent = m_now](std::size_t next) {
        const bool is_answered = next > from || m_now >= sent + read_wait_ms;
        deliver(reader, is_answered ? 0 : read_retry_ms,
                [this, &reader, next] { follow_store(reader, next); });
    });
}

void platform_model::read_store_if_due(process& reader)
{
    constexpr milliseconds read_after{1'500};
    constexpr long long read_interval_ms = 1'000;
    constexpr std::size_t jitter_ms = 250;
    if (!m_settings.m_evacuation || reader.m_is_reading_store || m_now < reader.m_next_store_read)
        return;
    if (evacuation_age(reader.m_evacuation, now()).value_or(milliseconds::max()) <= read_after)
        return;
    reader.m_is_reading_store = true;
    reader.m_next_store_read =
        m_now + read_interval_ms + static_cast<long long>(random_below(m_random, jitter_ms));
    read_store(reader, 0, 0, [&reader](std::size_t) { reader.m_is_reading_store = false; });
}

void platform_model::learn_by_clock(process& receiver, const std::optional<evacuation_report>& report,
                                    std::uint64_t clock_seen)
{
    if (!report)
        return;
    if (clock_seen == 0)
        merge_evacuation(receiver.m_evacuation, report->m_state, std::nullopt, now());
    else
        merge_evacuation_report(receiver.m_evacuation, *report, instant(microseconds(clock_seen)), now());
}

void platform_model::exchange_evacuation(process& from, process& to)
{
    if (!m_settings.m_evacuation)
        return;
    const auto answer = std::make_shared<std::optional<evacuation_report>>();
    const auto report = make_evacuation_report(from.m_evacuation, now());
    call(
        from, to, call_timeout_ms,
        [this, &to, report, answer] {
            if (report)
                merge_evacuation(to.m_evacuation, report->m_state, std::nullopt, now());
            *answer = make_evacuation_report(to.m_evacuation, now());
        },
        [this, &from, answer, sent = now()](bool is_answered) {
            if (is_answered && *answer)
                merge_evacuation_report(from.m_evacuation, **answer, sent, now());
        });
}

void platform_model::share_evacuation(process& entry)
{
    if (!m_settings.m_evacuation)
        return;
    std::vector<process*> others;
    for (const auto& home : m_home_processes) {
        if (!m_settings.m_is_forwarding && home.get() != &entry)
            others.push_back(home.get());
    }
    for (const auto& other : m_forwarding_entries) {
        if (other.get() != &entry)
            others.push_back(other.get());
    }
    if (!others.empty())
        exchange_evacuation(entry, *others[random_below(m_random, others.size())]);
    deliver(entry, share_interval_ms, [this, &entry] { share_evacuation(entry); });
}

void platform_model::check_evacuation(const agent_process& agent)
{
    const auto evacuated = m_evacuated_zones.find(agent.m_guard.m_zone);
    if (!m_settings.m_evacuation || evacuated == m_evacuated_zones.end())
        return;
    const bool is_extended = evacuated->second.m_is_extended;
    const milliseconds bound = m_settings.m_evacuation->m_evacuate +
                               (is_extended ? m_settings.m_evacuation->m_max_stretch : milliseconds(0));
    if (m_now >= evacuated->second.m_evacuated_ms + bound.count())
        fail("EVAC: a run starts in " + agent.m_guard.m_zone);
}

} // namespace hawthornpin::model
