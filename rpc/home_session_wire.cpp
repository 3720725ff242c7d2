// Field-by-field conversion of the messages between entries and homes.

#include "rpc/home_session_wire.h"

#include "rpc/run_wire.h"

namespace hawthornpin {

namespace {

void write_step(wire::JobStep::Builder to, const job_step& from)
{
    to.setTaskCount(from.m_task_count);
    write_wire(to.initPerTask(), from.m_per_task);
    to.setEstimateMs(from.m_estimate_ms);
    auto depends_on = to.initDependsOn(static_cast<unsigned>(from.m_depends_on.size()));
    for (unsigned index = 0; index < from.m_depends_on.size(); ++index)
        depends_on.set(index, from.m_depends_on[index]);
    to.setRequiredLabel(from.m_required_label);
    to.setPreferredRack(from.m_preferred_rack);
    to.setMaxPerWorker(from.m_max_per_worker);
    to.setIsCheckpointing(from.m_is_checkpointing);
    to.setIsGang(from.m_is_gang);
    to.setIsLongRunning(from.m_is_long_running);
    to.setIsFilling(from.m_is_filling);
}

job_step read_step(wire::JobStep::Reader from)
{
    job_step step;
    step.m_task_count = from.getTaskCount();
    step.m_per_task = read_wire(from.getPerTask());
    step.m_estimate_ms = from.getEstimateMs();
    for (const std::uint32_t earlier : from.getDependsOn())
        step.m_depends_on.push_back(earlier);
    step.m_required_label = from.getRequiredLabel().cStr();
    step.m_preferred_rack = from.getPreferredRack().cStr();
    step.m_max_per_worker = from.getMaxPerWorker();
    step.m_is_checkpointing = from.getIsCheckpointing();
    step.m_is_gang = from.getIsGang();
    step.m_is_long_running = from.getIsLongRunning();
    step.m_is_filling = from.getIsFilling();
    return step;
}

} // namespace

void write_wire(wire::WorkRequest::Builder to, const work_request& from)
{
    to.setId(from.m_id);
    to.setSpecification(from.m_specification);
    auto steps = to.initSteps(static_cast<unsigned>(from.m_steps.size()));
    for (unsigned index = 0; index < from.m_steps.size(); ++index)
        write_step(steps[index], from.m_steps[index]);
    to.setIsBestEffort(from.m_is_best_effort);
    to.setRepeatCount(from.m_repeat_count);
}

work_request read_wire(wire::WorkRequest::Reader from)
{
    work_request request;
    request.m_id = from.getId().cStr();
    request.m_specification = from.getSpecification().cStr();
    for (const auto step : from.getSteps())
        request.m_steps.push_back(read_step(step));
    request.m_is_best_effort = from.getIsBestEffort();
    request.m_repeat_count = from.getRepeatCount();
    return request;
}

void write_wire(wire::QueueContract::Builder to, const queue_contract& from)
{
    to.setName(from.m_name);
    to.setService(from.m_service);
    to.setPriority(from.m_priority);
    to.setMaxAttempts(from.m_max_attempts);
    to.setStretch(from.m_stretch);
    to.setLatencyTargetMs(static_cast<std::uint32_t>(from.m_latency_target.count()));
}

queue_contract read_wire(wire::QueueContract::Reader from)
{
    queue_contract queue;
    queue.m_name = from.getName().cStr();
    queue.m_service = from.getService().cStr();
    queue.m_priority = from.getPriority();
    queue.m_max_attempts = from.getMaxAttempts();
    queue.m_stretch = from.getStretch();
    queue.m_latency_target = milliseconds(from.getLatencyTargetMs());
    return queue;
}

void write_wire(wire::EntryPresence::Builder to, const entry_heartbeat& from)
{
    to.initSession().setId(from.m_session.m_id);
    to.getSession().setIncarnation(from.m_session.m_incarnation);
    to.setClockSeen(from.m_clock_seen);
    to.setHomesPerAgent(from.m_homes_per_agent);
    if (from.m_evacuation)
        write_wire(to.initEvacuation(), from.m_evacuation);
}

entry_heartbeat read_wire(wire::EntryPresence::Reader from)
{
    return {{from.getSession().getId().cStr(), from.getSession().getIncarnation()},
            from.getClockSeen(),
            from.getHomesPerAgent(),
            read_wire(from.getEvacuation())};
}

void write_wire(wire::HomeStatus::Builder to, const home_status& from)
{
    to.setClock(from.m_clock);
    to.setUsableAgents(from.m_usable_agents);
    to.setIsLeaving(from.m_is_leaving);
    to.setFreeMilli(from.m_free_milli);
}

home_status read_wire(wire::HomeStatus::Reader from)
{
    return {from.getClock(), from.getUsableAgents(), from.getIsLeaving(), from.getFreeMilli()};
}

void write_wire(wire::JobEnd::Builder to, const job_answer_event& from)
{
    to.setEnd(static_cast<std::uint8_t>(from.m_end));
    to.setReason(static_cast<std::uint8_t>(from.m_reason));
    to.setRetryAfterMs(static_cast<std::uint32_t>(from.m_retry_after.count()));
}

std::optional<job_answer_event> read_wire(wire::JobEnd::Reader from, const std::string& job)
{
    if (from.getEnd() >= job_end_count || from.getReason() >= job_end_reason_count)
        return std::nullopt;
    return job_answer_event{job, static_cast<job_end>(from.getEnd()),
                            static_cast<job_end_reason>(from.getReason()),
                            milliseconds(from.getRetryAfterMs())};
}

} // namespace hawthornpin
