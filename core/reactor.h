// Readiness of descriptors and timers for KJ promises behind a single GLib source.
//
// GLib looks at every source and every descriptor in each turn of its loop, which costs an entry with a few
// hundred connections more than the work on them. Here the kernel keeps the descriptors (epoll) and a sorted
// map the timers, so a turn costs what is ready.

#pragma once

#include <glib.h>
#include <kj/async.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace hawthornpin {

// Readiness of one descriptor, which stays the caller's. Nothing is reported once it is closed.
// Edge-triggered: wait only after a call on the descriptor would have blocked.
class descriptor_watch {
public:
    enum class interest { reading, both };
    explicit descriptor_watch(int descriptor, interest wanted = interest::both);
    ~descriptor_watch();
    descriptor_watch(const descriptor_watch&) = delete;
    descriptor_watch& operator=(const descriptor_watch&) = delete;

    // Errors and hang-ups count as both. One wait of each kind at a time.
    kj::Promise<void> when_readable() { return wait(m_readable); }
    kj::Promise<void> when_writable() { return wait(m_writable); }

    // For callers that look instead of waiting: whether it became ready since a call on the descriptor would
    // have blocked, which they must note.
    bool is_readable() const { return m_readable.m_is_ready; }
    bool is_writable() const { return m_writable.m_is_ready; }
    void mark_read_blocked() { m_readable.m_is_ready = false; }
    void mark_write_blocked() { m_writable.m_is_ready = false; }

    // Calls `action` once has_hung_up() is true, at once if it already is. An empty action ends that.
    void set_hangup_callback(std::function<void()> action);

    // Whether the peer has ended its side or the connection has failed: a read that took less than there was
    // room for may then have left the end unread, which no later event tells.
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
    void on_events(std::uint32_t events);

    int m_descriptor;
    direction m_readable;
    direction m_writable;
    bool m_has_hung_up = false;
    std::function<void()> m_hangup_callback;
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
    // Empty once it has fired.
    std::optional<std::multimap<std::int64_t, delay_timer*>::iterator> m_position;
};

// The process's only one; lives on the default main context.
class reactor {
public:
    static reactor& instance();

    // Called after each dispatch: runs what the fulfilled promises made runnable, which saves a turn of
    // GLib's loop.
    void set_post_dispatch_hook(std::function<void()> turn) { m_post_dispatch_hook = std::move(turn); }

    reactor(const reactor&) = delete;
    reactor& operator=(const reactor&) = delete;

private:
    friend class descriptor_watch;
    friend class delay_timer;
    struct poll_source;
    // By microseconds of the steady clock.
    using timer_map = std::multimap<std::int64_t, delay_timer*>;

    reactor();
    ~reactor();

    static gboolean prepare(GSource* source, gint* timeout);
    static gboolean check(GSource* source);
    static gboolean dispatch(GSource* source, GSourceFunc callback, gpointer data);
    // Whether any was due.
    bool fire_timers();
    // Tells the watches what has become ready, once in each turn of the loop.
    void handle_descriptor_events();
    void run_post_dispatch_hook();

    int m_poll_descriptor;
    poll_source* m_source;
    // Events were taken in this turn of the loop.
    bool m_has_handled_events = false;
    timer_map m_timers;
    std::function<void()> m_post_dispatch_hook;
    // Watches by descriptor: an event that was fetched before its watch was destroyed finds nothing.
    std::map<int, descriptor_watch*> m_watches;
};

} // namespace hawthornpin
