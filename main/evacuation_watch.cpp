// Merging, logging and gauges of the evacuated zones.

#include "main/evacuation_watch.h"

#include "core/logging.h"

namespace hawthornpin {

namespace {

const char* to_text(evacuation_source source)
{
    switch (source) {
    case evacuation_source::store:
        return "store";
    case evacuation_source::entry:
        return "entry";
    case evacuation_source::home:
        return "home";
    case evacuation_source::agent:
        break;
    }
    return "agent";
}

std::string join_zones(const std::set<std::string>& zones)
{
    std::string text;
    for (const std::string& zone : zones) {
        if (!text.empty())
            text.push_back(' ');
        text.append(zone);
    }
    return text;
}

} // namespace

evacuation_watch::evacuation_watch(const node_settings& settings, change_receiver receive)
    : m_receive(std::move(receive))
{
    if (settings.m_evacuate_within)
        m_view.m_limits = evacuation_limits{*settings.m_evacuate_within, settings.m_max_evacuation_stretch};
}

bool evacuation_watch::learn_from_store(const evacuation_update& update)
{
    if (!is_enabled())
        return false;
    if (update.m_is_snapshot)
        m_store_state.reset();
    for (const evacuation_record& record : update.m_records)
        m_store_state.apply(record);
    m_store_state.set_offset(update.m_offset);
    const bool has_changed =
        merge_evacuation(m_view, m_store_state.build(), update.m_confirmed_at, boot_now());
    on_learned(has_changed, evacuation_source::store);
    return has_changed;
}

void evacuation_watch::learn(const std::optional<evacuation_report>& report, instant counted_from,
                             evacuation_source source)
{
    if (report && is_enabled())
        on_learned(merge_evacuation_report(m_view, *report, counted_from, boot_now()), source);
}

void evacuation_watch::learn_by_clock(const std::optional<evacuation_report>& report,
                                      std::uint64_t clock_seen, evacuation_source source)
{
    if (clock_seen == 0)
        learn_unconfirmed(report, source);
    else
        learn(report, instant(microseconds(clock_seen)), source);
}

void evacuation_watch::learn_unconfirmed(const std::optional<evacuation_report>& report,
                                         evacuation_source source)
{
    if (report && is_enabled())
        on_learned(merge_evacuation(m_view, report->m_state, std::nullopt, boot_now()), source);
}

void evacuation_watch::on_learned(bool has_changed, evacuation_source source)
{
    if (has_changed) {
        const auto age = evacuation_age(m_view, boot_now());
        log_event(log_level::info, "evacuation_changed",
                  {{"zones", join_zones(m_view.m_state->m_zones)},
                   {"offset", std::to_string(m_view.m_state->m_offset)},
                   {"source", to_text(source)},
                   {"age_ms", age ? std::to_string(age->count()) : "unknown"}});
    }
    m_receive(m_view);
}

void evacuation_watch::log_confirmation()
{
    const bool is_confirmed = is_current(m_view, boot_now());
    if (!is_enabled() || is_confirmed == m_was_current)
        return;
    m_was_current = is_confirmed;
    const auto age = evacuation_age(m_view, boot_now());
    log_event(is_confirmed ? log_level::info : log_level::warning,
              is_confirmed ? "evacuation_confirmed" : "evacuation_unconfirmed",
              {{"age_ms", age ? std::to_string(age->count()) : "unknown"}});
}

void evacuation_watch::set_gauges(metrics& counts) const
{
    if (!is_enabled())
        return;
    counts.set_gauge("evacuated_zones",
                     m_view.m_state ? static_cast<double>(m_view.m_state->m_zones.size()) : 0);
    const auto age = evacuation_age(m_view, boot_now());
    // A state that was never confirmed has no age.
    if (age)
        counts.set_gauge("evacuation_age_seconds", std::chrono::duration<double>(*age).count());
}

} // namespace hawthornpin
