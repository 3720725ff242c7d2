// Defaults and validation of contracts.

#include "world/contract.h"

#include "core/ids.h"

namespace hawthornpin {

namespace {

constexpr std::size_t default_payload_bytes = 16 * 1024;
constexpr std::size_t default_answer_bytes = 16 * 1024;
constexpr milliseconds default_task_time_limit{10'000};
constexpr milliseconds default_job_time_limit{30'000};
constexpr milliseconds default_run_time{200};

} // namespace

contract_builder::contract_builder(std::string service, std::string owner)
{
    m_contract.m_service = std::move(service);
    m_contract.m_owner = std::move(owner);
    set_sizes(default_payload_bytes, default_answer_bytes);
    set_time_limits(default_task_time_limit, default_job_time_limit);
    set_declared_run_time(default_run_time);
}

contract_builder& contract_builder::set_max_tasks(int tasks)
{
    m_contract.m_max_tasks = tasks;
    return *this;
}

contract_builder& contract_builder::set_sizes(std::size_t payload_bytes, std::size_t answer_bytes)
{
    m_contract.m_max_payload_bytes = payload_bytes;
    m_contract.m_max_answer_bytes = answer_bytes;
    return *this;
}

contract_builder& contract_builder::set_time_limits(milliseconds task, milliseconds job)
{
    m_contract.m_task_time_limit = task;
    m_contract.m_job_time_limit = job;
    return *this;
}

contract_builder& contract_builder::set_declared_run_time(milliseconds run_time)
{
    m_contract.m_declared_run_time = run_time;
    return *this;
}

contract_builder& contract_builder::set_repeatable(bool is_repeatable)
{
    m_contract.m_is_repeatable = is_repeatable;
    return *this;
}

contract_builder& contract_builder::set_favour(favour favoured)
{
    m_contract.m_favoured = favoured;
    return *this;
}

std::optional<contract> contract_builder::build(last_reason& why) const
{
    if (!is_valid_name(m_contract.m_service) || !is_valid_name(m_contract.m_owner)) {
        why.set("service or owner name is not valid");
        return std::nullopt;
    }
    if (m_contract.m_max_tasks < 1 || m_contract.m_max_tasks > max_tasks_per_job) {
        why.set("max_tasks must be 1 to 770");
        return std::nullopt;
    }
    if (m_contract.m_task_time_limit > m_contract.m_job_time_limit) {
        why.set("task_time_limit is longer than job_time_limit");
        return std::nullopt;
    }
    return m_contract;
}

} // namespace hawthornpin
