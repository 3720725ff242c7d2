// A contract: the published limits and settings of a service.

#pragma once

#include "core/instant.h"
#include "core/last_reason.h"

#include <optional>
#include <string>

namespace hawthornpin {

// Maximum number of tasks of any job.
inline constexpr int max_tasks_per_job = 770;

// The measure that placement optimises: response time or the number of messages.
enum class favour { response, messages };

// What one task needs of a worker.
struct task_needs {
    int m_memory_mib = 0;
    int m_accelerators = 0;

    friend bool operator==(const task_needs&, const task_needs&) = default;
};

// Immutable; made by contract_builder.
class contract {
public:
    const std::string& service() const { return m_service; }
    // The team that is responsible for the service.
    const std::string& owner() const { return m_owner; }
    int max_tasks() const { return m_max_tasks; }
    std::size_t max_payload_bytes() const { return m_max_payload_bytes; }
    std::size_t max_answer_bytes() const { return m_max_answer_bytes; }
    // Maximum run time of one task, and maximum time of one job from its acceptance to its end.
    milliseconds task_time_limit() const { return m_task_time_limit; }
    milliseconds job_time_limit() const { return m_job_time_limit; }
    // The declared run time of a task, used as the estimate until enough runs have been observed.
    milliseconds declared_run_time() const { return m_declared_run_time; }
    // Whether a job may be submitted again under another ticket after may_have_run.
    bool is_repeatable() const { return m_is_repeatable; }
    favour favoured() const { return m_favoured; }

    friend bool operator==(const contract&, const contract&) = default;

private:
    friend class contract_builder;
    std::string m_service;
    std::string m_owner;
    int m_max_tasks = max_tasks_per_job;
    std::size_t m_max_payload_bytes = 0;
    std::size_t m_max_answer_bytes = 0;
    milliseconds m_task_time_limit{0};
    milliseconds m_job_time_limit{0};
    milliseconds m_declared_run_time{0};
    bool m_is_repeatable = false;
    favour m_favoured = favour::response;
};

// Collects the parts of a contract; build() validates them.
class contract_builder {
public:
    contract_builder(std::string service, std::string owner);
    contract_builder& set_max_tasks(int tasks);
    contract_builder& set_sizes(std::size_t payload_bytes, std::size_t answer_bytes);
    contract_builder& set_time_limits(milliseconds task, milliseconds job);
    contract_builder& set_declared_run_time(milliseconds run_time);
    contract_builder& set_repeatable(bool is_repeatable);
    contract_builder& set_favour(favour favoured);

    std::optional<contract> build(last_reason& why) const;

private:
    contract m_contract;
};

} // namespace hawthornpin
