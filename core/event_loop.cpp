// KJ event loop, timers and signal handlers on the GLib main context.

#include "core/event_loop.h"

#include "core/logging.h"
#include "core/reactor.h"

#include <glib-unix.h>

#include <utility>

namespace hawthornpin {

struct glib_event_port::event_source {
    GSource m_base;
    glib_event_port* m_port;
};

glib_event_port::glib_event_port()
{
    static GSourceFuncs functions = {prepare, check, dispatch, nullptr, nullptr, nullptr};
    m_source = reinterpret_cast<event_source*>(g_source_new(&functions, sizeof(event_source)));
    m_source->m_port = this;
    g_source_attach(&m_source->m_base, nullptr);
}

glib_event_port::~glib_event_port() noexcept(false)
{
    g_source_destroy(&m_source->m_base);
    g_source_unref(&m_source->m_base);
}

bool glib_event_port::wait()
{
    g_main_context_iteration(nullptr, TRUE);
    return false;
}

bool glib_event_port::poll()
{
    while (g_main_context_iteration(nullptr, FALSE) != FALSE) {
    }
    return false;
}

void glib_event_port::setRunnable(bool runnable)
{
    m_is_runnable = runnable;
}

void glib_event_port::wake() const
{
    g_main_context_wakeup(nullptr);
}

gboolean glib_event_port::prepare(GSource* source, gint* timeout)
{
    *timeout = -1;
    return check(source);
}

gboolean glib_event_port::check(GSource* source)
{
    return reinterpret_cast<event_source*>(source)->m_port->m_is_runnable ? TRUE : FALSE;
}

gboolean glib_event_port::dispatch(GSource* source, GSourceFunc /*callback*/, gpointer /*data*/)
{
    reinterpret_cast<event_source*>(source)->m_port->run_pending_events();
    return G_SOURCE_CONTINUE;
}

void glib_event_port::run_pending_events()
{
    // Limits the events per dispatch, so that timers and new connections are served under a flood of calls.
    constexpr uint max_events = 1000;
    if (m_loop != nullptr && m_is_runnable)
        m_loop->run(max_events);
}

event_loop::event_loop()
    : m_loop(std::make_unique<kj::EventLoop>(m_port)), m_main_loop(g_main_loop_new(nullptr, FALSE))
{
    m_port.attach(*m_loop);
    reactor::instance().set_post_dispatch_hook([this] { m_port.run_pending_events(); });
    m_wait_scope = std::make_unique<kj::WaitScope>(*m_loop);
}

event_loop::~event_loop()
{
    reactor::instance().set_post_dispatch_hook({});
    g_main_loop_unref(m_main_loop);
}

void event_loop::run()
{
    g_main_loop_run(m_main_loop);
}

void event_loop::stop()
{
    g_main_loop_quit(m_main_loop);
}

timer::timer(unsigned delay_ms, std::function<bool()> action)
    : m_action(std::move(action)), m_source(g_timeout_add(delay_ms, fire, this))
{
}

timer::~timer()
{
    if (m_source != 0)
        g_source_remove(m_source);
}

gboolean timer::fire(gpointer data)
{
    auto* self = static_cast<timer*>(data);
    if (self->m_action())
        return G_SOURCE_CONTINUE;
    self->m_source = 0;
    return G_SOURCE_REMOVE;
}

signal_watch::signal_watch(int signal_number, std::function<void()> action)
    : m_action(std::move(action)), m_source(g_unix_signal_add(signal_number, fire, this))
{
}

signal_watch::~signal_watch()
{
    g_source_remove(m_source);
}

gboolean signal_watch::fire(gpointer data)
{
    static_cast<signal_watch*>(data)->m_action();
    return G_SOURCE_CONTINUE;
}

kj::Promise<void> after_delay(unsigned delay_ms)
{
    return kj::newAdaptedPromise<void, delay_timer>(delay_ms);
}

void coalesced_call::schedule()
{
    if (std::exchange(m_is_scheduled, true))
        return;
    m_tasks.add(kj::evalLater([this] {
        m_is_scheduled = false;
        m_action();
    }));
}

void background_tasks::taskFailed(kj::Exception&& exception)
{
    log_event(log_level::warning, "background_task_failed", {{"detail", exception.getDescription().cStr()}});
}

} // namespace hawthornpin
