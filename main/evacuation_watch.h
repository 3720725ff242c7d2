// The evacuated zones as a process on the platform knows them: merges what the store and other processes
// tell, logs changes, and sets the gauges.

#pragma once

#include "core/metrics.h"
#include "membership/evacuation.h"
#include "platform/directory_follower.h"
#include "platform/node_settings.h"

#include <cstdint>
#include <functional>
#include <optional>

namespace hawthornpin {

// Where a state was learned from; the names appear in log events.
enum class evacuation_source { store, entry, home, agent };

class evacuation_watch {
public:
    using change_receiver = std::function<void(const evacuation_view&)>;

    // `receive` is called whenever the view may have changed. Without bounds.evacuate_ms in the settings,
    // nothing is ever learned or reported.
    evacuation_watch(const node_settings& settings, change_receiver receive);

    bool is_enabled() const { return m_view.m_limits.has_value(); }
    const evacuation_view& view() const { return m_view; }
    // What to send to other processes.
    std::optional<evacuation_report> report() const { return make_evacuation_report(m_view, boot_now()); }

    // Handles a read of the store. Returns whether the evacuated zones have changed.
    bool learn_from_store(const evacuation_update& update);
    // Handles a message whose age counts from `counted_from`, an instant of this process's own clock before
    // the message was sent.
    void learn(const std::optional<evacuation_report>& report, instant counted_from,
               evacuation_source source);
    // Handles a message whose age counts from `clock_seen`, the last value of this process's clock that the
    // sender has received, in microseconds; 0 if it has received none.
    void learn_by_clock(const std::optional<evacuation_report>& report, std::uint64_t clock_seen,
                        evacuation_source source);
    // Handles a message that was sent at an unknown time: it confirms nothing.
    void learn_unconfirmed(const std::optional<evacuation_report>& report, evacuation_source source);

    // Logs when the state becomes too old to start tasks, and when it is recent again. For agents.
    void log_confirmation();
    void set_gauges(metrics& counts) const;

private:
    void on_learned(bool has_changed, evacuation_source source);

    evacuation_view m_view;
    change_receiver m_receive;
    // State by the reads of the store alone, to which the next records are applied.
    evacuation_state_builder m_store_state;
    bool m_was_current = false;
};

} // namespace hawthornpin
