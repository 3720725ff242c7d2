// The two axes of the fault matrix: steps of the system, and faults that are injected at them.

#pragma once

#include <array>
#include <optional>
#include <string>
#include <vector>

namespace hawthornpin::fault_matrix {

// Messages and events at which a fault can be injected.
enum class step {
    mint,
    submit,
    recorded,
    grant,
    start,
    started,
    result,
    grant_reply,
    answer,
    cancel,
    revoke,
    revoke_reply,
    drain,
    announce,
    publish,
    apply,
    checkpoint,
};
inline constexpr std::array step_names = {
    "mint",   "submit", "recorded",     "grant", "start",    "started", "result", "grant_reply", "answer",
    "cancel", "revoke", "revoke_reply", "drain", "announce", "publish", "apply",  "checkpoint"};

enum class fault {
    lost,
    duplicated,
    delayed_past_timeout,
    reordered,
    receiver_crashes,
    receiver_crashes_after_effect,
    receiver_paused,
    connection_cut,
    receiver_restarted,
    log_down,
    log_slow,
    log_answer_lost,
    lease_lapsed,
    cancelled,
};
inline constexpr std::array fault_names = {"lost",
                                           "duplicated",
                                           "delayed_past_timeout",
                                           "reordered",
                                           "receiver_crashes",
                                           "receiver_crashes_after_effect",
                                           "receiver_paused",
                                           "connection_cut",
                                           "receiver_restarted",
                                           "log_down",
                                           "log_slow",
                                           "log_answer_lost",
                                           "lease_lapsed",
                                           "cancelled"};

// One fault, injected when the step is reached for the n-th time. m_occurrence counts from 0.
struct planned_fault {
    step m_step = step::submit;
    fault m_fault = fault::lost;
    int m_occurrence = 0;
};

inline std::string describe(const planned_fault& plan)
{
    return std::string(step_names.at(static_cast<std::size_t>(plan.m_step))) + "#" +
           std::to_string(plan.m_occurrence) + ":" + fault_names.at(static_cast<std::size_t>(plan.m_fault));
}

// The planned faults, and how often each step was reached.
class fault_plan {
public:
    explicit fault_plan(std::vector<planned_fault> faults) : m_faults(std::move(faults)) {}

    // Counts the step as reached and returns the fault planned for this occurrence, if any.
    std::optional<fault> reach_step(step at)
    {
        const int occurrence = m_reached.at(static_cast<std::size_t>(at))++;
        for (const planned_fault& plan : m_faults) {
            if (plan.m_step == at && plan.m_occurrence == occurrence) {
                ++m_injected;
                return plan.m_fault;
            }
        }
        return std::nullopt;
    }

    int injected_count() const { return m_injected; }
    int reached_count(step at) const { return m_reached.at(static_cast<std::size_t>(at)); }

private:
    std::vector<planned_fault> m_faults;
    std::array<int, step_names.size()> m_reached{};
    int m_injected = 0;
};

} // namespace hawthornpin::fault_matrix
