// Field-by-field conversion of messages about runs.

#include "rpc/run_wire.h"

#include <algorithm>

namespace hawthornpin {

namespace {

void write_run(wire::RunRef::Builder to, const run_id& from)
{
    to.setJob(from.m_task.m_job);
    to.setOccurrence(from.m_task.m_occurrence);
    to.setStep(from.m_task.m_step);
    to.setIndex(from.m_task.m_index);
    to.setNumber(from.m_number);
}

run_id read_run(wire::RunRef::Reader from)
{
    return {{from.getJob().cStr(), from.getOccurrence(), from.getStep(), from.getIndex()}, from.getNumber()};
}

std::uint32_t to_wire_ms(milliseconds value)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(value.count(), 0, UINT32_MAX));
}

// What the result alone allows to conclude holds for senders that do not tell the verdict.
verdict read_verdict(std::uint8_t value, run_result result)
{
    if (value == 0)
        return result == run_result::not_started ? verdict::not_run : verdict::may_have_run;
    const auto known = static_cast<verdict>(value - 1);
    return known <= verdict::ran ? known : verdict::may_have_run;
}

bool is_same_step(const run_order& left, const run_order& right)
{
    const task_id& one = left.m_run.m_task;
    const task_id& other = right.m_run.m_task;
    return one.m_job == other.m_job && one.m_occurrence == other.m_occurrence && one.m_step == other.m_step;
}

// Groups consecutive orders of the same step; the scheduler places the tasks of a step one after another.
std::vector<std::vector<const run_order*>> group_by_step(const std::vector<run_order>& orders)
{
    std::vector<std::vector<const run_order*>> groups;
    for (const run_order& order : orders) {
        if (groups.empty() || !is_same_step(*groups.back().front(), order))
            groups.emplace_back();
        groups.back().push_back(&order);
    }
    return groups;
}

void write_group(wire::RunOrders::Builder to, const std::vector<const run_order*>& group)
{
    const run_order& first = *group.front();
    to.setSpecification(first.m_specification);
    write_wire(to.initNeeds(), first.m_needs);
    to.setEstimateMs(to_wire_ms(first.m_estimate));
    to.setStartWithinMs(to_wire_ms(first.m_start_within));
    to.setSlackMs(first.m_slack.count());
    to.setRequiredLabel(first.m_required_label);
    auto runs = to.initRuns(static_cast<unsigned>(group.size()));
    for (unsigned index = 0; index < group.size(); ++index)
        write_run(runs[index], group[index]->m_run);
}

void read_group(wire::RunOrders::Reader from, std::vector<run_order>& to)
{
    run_order order;
    order.m_specification = from.getSpecification().cStr();
    order.m_needs = read_wire(from.getNeeds());
    order.m_estimate = milliseconds(from.getEstimateMs());
    order.m_start_within = milliseconds(from.getStartWithinMs());
    order.m_slack = milliseconds(from.getSlackMs());
    order.m_required_label = from.getRequiredLabel().cStr();
    for (const auto run : from.getRuns()) {
        order.m_run = read_run(run);
        to.push_back(order);
    }
}

} // namespace

void write_wire(wire::Resources::Builder to, const resources& from)
{
    to.setCpuMilli(from.m_cpu_milli);
    to.setMemoryMib(from.m_memory_mib);
    to.setAccelerators(static_cast<std::int32_t>(from.m_accelerators));
}

resources read_wire(wire::Resources::Reader from)
{
    return {from.getCpuMilli(), from.getMemoryMib(), from.getAccelerators()};
}

void write_wire(capnp::List<capnp::Text>::Builder to, const std::vector<std::string>& from)
{
    for (unsigned index = 0; index < from.size(); ++index)
        to.set(index, from[index]);
}

std::vector<std::string> read_wire(capnp::List<capnp::Text>::Reader from)
{
    std::vector<std::string> result;
    for (const auto text : from)
        result.emplace_back(text.cStr());
    return result;
}

void write_wire(wire::Evacuation::Builder to, const std::optional<evacuation_report>& from)
{
    if (!from)
        return;
    to.setIsKnown(true);
    to.setOffset(from->m_state.m_offset);
    auto zones = to.initZones(static_cast<unsigned>(from->m_state.m_zones.size()));
    unsigned index = 0;
    for (const std::string& zone : from->m_state.m_zones)
        zones.set(index++, zone);
    to.setAgeMs(to_wire_ms(from->m_age));
}

std::optional<evacuation_report> read_wire(wire::Evacuation::Reader from)
{
    if (!from.getIsKnown())
        return std::nullopt;
    evacuation_report report;
    report.m_state.m_offset = from.getOffset();
    for (const auto zone : from.getZones())
        report.m_state.m_zones.insert(zone.cStr());
    report.m_age = milliseconds(from.getAgeMs());
    return report;
}

void write_wire(wire::OrderBatch::Builder to, const order_batch& from)
{
    to.initHome().setId(from.m_home.m_id);
    to.getHome().setIncarnation(from.m_home.m_incarnation);
    to.setHomeAddress(from.m_home_address);
    to.setAgentIncarnation(from.m_agent_incarnation);
    to.setClockSeen(from.m_clock_seen);
    to.setNumber(from.m_number);
    const auto groups = group_by_step(from.m_starts);
    auto starts = to.initStarts(static_cast<unsigned>(groups.size()));
    for (unsigned index = 0; index < groups.size(); ++index)
        write_group(starts[index], groups[index]);
    auto stops = to.initStops(static_cast<unsigned>(from.m_stops.size()));
    for (unsigned index = 0; index < from.m_stops.size(); ++index)
        write_run(stops[index], from.m_stops[index]);
    write_wire(to.initEntries(static_cast<unsigned>(from.m_entries.size())), from.m_entries);
    if (from.m_evacuation)
        write_wire(to.initEvacuation(), from.m_evacuation);
}

order_batch read_wire(wire::OrderBatch::Reader from)
{
    order_batch batch;
    batch.m_home = {from.getHome().getId().cStr(), from.getHome().getIncarnation()};
    batch.m_home_address = from.getHomeAddress().cStr();
    batch.m_agent_incarnation = from.getAgentIncarnation();
    batch.m_clock_seen = from.getClockSeen();
    batch.m_number = from.getNumber();
    for (const auto group : from.getStarts())
        read_group(group, batch.m_starts);
    for (const auto run : from.getStops())
        batch.m_stops.push_back(read_run(run));
    batch.m_entries = read_wire(from.getEntries());
    batch.m_evacuation = read_wire(from.getEvacuation());
    return batch;
}

void write_wire(wire::AgentStatus::Builder to, const agent_status& from)
{
    to.initLife().setId(from.m_identity.m_id);
    to.getLife().setIncarnation(from.m_identity.m_incarnation);
    to.setAddress(from.m_address);
    to.setZone(from.m_zone);
    to.setService(from.m_service);
    write_wire(to.initLabels(static_cast<unsigned>(from.m_labels.size())), from.m_labels);
    to.setState(static_cast<std::uint8_t>(from.m_state));
    to.setIsSettled(from.m_is_reconciled);
    write_wire(to.initCapacity(), from.m_capacity);
    write_wire(to.initFree(), from.m_free);
    to.setClock(from.m_clock);
    to.initReceiver().setId(from.m_receiver.m_id);
    to.getReceiver().setIncarnation(from.m_receiver.m_incarnation);
    to.setOrdersSeen(from.m_orders_seen);
    to.setSequence(from.m_sequence);
}

agent_status read_wire(wire::AgentStatus::Reader from)
{
    agent_status status;
    status.m_identity = {from.getLife().getId().cStr(), from.getLife().getIncarnation()};
    status.m_address = from.getAddress().cStr();
    status.m_zone = from.getZone().cStr();
    status.m_service = from.getService().cStr();
    status.m_labels = read_wire(from.getLabels());
    // An unknown state comes from a newer version and is read as `preparing`, in which an agent gets no work.
    const bool is_known_state = from.getState() < agent_state_count;
    status.m_state = is_known_state ? static_cast<agent_state>(from.getState()) : agent_state::preparing;
    status.m_is_reconciled = from.getIsSettled();
    status.m_capacity = read_wire(from.getCapacity());
    status.m_free = read_wire(from.getFree());
    status.m_clock = from.getClock();
    status.m_receiver = {from.getReceiver().getId().cStr(), from.getReceiver().getIncarnation()};
    status.m_orders_seen = from.getOrdersSeen();
    status.m_sequence = from.getSequence();
    return status;
}

void write_wire(capnp::List<wire::RunOutcome>::Builder to, const std::vector<run_outcome>& from)
{
    for (unsigned index = 0; index < from.size(); ++index) {
        write_run(to[index].initRun(), from[index].m_run);
        to[index].setResult(static_cast<std::uint8_t>(from[index].m_result));
        to[index].setDurationMs(to_wire_ms(from[index].m_duration));
        to[index].setVerdict(static_cast<std::uint8_t>(static_cast<unsigned>(from[index].m_verdict) + 1));
    }
}

std::vector<run_outcome> read_wire(capnp::List<wire::RunOutcome>::Reader from)
{
    std::vector<run_outcome> outcomes;
    for (const auto outcome : from) {
        if (outcome.getResult() >= run_result_count)
            continue;
        const auto result = static_cast<run_result>(outcome.getResult());
        outcomes.push_back({read_run(outcome.getRun()), result, milliseconds(outcome.getDurationMs()),
                            read_verdict(outcome.getVerdict(), result)});
    }
    return outcomes;
}

} // namespace hawthornpin
