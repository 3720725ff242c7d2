// The placement policies.

#include "routing/placement.h"

#include <algorithm>

namespace hawthornpin {

namespace {

using candidates = std::vector<worker_view*>;

// Quarantined workers are candidates only when their next probe is due.
candidates find_candidates(const placement_state& state, load_view& view, const task_needs& needs,
                           instant now)
{
    candidates found;
    for (auto& [id, worker] : view) {
        const bool is_open =
            worker.m_is_usable && !worker.m_load.m_is_stopped && fits(worker.m_worker, needs);
        if (is_open && is_placeable(state, worker, now))
            found.push_back(&worker);
    }
    if (!found.empty())
        return found;
    // Every candidate is quarantined: a failing worker beats none. A stopped one would only refuse.
    for (auto& [id, worker] : view) {
        if (worker.m_is_usable && !worker.m_load.m_is_stopped && fits(worker.m_worker, needs))
            found.push_back(&worker);
    }
    return found;
}

// Pressure with the distance as a handicap, so that near workers win while they are about as free.
double score(const placement_state& state, const worker_view& worker)
{
    const auto distance = measure_distance(state.m_here, worker.m_worker.where());
    double steps = 0;
    if (distance == link_distance::other_zone)
        steps = 1;
    if (distance == link_distance::other_region)
        steps = 4;
    return believed_pressure(worker) + steps * state.m_settings.m_locality_margin;
}

worker_view* least_loaded(const placement_state& state, const candidates& among, random_source& random)
{
    worker_view* best = nullptr;
    double best_score = 0;
    std::size_t ties = 0;
    for (worker_view* candidate : among) {
        const double candidate_score = score(state, *candidate);
        if (best == nullptr || candidate_score < best_score) {
            best = candidate;
            best_score = candidate_score;
            ties = 1;
        }
        else if (candidate_score == best_score && random_below(random, ++ties) == 0) {
            best = candidate;
        }
    }
    return best;
}

worker_view* choose(placement_state& state, const candidates& among, random_source& random)
{
    if (among.empty())
        return nullptr;
    switch (state.m_settings.m_policy) {
    case placement_policy::random:
        return among[random_below(random, among.size())];
    case placement_policy::round_robin:
        return among[state.m_next++ % among.size()];
    case placement_policy::two_choices:
        return least_loaded(
            state, {among[random_below(random, among.size())], among[random_below(random, among.size())]},
            random);
    case placement_policy::least_loaded:
        break;
    }
    return least_loaded(state, among, random);
}

std::optional<std::string> settle(const placement_state& state, worker_view* chosen, instant now)
{
    if (chosen == nullptr)
        return std::nullopt;
    chosen->m_next_probe = now + state.m_settings.m_quarantine.m_probe_interval;
    return chosen->m_worker.identity().m_id;
}

} // namespace

void refresh_quarantine(placement_state& state, const load_view& view)
{
    state.m_quarantined = find_quarantined(view, state.m_settings.m_quarantine);
}

bool is_placeable(const placement_state& state, const worker_view& worker, instant now)
{
    return !state.m_quarantined.contains(worker.m_worker.identity().m_id) || worker.m_next_probe <= now;
}

std::optional<std::string> choose_home(placement_state& state, load_view& view, const task_needs& needs,
                                       instant now, random_source& random)
{
    const candidates among = find_candidates(state, view, needs, now);
    return settle(state, choose(state, among, random), now);
}

std::optional<std::string> choose_home_ahead(placement_state& state, load_view& view, const task_needs& needs,
                                             instant now)
{
    const candidates among = find_candidates(state, view, needs, now);
    if (among.empty())
        return std::nullopt;
    return settle(state, among[state.m_next++ % among.size()], now);
}

std::optional<std::string> choose_worker(placement_state& state, load_view& view, const std::string& self,
                                         const task_needs& needs, instant now, random_source& random)
{
    candidates among = find_candidates(state, view, needs, now);
    std::erase_if(among, [&](const worker_view* worker) {
        const bool is_self = worker->m_worker.identity().m_id == self;
        return is_self || believed_free(*worker, state.m_settings.m_buffer_per_slot) < 1;
    });
    return settle(state, choose(state, among, random), now);
}

bool can_ever_fit(const load_view& view, const task_needs& needs)
{
    return std::any_of(view.begin(), view.end(),
                       [&](const auto& item) { return fits(item.second.m_worker, needs); });
}

std::optional<placement_policy> placement_policy_from_text(const std::string& text)
{
    if (text == "random")
        return placement_policy::random;
    if (text == "round_robin")
        return placement_policy::round_robin;
    if (text == "two_choices")
        return placement_policy::two_choices;
    if (text == "least_loaded")
        return placement_policy::least_loaded;
    return std::nullopt;
}

} // namespace hawthornpin
