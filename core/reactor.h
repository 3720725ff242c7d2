// Descriptor readiness and timers for KJ promises behind a single GLib source.
//
// GLib checks every source and every descriptor in each iteration of its loop, which costs an entry with a
// few hundred connections more than the work on them. The reactor keeps the descriptors in epoll and the
// timers in a sorted map, so that the cost of an iteration depends only on what is ready.

#pragma once

#include "core/instant.h"

#include <glib.h>
#include <kj/async.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace hawthornpin {

// Watches the readiness of one descriptor, which the caller keeps owning. Nothing is reported once the
// descriptor is closed. Edge-triggered: wait only after a call on the descriptor would have blocked.
class descriptor_watch {
public:
    enum class interest { reading, both };
    explicit descriptor_watch(int descriptor, interest wanted = interest::both);
    ~descriptor_watch();
    descriptor_watch(const descriptor_watch&) = delete;
    descriptor_watch& operator=(const descriptor_watch&) = delete;

    // Errors and hang-ups make the descriptor both readable and writable. Only one wait of each kind may be
    // pending.
    kj::Promise<void> when_readable() { return wait(m_readable); }
    kj::Promise<void> when_writable() { return wait(m_writable); }

    // For callers that poll instead of waiting: whether the descriptor became ready since a call on it would
    // have blocked. Callers must record such a call with mark_read_blocked() or mark_write_blocked().
    bool is_readable() const { return m_readable.m_is_ready; }
    bool is_writable() const { return m_writable.m_is_ready; }
    void mark_read_blocked() { m_readable.m_is_ready = false; }
    void mark_write_blocked() { m_writable.m_is_ready = false; }

    // No later than the arrival of the oldest input that was not read yet, by the clock of boot_now().
    // Callers must record with mark_drained() that a read left nothing.
    instant unread_since() const;
    void mark_drained() { m_unread_since.reset(); }
    // For a descriptor that had unread input before it was watched.
    void set_unread_since(instant when) { m_unread_since = when; }

    // Calls `action` once has_hung_up() is true, immediately if it already is. An empty action removes the
    // callback.
    void set_hangup_callback(std::function<void()> action);

    // Whether the peer has closed its side or the connection has failed. If so, a read that did not fill its
    // buffer may have left the end of the stream unread, and no later event will report it.
    bool has_hung_up() const { return m_has_hung_up; }

private:
    friend class reactor;

    struct direction {
        // Became ready since the last wait.
        bool m_is_ready = false;
        kj::Own<kj::PromiseFulfiller<void>> m_waiter;
    };

    static kj::Promise<void> wait(direction& awaited);
    static void set_ready(direction& changed);
    // `unreported_since` is when the poll before this one began.
    void on_events(std::uint32_t events, instant unreported_since);

    int m_descriptor;
    direction m_readable;
    direction m_writable;
    bool m_has_hung_up = false;
    std::function<void()> m_hangup_callback;
    std::optional<instant> m_unread_since;
};

// Fulfils a promise once after a delay, unless it is destroyed before.
class delay_timer {
public:
    delay_timer(kj::PromiseFulfiller<void>& fulfiller, unsigned delay_ms);
    ~delay_timer();
    delay_timer(const delay_timer&) = delete;
    delay_timer& operator=(const delay_timer&) = delete;

private:
    friend class reactor;

    kj::PromiseFulfiller<void>& m_fulfiller;
    // Empty once the timer has fired.
    std::optional<std::multimap<std::int64_t, delay_timer*>::iterator> m_position;
};

// The process's only reactor, attached to GLib's default main context.
class reactor {
public:
    static reactor& instance();

    // Sets a function to call after each dispatch of events or timers. It runs the continuations of the
    // fulfilled promises, which saves an iteration of GLib's loop.
    void set_post_dispatch_hook(std::function<void()> hook) { m_post_dispatch_hook = std::move(hook); }

    // Number of iterations of GLib's loop since the start of the process.
    std::uint64_t iterations() const { return m_iterations; }

    // See suspension_detector.
    instant last_resume() { return m_suspensions.last_resume(suspended_time(), boot_now()); }

    reactor(const reactor&) = delete;
    reactor& operator=(const reactor&) = delete;

private:
    friend class descriptor_watch;
    friend class delay_timer;
    struct poll_source;
    // Timers by due time, in microseconds of the monotonic clock.
    using timer_map = std::multimap<std::int64_t, delay_timer*>;

    reactor();
    ~reactor();

    static gboolean prepare(GSource* source, gint* timeout);
    static gboolean check(GSource* source);
    static gboolean dispatch(GSource* source, GSourceFunc callback, gpointer data);
    // Returns whether any timer was due.
    bool fire_timers();
    // Updates the watches whose descriptors became ready; called once in each iteration of the loop.
    void handle_descriptor_events();
    // Passes on what one poll reports; false if more may be pending.
    bool report_events();
    void run_post_dispatch_hook();

    int m_poll_descriptor;
    poll_source* m_source;
    std::uint64_t m_iterations = 0;
    suspension_detector m_suspensions{suspended_time()};
    instant m_poll_began_at;
    // All events that occurred before this time have been reported to their watches.
    instant m_reported_until;
    // Whether descriptor events were handled in this iteration of the loop.
    bool m_has_handled_events = false;
    timer_map m_timers;
    std::function<void()> m_post_dispatch_hook;
    // Watches by descriptor, so that an event fetched before its watch was destroyed finds no watch.
    std::map<int, descriptor_watch*> m_watches;
};

} // namespace hawthornpin
