// The GLib source that polls epoll and fires the timers.

#include "core/reactor.h"

#include <array>
#include <sys/epoll.h>
#include <unistd.h>
#include <utility>

namespace hawthornpin {

namespace {

constexpr std::int64_t us_per_millisecond = 1'000;

} // namespace

struct reactor::poll_source {
    GSource m_base;
    reactor* m_reactor;
    gpointer m_poll_tag;
};

reactor& reactor::instance()
{
    static reactor singleton;
    return singleton;
}

reactor::reactor()
    : m_poll_descriptor(::epoll_create1(EPOLL_CLOEXEC)), m_poll_began_at(boot_now()),
      m_reported_until(m_poll_began_at)
{
    static GSourceFuncs functions = {prepare, check, dispatch, nullptr, nullptr, nullptr};
    GSource* source = g_source_new(&functions, sizeof(poll_source));
    m_source = reinterpret_cast<poll_source*>(source);
    m_source->m_reactor = this;
    m_source->m_poll_tag = g_source_add_unix_fd(source, m_poll_descriptor, G_IO_IN);
    // GLib removes the descriptors of a source that can't recurse from its poll set during a dispatch, and
    // wakes the loop for the removal and for the return.
    g_source_set_can_recurse(source, TRUE);
    g_source_attach(source, nullptr);
}

reactor::~reactor()
{
    g_source_destroy(&m_source->m_base);
    g_source_unref(&m_source->m_base);
    ::close(m_poll_descriptor);
}

gboolean reactor::prepare(GSource* source, gint* timeout)
{
    reactor& self = *reinterpret_cast<poll_source*>(source)->m_reactor;
    ++self.m_iterations;
    self.m_poll_began_at = boot_now();
    *timeout = -1;
    if (self.m_timers.empty())
        return FALSE;
    const std::int64_t left_us = self.m_timers.begin()->first - g_source_get_time(source);
    if (left_us <= 0)
        return TRUE;
    // Rounded up, so that the timer is due when the poll ends.
    *timeout = static_cast<gint>((left_us + us_per_millisecond - 1) / us_per_millisecond);
    return FALSE;
}

gboolean reactor::check(GSource* source)
{
    const auto* polled = reinterpret_cast<poll_source*>(source);
    reactor& self = *polled->m_reactor;
    // Done here and not in dispatch(), so that sources that check a watch are dispatched in the same
    // iteration.
    if (g_source_query_unix_fd(source, polled->m_poll_tag) != 0)
        self.handle_descriptor_events();
    else
        self.m_reported_until = self.m_poll_began_at;
    const bool is_timer_due =
        !self.m_timers.empty() && self.m_timers.begin()->first <= g_source_get_time(source);
    return is_timer_due || self.m_has_handled_events ? TRUE : FALSE;
}

gboolean reactor::dispatch(GSource* source, GSourceFunc /*callback*/, gpointer /*data*/)
{
    const auto* polled = reinterpret_cast<poll_source*>(source);
    reactor& self = *polled->m_reactor;
    // Input is handled before timers fire: after a pause of the process, responses that arrived in time must
    // not be taken for late ones.
    if (!self.m_has_handled_events && g_source_query_unix_fd(source, polled->m_poll_tag) != 0)
        self.handle_descriptor_events();
    if (std::exchange(self.m_has_handled_events, false))
        self.run_post_dispatch_hook();
    if (self.fire_timers())
        self.run_post_dispatch_hook();
    return G_SOURCE_CONTINUE;
}

void reactor::run_post_dispatch_hook()
{
    if (m_post_dispatch_hook)
        m_post_dispatch_hook();
}

bool reactor::fire_timers()
{
    const std::int64_t now = g_get_monotonic_time();
    bool has_fired = false;
    while (!m_timers.empty() && m_timers.begin()->first <= now) {
        delay_timer& due = *m_timers.begin()->second;
        m_timers.erase(m_timers.begin());
        due.m_position.reset();
        due.m_fulfiller.fulfill();
        has_fired = true;
    }
    return has_fired;
}

void reactor::handle_descriptor_events()
{
    m_has_handled_events = true;
    // Bounds the time for which timers wait while events keep coming. Further events are handled in the next
    // iteration.
    constexpr int max_polls = 16;
    for (int polls = 0; polls < max_polls; ++polls) {
        if (report_events())
            return;
    }
}

bool reactor::report_events()
{
    constexpr int max_events = 64;
    std::array<epoll_event, max_events> events;
    const instant polled_at = boot_now();
    const int count = ::epoll_wait(m_poll_descriptor, events.data(), max_events, 0);
    for (int index = 0; index < count; ++index) {
        const epoll_event& event = events.at(static_cast<std::size_t>(index));
        const auto watch = m_watches.find(event.data.fd);
        if (watch != m_watches.end())
            watch->second->on_events(event.events, m_reported_until);
    }
    if (count == max_events)
        return false;
    if (count >= 0)
        m_reported_until = polled_at;
    return true;
}

descriptor_watch::descriptor_watch(int descriptor, interest wanted) : m_descriptor(descriptor)
{
    reactor& owner = reactor::instance();
    owner.m_watches[descriptor] = this;
    epoll_event event{};
    event.events = EPOLLIN | EPOLLRDHUP | EPOLLET;
    if (wanted == interest::both)
        event.events |= EPOLLOUT;
    event.data.fd = descriptor;
    ::epoll_ctl(owner.m_poll_descriptor, EPOLL_CTL_ADD, descriptor, &event);
}

descriptor_watch::~descriptor_watch()
{
    reactor& owner = reactor::instance();
    const auto own = owner.m_watches.find(m_descriptor);
    // A library may have closed the descriptor, and another connection may have reused its number since.
    if (own == owner.m_watches.end() || own->second != this)
        return;
    owner.m_watches.erase(own);
    ::epoll_ctl(owner.m_poll_descriptor, EPOLL_CTL_DEL, m_descriptor, nullptr);
}

kj::Promise<void> descriptor_watch::wait(direction& awaited)
{
    if (awaited.m_is_ready) {
        awaited.m_is_ready = false;
        return kj::READY_NOW;
    }
    auto pair = kj::newPromiseAndFulfiller<void>();
    awaited.m_waiter = kj::mv(pair.fulfiller);
    return kj::mv(pair.promise);
}

void descriptor_watch::set_ready(direction& changed)
{
    if (changed.m_waiter.get() == nullptr || !changed.m_waiter->isWaiting()) {
        changed.m_is_ready = true;
        return;
    }
    changed.m_waiter->fulfill();
    changed.m_waiter = nullptr;
}

instant descriptor_watch::unread_since() const
{
    return m_unread_since.value_or(reactor::instance().m_reported_until);
}

void descriptor_watch::on_events(std::uint32_t events, instant unreported_since)
{
    constexpr std::uint32_t failures = EPOLLERR | EPOLLHUP;
    const bool is_end = (events & (EPOLLRDHUP | failures)) != 0;
    m_has_hung_up = m_has_hung_up || is_end;
    if ((events & EPOLLIN) != 0 && !m_unread_since)
        m_unread_since = unreported_since;
    if ((events & (EPOLLIN | EPOLLRDHUP | failures)) != 0)
        set_ready(m_readable);
    if ((events & (EPOLLOUT | failures)) != 0)
        set_ready(m_writable);
    if (is_end && m_hangup_callback)
        std::exchange(m_hangup_callback, {})();
}

void descriptor_watch::set_hangup_callback(std::function<void()> action)
{
    m_hangup_callback = std::move(action);
    if (m_has_hung_up && m_hangup_callback)
        std::exchange(m_hangup_callback, {})();
}

delay_timer::delay_timer(kj::PromiseFulfiller<void>& fulfiller, unsigned delay_ms) : m_fulfiller(fulfiller)
{
    const std::int64_t due = g_get_monotonic_time() + delay_ms * us_per_millisecond;
    m_position = reactor::instance().m_timers.emplace(due, this);
}

delay_timer::~delay_timer()
{
    if (m_position)
        reactor::instance().m_timers.erase(*m_position);
}

} // namespace hawthornpin
