// Reads and applies the configuration stream, and appends checkpoints to it.

#include "main/config_follower.h"

#include "config/record_json.h"
#include "core/logging.h"

namespace hawthornpin {

namespace {

constexpr unsigned poll_wait_ms = 1'000;
constexpr unsigned records_per_read = 256;
constexpr unsigned retry_delay_ms = 200;
constexpr unsigned append_timeout_ms = 5'000;
// Entries that find a checkpoint due at the same time each wait a random time up to this; the first one
// writes it for all.
constexpr unsigned checkpoint_jitter_ms = 5'000;

} // namespace

config_follower::config_follower(log_client log, unsigned checkpoint_every, std::function<void()> on_change,
                                 metrics& counts)
    : m_log(std::move(log)), m_checkpoint_every(checkpoint_every), m_on_change(std::move(on_change)),
      m_metrics(counts), m_random(generate_secure_random())
{
}

void config_follower::start()
{
    m_tasks.add(follow());
}

kj::Promise<void> config_follower::follow()
{
    if (m_needs_bootstrap)
        return bootstrap({}, 1).then([this] { return follow(); });
    m_metrics.count(counter::log_polls);
    return m_log.read(m_state.m_version + 1, poll_wait_ms, records_per_read)
        .then([this](std::optional<log_page> page) -> kj::Promise<void> {
            m_is_log_down = !page;
            if (!page)
                return after_delay(retry_delay_ms).then([this] { return follow(); });
            apply_page(*page);
            return follow();
        });
}

kj::Promise<void> config_follower::bootstrap(std::vector<config_record> records, log_offset from)
{
    m_metrics.count(counter::log_polls);
    return m_log.read(from, 0, records_per_read)
        .then(
            [this, records = std::move(records)](std::optional<log_page> page) mutable -> kj::Promise<void> {
                m_is_log_down = !page;
                if (!page)
                    return after_delay(retry_delay_ms);
                for (const log_record& record : page->m_records)
                    records.push_back(record_from_json(record.m_offset, record.m_body));
                const bool is_complete = records.empty() || records.back().m_offset + 1 >= page->m_next;
                if (!is_complete) {
                    const log_offset next = records.back().m_offset + 1;
                    return bootstrap(std::move(records), next);
                }
                finish_bootstrap(records, page->m_first);
                return m_needs_bootstrap ? after_delay(retry_delay_ms) : kj::Promise<void>(kj::READY_NOW);
            });
}

void config_follower::finish_bootstrap(const std::vector<config_record>& records, log_offset first_kept)
{
    last_reason why;
    const auto replayed_state = replay_log(records, first_kept, why);
    if (!replayed_state) {
        log_event(log_level::error, "config_incomplete", {{"detail", why.text()}});
        return;
    }
    m_needs_bootstrap = false;
    if (replayed_state->m_version <= m_state.m_version)
        return;
    m_state = *replayed_state;
    m_metrics.count(counter::config_changes_applied);
    log_event(log_level::info, "config_in_force", {{"version", std::to_string(m_state.m_version)}});
    m_on_change();
}

void config_follower::apply_page(const log_page& page)
{
    if (page.m_next < m_state.m_version + 1) {
        m_metrics.count(counter::log_tail_lost);
        log_event(
            log_level::error, "log_tail_lost",
            {{"version", std::to_string(m_state.m_version)}, {"log_next", std::to_string(page.m_next)}});
        return;
    }
    if (page.m_first > m_state.m_version + 1) {
        // Records expired before they were read; only a checkpoint can replace them.
        m_needs_bootstrap = true;
        return;
    }
    const log_offset before = m_state.m_version;
    for (const log_record& record : page.m_records) {
        last_reason why;
        const auto change_verdict =
            apply_record(m_state, record_from_json(record.m_offset, record.m_body), why);
        if (!change_verdict)
            continue;
        const bool is_accepted = *change_verdict == apply_verdict::accepted;
        m_metrics.count(is_accepted ? counter::config_changes_applied : counter::config_changes_rejected);
        log_event(log_level::info, is_accepted ? "config_in_force" : "config_rejected",
                  {{"version", std::to_string(record.m_offset)}, {"detail", why.text()}});
    }
    if (m_state.m_version != before)
        m_on_change();
    schedule_checkpoint_if_due();
}

void config_follower::schedule_checkpoint_if_due()
{
    const bool has_enough_records = m_state.m_version >= m_state.m_last_checkpoint + m_checkpoint_every;
    if (!has_enough_records || m_is_checkpoint_due)
        return;
    m_is_checkpoint_due = true;
    const auto jitter = static_cast<unsigned>(random_below(m_random, checkpoint_jitter_ms));
    m_tasks.add(after_delay(jitter).then([this] {
        m_is_checkpoint_due = false;
        const bool is_still_needed = m_state.m_version >= m_state.m_last_checkpoint + m_checkpoint_every;
        if (is_still_needed)
            append_checkpoint();
    }));
}

void config_follower::append_checkpoint()
{
    // A checkpoint may be written twice without harm, so the result of a lost append need not be found out.
    m_metrics.count(counter::log_appends);
    m_is_checkpoint_due = true;
    m_tasks.add(
        m_log.append(to_json(make_checkpoint(m_state)), append_timeout_ms).then([this](append_result result) {
            m_is_checkpoint_due = false;
            const bool is_written = result.m_status == append_status::written;
            log_event(log_level::info, is_written ? "checkpoint_written" : "checkpoint_uncertain");
        }));
}

void config_follower::adopt_peer_checkpoint(const std::string& json)
{
    const config_record record = record_from_json(no_offset, json);
    last_reason why;
    if (!record.m_checkpoint || !adopt_checkpoint(m_state, *record.m_checkpoint, why))
        return;
    // The state is complete, so the log can be followed from here once it answers again.
    m_needs_bootstrap = false;
    m_metrics.count(counter::config_changes_applied);
    log_event(log_level::info, "config_from_peer", {{"version", std::to_string(m_state.m_version)}});
    m_on_change();
}

} // namespace hawthornpin
