// Simulates messages, connections and processor time.

#include "rpc/link.h"
#include "tests/model/model_processes.h"

#include <utility>

namespace hawthornpin::model {

void platform_model::deliver(process& to, long long delay, std::function<void()> action)
{
    const std::uint64_t incarnation = to.m_incarnation;
    at(m_now + delay, [this, &to, incarnation, action = std::move(action)] {
        if (!to.m_is_up || to.m_incarnation != incarnation)
            return;
        if (to.m_suspended_until > m_now) {
            deliver(to, to.m_suspended_until - m_now, action);
            return;
        }
        run_when_processor_free(to, action);
    });
}

long long platform_model::message_cost_us() const
{
    const model_processors& processors = m_settings.m_processors;
    const long long since = m_now - start_ms - processors.m_shortage_start_ms;
    const bool is_short = since >= 0 && since < processors.m_shortage_length_ms;
    return processors.m_message_cost_us * (is_short ? processors.m_short_cost_factor : 1);
}

void platform_model::run_when_processor_free(process& receiver, std::function<void()> action)
{
    if (m_settings.m_processors.m_message_cost_us == 0) {
        action();
        return;
    }
    const std::uint64_t incarnation = receiver.m_incarnation;
    receiver.m_inbox.emplace_back([&receiver, incarnation, action = std::move(action)] {
        if (receiver.m_is_up && receiver.m_incarnation == incarnation)
            action();
    });
    if (!receiver.m_is_draining_inbox)
        drain_inbox(receiver);
}

void platform_model::drain_inbox(process& receiver)
{
    constexpr long long ms_us = 1'000;
    receiver.m_is_draining_inbox = true;
    receiver.m_busy_until_us = std::max(receiver.m_busy_until_us, m_now * ms_us);
    while (!receiver.m_inbox.empty() && receiver.m_busy_until_us < (m_now + 1) * ms_us) {
        const auto action = std::move(receiver.m_inbox.front());
        receiver.m_inbox.pop_front();
        receiver.m_busy_until_us += message_cost_us();
        action();
    }
    receiver.m_is_draining_inbox = !receiver.m_inbox.empty();
    if (receiver.m_is_draining_inbox)
        at(receiver.m_busy_until_us / ms_us, [this, &receiver] { drain_inbox(receiver); });
}

bool platform_model::connect(process& from, process& to)
{
    // Accepting, challenge and proof; each end handles as many messages.
    constexpr int handshake_steps = 3;
    const auto [link, is_new] = m_links.try_emplace({&from, &to});
    if (!link->second)
        link->second = m_now;
    for (int step = 0; is_new && m_settings.m_processors.m_message_cost_us > 0 && step < handshake_steps;
         ++step) {
        deliver(from, step, [] {});
        deliver(to, step, [] {});
    }
    return !is_new || m_settings.m_processors.m_message_cost_us == 0;
}

void platform_model::record_answer(process& from, process& to)
{
    const auto link = m_links.find({&from, &to});
    if (link != m_links.end())
        link->second.reset();
}

void platform_model::record_timeout(process& from, process& to)
{
    const auto link = m_links.find({&from, &to});
    if (link != m_links.end() && link->second && *link->second + unresponsive_link_timeout.count() <= m_now)
        m_links.erase(link);
}

long long platform_model::draw_retransmission_delay(process& from, process& to)
{
    constexpr long long first_timeout_ms = 200;
    constexpr long long max_timeout_ms = 1'600;
    const int chance = m_settings.m_faults.m_lose_packet;
    if (chance == 0)
        return 0;
    long long delay_ms = 0;
    for (long long timeout_ms = first_timeout_ms; timeout_ms <= max_timeout_ms && random_chance(chance);
         timeout_ms *= 2)
        delay_ms += timeout_ms;
    long long& until = m_held_up_until[{&from, &to}];
    until = std::max(until, m_now + delay_ms);
    return until - m_now;
}

void platform_model::call(process& from, process& to, long long timeout, std::function<void()> action,
                          std::function<void(bool)> on_end)
{
    constexpr long long max_delay_ms = 3'000;
    ++get_second(m_now).m_messages;
    const auto is_over = std::make_shared<bool>(false);
    const auto finish = [this, &from, &to, is_over, on_end](bool is_answered) {
        if (std::exchange(*is_over, true))
            return;
        if (is_answered)
            record_answer(from, to);
        else
            record_timeout(from, to);
        on_end(is_answered);
    };
    const bool is_connected = connect(from, to);
    deliver(from, timeout, [finish] { finish(false); });
    if (m_cut_links.contains({&from, &to}) || random_chance(m_settings.m_faults.m_lose_message))
        return;
    const bool is_delayed = random_chance(m_settings.m_faults.m_delay_message);
    const auto delay_ms = (is_delayed ? static_cast<long long>(random_below(m_random, max_delay_ms)) : 0) +
                          draw_retransmission_delay(from, to);
    constexpr long long handshake_ms = 4;
    deliver(to, 1 + delay_ms + (is_connected ? 0 : handshake_ms),
            [this, &from, &to, action = std::move(action), finish] {
                action();
                if (m_cut_links.contains({&to, &from}) || random_chance(m_settings.m_faults.m_lose_message))
                    return;
                deliver(from, 1 + draw_retransmission_delay(to, from), [finish] { finish(true); });
            });
}

} // namespace hawthornpin::model
