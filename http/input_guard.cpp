// Book-keeping of connections and bodies, and the ends that the limits cause.

#include "http/input_guard.h"

#include "core/logging.h"

#include <algorithm>

namespace hawthornpin {

namespace {

// Resolution of the timeouts of bodies.
constexpr unsigned sweep_interval_ms = 250;
// A crowd of clients must not cause a log line each.
constexpr milliseconds log_interval{1'000};
constexpr std::array counted_reasons = {reason::body_budget, reason::body_stalled, reason::body_too_slow,
                                        reason::too_many_connections};

} // namespace

input_guard::input_guard(const input_limits& limits) : m_limits(limits)
{
    m_budget.m_limits = limits.m_bodies;
}

bool input_guard::make_room()
{
    if (m_connections.size() < m_limits.m_max_connections)
        return true;
    connection_list::iterator closed = m_connections.end();
    connection_state closed_state;
    for (auto position = m_connections.begin(); position != m_connections.end(); ++position) {
        const connection_state state = (*position)->state();
        if (state.m_phase == connection_phase::handling)
            continue;
        if (closed != m_connections.end() && !is_closed_before(state, closed_state))
            continue;
        closed = position;
        closed_state = state;
    }
    count_end(reason::too_many_connections);
    if (closed == m_connections.end())
        return false;
    (*closed)->end(reason::too_many_connections);
    return true;
}

input_guard::connection_list::iterator input_guard::add_connection(guarded_connection& connection)
{
    return m_connections.insert(m_connections.end(), &connection);
}

void input_guard::remove_connection(connection_list::iterator position)
{
    m_connections.erase(position);
}

std::uint64_t input_guard::begin_body(guarded_connection& owner)
{
    const std::uint64_t id = hawthornpin::begin_body(m_budget, boot_now());
    m_body_owners[id] = &owner;
    schedule_sweep();
    return id;
}

bool input_guard::reserve_body(std::uint64_t id, std::size_t bytes)
{
    const reservation result = hawthornpin::reserve_body(m_budget, id, bytes, boot_now());
    for (const std::uint64_t evicted : result.m_evicted)
        end_owner(evicted, reason::body_budget);
    return result.m_is_granted;
}

void input_guard::record_body_read(std::uint64_t id)
{
    ++m_body_reads;
    record_body_progress(m_budget, id, boot_now());
}

void input_guard::end_body(std::uint64_t id)
{
    hawthornpin::end_body(m_budget, id);
    m_body_owners.erase(id);
}

void input_guard::end_owner(std::uint64_t id, reason why)
{
    const auto found = m_body_owners.find(id);
    if (found == m_body_owners.end())
        return;
    guarded_connection& owner = *found->second;
    m_body_owners.erase(found);
    count_end(why);
    owner.end(why);
}

void input_guard::schedule_sweep()
{
    if (m_is_sweeping)
        return;
    m_is_sweeping = true;
    m_sweep = sweep().eagerlyEvaluate(nullptr);
}

kj::Promise<void> input_guard::sweep()
{
    return after_delay(sweep_interval_ms).then([this]() -> kj::Promise<void> {
        for (const overdue_body& overdue : take_overdue_bodies(m_budget, boot_now()))
            end_owner(overdue.m_id, overdue.m_reason);
        log_ends(boot_now());
        if (!m_budget.m_bodies.empty())
            return sweep();
        m_is_sweeping = false;
        return kj::READY_NOW;
    });
}

void input_guard::count_end(reason why)
{
    ++m_ends.at(static_cast<std::size_t>(why));
    log_ends(boot_now());
}

void input_guard::log_ends(instant now)
{
    if (m_logged_at && now < *m_logged_at + log_interval)
        return;
    for (const reason why : counted_reasons) {
        const auto index = static_cast<std::size_t>(why);
        const std::uint64_t count = m_ends.at(index) - m_logged_ends.at(index);
        if (count == 0)
            continue;
        m_logged_at = now;
        m_logged_ends.at(index) = m_ends.at(index);
        log_event(log_level::warning, "input_refused",
                  {{"reason", std::string(to_text(why))},
                   {"count", std::to_string(count)},
                   {"body_bytes", std::to_string(m_budget.m_bytes)},
                   {"connections", std::to_string(m_connections.size())}});
    }
}

void input_guard::report(metrics& counts)
{
    for (const reason why : counted_reasons) {
        const auto index = static_cast<std::size_t>(why);
        counts.count_refusal(why, m_ends.at(index) - m_reported_ends.at(index));
        m_reported_ends.at(index) = m_ends.at(index);
    }
    log_ends(boot_now());
    counts.set_gauge("http_body_bytes", static_cast<double>(m_budget.m_bytes));
    counts.set_gauge("http_bodies_in_progress", static_cast<double>(m_budget.m_bodies.size()));
}

} // namespace hawthornpin
