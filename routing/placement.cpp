// The placement policies.

#include "routing/placement.h"

#include <algorithm>

namespace hawthornpin {

namespace {

using candidate_list = std::vector<worker_view*>;

// Workers that accept tasks and fit the needs. A quarantined one is included only when its next probe is due.
candidate_list find_candidates(const placement_state& state, load_view& view, const task_needs& needs,
                               instant now)
{
    candidate_list found;
    for (auto& [id, worker] : view) {
        const bool is_eligible =
            worker.m_is_usable && !worker.m_load.m_is_stopped && fits(worker.m_worker, needs);
        if (is_eligible && is_placeable(state, worker, now))
            found.push_back(&worker);
    }
    if (!found.empty())
        return found;
    // Every candidate is quarantined: a failing worker is better than none. A stopped worker would refuse the
    // task and stays excluded.
    for (auto& [id, worker] : view) {
        if (worker.m_is_usable && !worker.m_load.m_is_stopped && fits(worker.m_worker, needs))
            found.push_back(&worker);
    }
    return found;
}

// Load per slot plus a penalty for distance, so that near workers are preferred at about equal load. The
// lowest score is best.
double score(const placement_state& state, const worker_view& worker)
{
    const auto distance = measure_distance(state.m_own_place, worker.m_worker.where());
    double steps = 0;
    if (distance == link_distance::other_zone)
        steps = 1;
    if (distance == link_distance::other_region)
        steps = 4;
    return estimated_load_per_slot(worker) + steps * state.m_settings.m_locality_margin;
}

worker_view* least_loaded(const placement_state& state, const candidate_list& candidates,
                          random_source& random)
{
    worker_view* best = nullptr;
    double best_score = 0;
    std::size_t ties = 0;
    for (worker_view* candidate : candidates) {
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

worker_view* choose(placement_state& state, const candidate_list& candidates, random_source& random)
{
    if (candidates.empty())
        return nullptr;
    switch (state.m_settings.m_policy) {
    case placement_policy::random:
        return candidates[random_below(random, candidates.size())];
    case placement_policy::round_robin:
        return candidates[state.m_next++ % candidates.size()];
    case placement_policy::two_choices:
        return least_loaded(state,
                            {candidates[random_below(random, candidates.size())],
                             candidates[random_below(random, candidates.size())]},
                            random);
    case placement_policy::least_loaded:
        break;
    }
    return least_loaded(state, candidates, random);
}

std::optional<std::string> record_choice(const placement_state& state, worker_view* chosen, instant now)
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
    const candidate_list candidates = find_candidates(state, view, needs, now);
    return record_choice(state, choose(state, candidates, random), now);
}

std::optional<std::string> choose_home_for_ticket(placement_state& state, load_view& view,
                                                  const task_needs& needs, instant now)
{
    const candidate_list candidates = find_candidates(state, view, needs, now);
    if (candidates.empty())
        return std::nullopt;
    return record_choice(state, candidates[state.m_next++ % candidates.size()], now);
}

std::optional<std::string> choose_worker(placement_state& state, load_view& view, const std::string& self,
                                         const task_needs& needs, instant now, random_source& random)
{
    candidate_list candidates = find_candidates(state, view, needs, now);
    std::erase_if(candidates, [&](const worker_view* worker) {
        const bool is_self = worker->m_worker.identity().m_id == self;
        return is_self || estimated_free_slots(*worker, state.m_settings.m_buffer_per_slot) < 1;
    });
    return record_choice(state, choose(state, candidates, random), now);
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
