// Merging of evacuation states by offset and time of confirmation.

#include "membership/evacuation.h"

#include <algorithm>

namespace hawthornpin {

namespace {

// Age of a state that was never confirmed, in messages.
constexpr milliseconds unconfirmed_age{UINT32_MAX};

} // namespace

milliseconds max_evacuation_age(const evacuation_limits& limits)
{
    constexpr milliseconds start_in_flight{1'000};
    const milliseconds bound = limits.m_evacuate + limits.m_max_stretch;
    return bound - std::min(start_in_flight, bound / 2);
}

bool is_store_read_due(const evacuation_view& view, const std::string& zone, instant now)
{
    // Homes send the state every 100 ms; it is then up to a second old.
    constexpr milliseconds usual_age{1'500};
    if (!view.m_limits)
        return false;
    const auto age = evacuation_age(view, now);
    const milliseconds tolerated = is_evacuated(view, zone) ? max_evacuation_age(*view.m_limits) : usual_age;
    return !view.m_state || !age || *age > tolerated;
}

void evacuation_state_builder::apply(const evacuation_record& record)
{
    if (record.m_is_evacuated)
        m_state.m_zones.insert(record.m_zone);
    else
        m_state.m_zones.erase(record.m_zone);
}

bool merge_evacuation(evacuation_view& view, const evacuation_state& state,
                      std::optional<instant> confirmed_at, instant now)
{
    if (!view.m_limits)
        return false;
    // Both states contain all records that were acknowledged before the confirmation of the one with the
    // lower offset, so the later confirmation holds for the higher offset in any case.
    if (confirmed_at && *confirmed_at <= now)
        view.m_confirmed_at = std::max(view.m_confirmed_at.value_or(*confirmed_at), *confirmed_at);
    if (view.m_state && state.m_offset <= view.m_state->m_offset)
        return false;
    const bool has_changed = !view.m_state || view.m_state->m_zones != state.m_zones;
    view.m_state = state;
    return has_changed;
}

bool merge_evacuation_report(evacuation_view& view, const evacuation_report& report, instant counted_from,
                             instant now)
{
    const bool is_confirmed = report.m_age < unconfirmed_age;
    return merge_evacuation(view, report.m_state,
                            is_confirmed ? std::optional<instant>(counted_from - report.m_age) : std::nullopt,
                            now);
}

bool is_evacuated(const evacuation_view& view, const std::string& zone)
{
    return view.m_limits && view.m_state && view.m_state->m_zones.contains(zone);
}

bool is_current(const evacuation_view& view, instant now)
{
    if (!view.m_limits)
        return true;
    return view.m_state && view.m_confirmed_at &&
           now <= *view.m_confirmed_at + max_evacuation_age(*view.m_limits);
}

std::optional<milliseconds> evacuation_age(const evacuation_view& view, instant now)
{
    if (!view.m_confirmed_at)
        return std::nullopt;
    // Rounded up: an age is never understated.
    return std::chrono::ceil<milliseconds>(now - *view.m_confirmed_at);
}

std::optional<evacuation_report> make_evacuation_report(const evacuation_view& view, instant now)
{
    if (!view.m_limits || !view.m_state)
        return std::nullopt;
    const milliseconds age = evacuation_age(view, now).value_or(unconfirmed_age);
    return evacuation_report{*view.m_state, std::clamp(age, milliseconds(0), unconfirmed_age)};
}

const char* to_text(start_bar why)
{
    switch (why) {
    case start_bar::none:
        return "none";
    case start_bar::zone_evacuated:
        return "zone_evacuated";
    case start_bar::evacuation_unknown:
        return "evacuation_unknown";
    case start_bar::evacuation_stale:
        break;
    }
    return "evacuation_stale";
}

start_bar find_start_bar(const evacuation_view& view, const std::string& zone, instant now)
{
    if (!view.m_limits)
        return start_bar::none;
    if (is_evacuated(view, zone))
        return start_bar::zone_evacuated;
    if (!view.m_state || !view.m_confirmed_at)
        return start_bar::evacuation_unknown;
    return is_current(view, now) ? start_bar::none : start_bar::evacuation_stale;
}

} // namespace hawthornpin
