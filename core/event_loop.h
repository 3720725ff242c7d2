// The process's single-threaded event loop: Cap'n Proto's KJ event loop driven by the GLib main context.

#pragma once

#include <glib.h>
#include <kj/async.h>
#include <kj/debug.h>

#include <functional>
#include <memory>

namespace hawthornpin {

// Runs the events of a KJ event loop from a GLib source that stays attached.
class glib_event_port final : public kj::EventPort {
public:
    glib_event_port();
    ~glib_event_port() noexcept(false);
    KJ_DISALLOW_COPY(glib_event_port);

    // Sets the loop whose events this port schedules. Must be called before the loop has work.
    void attach(kj::EventLoop& loop) { m_loop = &loop; }

    // Runs the events that are ready, up to a limit for each call.
    void run_pending_events();

    bool wait() override;
    bool poll() override;
    void setRunnable(bool runnable) override;
    void wake() const override;

private:
    // A GSource followed by a pointer to its port.
    struct event_source;

    static gboolean prepare(GSource* source, gint* timeout);
    static gboolean check(GSource* source);
    static gboolean dispatch(GSource* source, GSourceFunc callback, gpointer data);

    kj::EventLoop* m_loop = nullptr;
    event_source* m_source;
    bool m_is_runnable = false;
};

// The process's event loop. Must be created on the main thread before anything that returns KJ promises is
// called.
class event_loop {
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    // Runs until stop() is called.
    void run();
    void stop();

    kj::WaitScope& wait_scope() { return *m_wait_scope; }

private:
    glib_event_port m_port;
    std::unique_ptr<kj::EventLoop> m_loop;
    std::unique_ptr<kj::WaitScope> m_wait_scope;
    GMainLoop* m_main_loop;
};

// Runs the loop until the promise is fulfilled or rejected; returns its value or rethrows its exception.
template <typename Value>
Value run_until_complete(event_loop& loop, kj::Promise<Value>&& promise)
{
    kj::Maybe<Value> result;
    kj::Maybe<kj::Exception> failure;
    auto finished = promise
                        .then(
                            [&](Value&& value) {
                                result = kj::mv(value);
                                loop.stop();
                            },
                            [&](kj::Exception&& exception) {
                                failure = kj::mv(exception);
                                loop.stop();
                            })
                        .eagerlyEvaluate(nullptr);
    loop.run();
    KJ_IF_MAYBE (exception, failure)
        kj::throwFatalException(kj::mv(*exception));
    return kj::mv(KJ_ASSERT_NONNULL(result));
}

// A repeating or one-shot timer on the loop; destroying it stops it.
class timer {
public:
    // Calls `action` after `delay_ms`, and again every `delay_ms` while it returns true.
    timer(unsigned delay_ms, std::function<bool()> action);
    ~timer();
    timer(const timer&) = delete;
    timer& operator=(const timer&) = delete;

private:
    static gboolean fire(gpointer data);

    std::function<bool()> m_action;
    guint m_source = 0;
};

// Calls `action` on the loop's thread whenever the given signal arrives.
class signal_watch {
public:
    signal_watch(int signal_number, std::function<void()> action);
    ~signal_watch();
    signal_watch(const signal_watch&) = delete;
    signal_watch& operator=(const signal_watch&) = delete;

private:
    static gboolean fire(gpointer data);

    std::function<void()> m_action;
    guint m_source = 0;
};

// A promise that is fulfilled after the delay.
kj::Promise<void> after_delay(unsigned delay_ms);

// Owns background tasks until they end, and logs the failed ones.
class background_tasks final : public kj::TaskSet::ErrorHandler {
public:
    background_tasks() : m_tasks(*this) {}
    void add(kj::Promise<void>&& promise) { m_tasks.add(kj::mv(promise)); }
    void taskFailed(kj::Exception&& exception) override; // NOLINT(readability-identifier-naming)

private:
    kj::TaskSet m_tasks;
};

// Runs an action once after the current event, however often it was scheduled before.
class coalesced_call {
public:
    explicit coalesced_call(std::function<void()> action) : m_action(std::move(action)) {}
    void schedule();

private:
    std::function<void()> m_action;
    bool m_is_scheduled = false;
    background_tasks m_tasks;
};

} // namespace hawthornpin
