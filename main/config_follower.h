// An entry's configuration follower: keeps the configuration in force equal to the log stream.

#pragma once

#include "config/config_state.h"
#include "core/event_loop.h"
#include "core/metrics.h"
#include "core/random.h"
#include "platform/log_client.h"

#include <functional>

namespace hawthornpin {

// Starts from the newest checkpoint and the records after it, then long-polls. While the log is unreachable,
// it adopts newer checkpoints of peers. The version in force never decreases.
class config_follower {
public:
    config_follower(log_client log, unsigned checkpoint_every, std::function<void()> on_change,
                    metrics& counts);

    // Starts to follow the log; runs until destroyed.
    void start();

    const config_state& state() const { return m_state; }
    // Whether a configuration is in force; defaults do not count as one.
    bool is_ready() const { return m_state.m_version != no_offset; }
    // Whether the last read of the log failed, so that peers should be asked.
    bool is_log_down() const { return m_is_log_down; }

    // Adopts a peer's checkpoint if it is newer than the configuration in force.
    void adopt_peer_checkpoint(const std::string& json);

private:
    kj::Promise<void> follow();
    kj::Promise<void> bootstrap(std::vector<config_record> records, log_offset from);
    void apply_page(const log_page& page);
    void finish_bootstrap(const std::vector<config_record>& records, log_offset first_kept);
    void schedule_checkpoint_if_due();
    void append_checkpoint();

    log_client m_log;
    unsigned m_checkpoint_every;
    std::function<void()> m_on_change;
    metrics& m_metrics;
    config_state m_state;
    bool m_is_log_down = true;
    bool m_needs_bootstrap = true;
    bool m_is_checkpoint_due = false;
    random_source m_random;
    background_tasks m_tasks;
};

} // namespace hawthornpin
