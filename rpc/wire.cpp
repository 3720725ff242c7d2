// Field-by-field conversion of messages about tickets, grants, members and configuration.

#include "rpc/wire.h"

#include <algorithm>

namespace hawthornpin {

namespace {

template <typename Number, typename Source>
Number clamp_to(Source value)
{
    const auto maximum = static_cast<long long>(std::numeric_limits<Number>::max());
    return static_cast<Number>(std::clamp<long long>(static_cast<long long>(value), 0, maximum));
}

std::uint32_t to_ms(milliseconds value)
{
    return clamp_to<std::uint32_t>(value.count());
}

milliseconds from_ms(std::uint32_t value)
{
    return milliseconds(value);
}

std::string copy_text(capnp::Text::Reader text)
{
    return {text.begin(), text.size()};
}

} // namespace

void write_wire(wire::AgentIdentity::Builder to, const agent_identity& from)
{
    to.setId(from.m_id);
    to.setIncarnation(static_cast<std::uint64_t>(from.m_incarnation));
}

agent_identity read_wire(wire::AgentIdentity::Reader from)
{
    return {copy_text(from.getId()), incarnation_id{from.getIncarnation()}};
}

void write_wire(wire::Ticket::Builder to, const ticket& from)
{
    to.setService(from.m_service);
    write_wire(to.initHome(), from.m_home);
    to.initId().setHigh(from.m_id.m_high);
    to.getId().setLow(from.m_id.m_low);
    to.setExpiryMs(to_unix_ms(from.m_expiry));
}

ticket read_wire(wire::Ticket::Reader from)
{
    return {copy_text(from.getService()),
            read_wire(from.getHome()),
            {from.getId().getHigh(), from.getId().getLow()},
            from_unix_ms(from.getExpiryMs())};
}

void write_wire(wire::GrantId::Builder to, const grant_id& from)
{
    auto id = to.initTicket();
    id.setHigh(from.m_ticket.m_high);
    id.setLow(from.m_ticket.m_low);
    to.setTask(from.m_task);
}

grant_id read_wire(wire::GrantId::Reader from)
{
    return {{from.getTicket().getHigh(), from.getTicket().getLow()}, from.getTask()};
}

void write_wire(wire::Outcome::Builder to, const outcome& from)
{
    to.setVerdict(static_cast<std::uint8_t>(from.m_verdict));
    to.setReason(static_cast<std::uint16_t>(from.m_reason));
    to.setTicketOpen(from.m_ticket == ticket_state::open);
}

outcome read_wire(wire::Outcome::Reader from)
{
    // Unknown values come from a newer peer; the safe assumption is that the request may have run.
    outcome value{verdict::may_have_run, reason::connection_lost, ticket_state::closed};
    if (from.getVerdict() <= static_cast<std::uint8_t>(verdict::ran))
        value.m_verdict = static_cast<verdict>(from.getVerdict());
    if (from.getReason() < reason_count)
        value.m_reason = static_cast<reason>(from.getReason());
    value.m_ticket = from.getTicketOpen() ? ticket_state::open : ticket_state::closed;
    return value;
}

void write_wire(wire::Load::Builder to, const worker_load& from)
{
    to.setRunning(clamp_to<std::uint32_t>(from.m_running));
    to.setQueued(clamp_to<std::uint32_t>(from.m_queued));
    to.setEstimatedWaitMs(to_ms(from.m_estimated_wait));
    to.setFailuresPerMille(clamp_to<std::uint16_t>(from.m_failures_per_mille));
    to.setStopped(from.m_is_stopped);
}

worker_load read_wire(wire::Load::Reader from)
{
    worker_load load;
    load.m_running = clamp_to<int>(from.getRunning());
    load.m_queued = clamp_to<int>(from.getQueued());
    load.m_estimated_wait = from_ms(from.getEstimatedWaitMs());
    load.m_failures_per_mille = from.getFailuresPerMille();
    load.m_is_stopped = from.getStopped();
    return load;
}

void write_wire(wire::Submission::Builder to, const submission& from)
{
    write_wire(to.initTicket(), from.m_ticket);
    to.setTeam(from.m_team);
    to.setDigest(from.m_digest);
    to.setBudgetMs(to_ms(from.m_budget));
    to.setMemoryMib(clamp_to<std::uint32_t>(from.m_needs.m_memory_mib));
    to.setAccelerators(clamp_to<std::uint32_t>(from.m_needs.m_accelerators));
    auto payloads = to.initPayloads(static_cast<unsigned>(from.m_payloads.size()));
    for (unsigned index = 0; index < payloads.size(); ++index)
        payloads.set(index, from.m_payloads[index]);
}

submission read_wire(wire::Submission::Reader from)
{
    submission job;
    job.m_ticket = read_wire(from.getTicket());
    job.m_team = copy_text(from.getTeam());
    job.m_digest = copy_text(from.getDigest());
    job.m_budget = from_ms(from.getBudgetMs());
    job.m_needs = {clamp_to<int>(from.getMemoryMib()), clamp_to<int>(from.getAccelerators())};
    for (const auto payload : from.getPayloads())
        job.m_payloads.push_back(copy_text(payload));
    return job;
}

void write_wire(wire::JobAnswer::Builder to, const job_answer& from)
{
    write_wire(to.initOutcome(), from.m_outcome);
    auto answers = to.initAnswers(static_cast<unsigned>(from.m_answers.size()));
    for (unsigned index = 0; index < answers.size(); ++index)
        answers.set(index, from.m_answers[index]);
    to.setRetryAfterMs(to_ms(from.m_retry_after));
}

job_answer read_wire(wire::JobAnswer::Reader from)
{
    job_answer answer;
    answer.m_outcome = read_wire(from.getOutcome());
    for (const auto text : from.getAnswers())
        answer.m_answers.push_back(copy_text(text));
    answer.m_retry_after = from_ms(from.getRetryAfterMs());
    return answer;
}

void write_wire(wire::Grant::Builder to, const grant& from, instant now)
{
    write_wire(to.initHome(), from.m_home);
    write_wire(to.initId(), from.m_id);
    to.setAttempt(from.m_attempt);
    to.setTeam(from.m_team);
    to.setPayload(from.m_payload);
    to.setBudgetMs(to_ms(from.m_budget));
    to.setEstimatedMs(to_ms(from.m_estimated));
    to.setValidForMs(to_ms(std::chrono::duration_cast<milliseconds>(from.m_valid_until - now)));
    to.setSent(from.m_sent);
}

grant read_wire(wire::Grant::Reader from, instant now)
{
    grant value;
    value.m_home = read_wire(from.getHome());
    value.m_id = read_wire(from.getId());
    value.m_attempt = from.getAttempt();
    value.m_team = copy_text(from.getTeam());
    value.m_payload = copy_text(from.getPayload());
    value.m_budget = from_ms(from.getBudgetMs());
    value.m_estimated = from_ms(from.getEstimatedMs());
    value.m_valid_until = now + from_ms(from.getValidForMs());
    value.m_sent = from.getSent();
    return value;
}

void write_wire(wire::TaskEnd::Builder to, const task_end& from)
{
    write_wire(to.initOutcome(), from.m_outcome);
    to.setAnswer(from.m_answer);
}

task_end read_wire(wire::TaskEnd::Reader from)
{
    return {read_wire(from.getOutcome()), copy_text(from.getAnswer())};
}

void write_wire(wire::Announcement::Builder to, const announcement& from, milliseconds age)
{
    const worker& described_worker = from.m_worker;
    write_wire(to.initIdentity(), described_worker.identity());
    to.setService(described_worker.service());
    to.setRegion(described_worker.where().m_region);
    to.setZone(described_worker.where().m_zone);
    to.setRack(described_worker.where().m_rack);
    to.setAddress(described_worker.address());
    to.setSlots(clamp_to<std::uint16_t>(described_worker.slots()));
    to.setMemoryMib(clamp_to<std::uint32_t>(described_worker.memory_mib()));
    to.setAccelerators(clamp_to<std::uint16_t>(described_worker.accelerators()));
    to.setGeneration(from.m_generation);
    to.setSequence(from.m_sequence);
    to.setState(static_cast<std::uint8_t>(from.m_state));
    write_wire(to.initLoad(), from.m_load);
    to.setAgeMs(to_ms(age));
}

std::optional<announcement> read_wire(wire::Announcement::Reader from)
{
    worker_builder builder(read_wire(from.getIdentity()), copy_text(from.getService()));
    builder.set_place({copy_text(from.getRegion()), copy_text(from.getZone()), copy_text(from.getRack())})
        .set_address(copy_text(from.getAddress()))
        .set_capacity(from.getSlots(), clamp_to<int>(from.getMemoryMib()), from.getAccelerators());
    last_reason ignored;
    const auto described_worker = builder.build(ignored);
    if (!described_worker || from.getState() > static_cast<std::uint8_t>(member_state::gone))
        return std::nullopt;
    return announcement{*described_worker, from.getGeneration(), from.getSequence(),
                        static_cast<member_state>(from.getState()), read_wire(from.getLoad())};
}

void write_wire(wire::Heartbeat::Builder to, const heartbeat& from, milliseconds age)
{
    to.setId(from.m_identity.m_id);
    to.setIncarnation(static_cast<std::uint64_t>(from.m_identity.m_incarnation));
    to.setSequence(from.m_sequence);
    to.setRunning(clamp_to<std::uint16_t>(from.m_load.m_running));
    to.setFailuresPerMille(clamp_to<std::uint16_t>(from.m_load.m_failures_per_mille));
    to.setQueued(clamp_to<std::uint32_t>(from.m_load.m_queued));
    to.setEstimatedWaitMs(to_ms(from.m_load.m_estimated_wait));
    to.setAgeMs(clamp_to<std::uint16_t>(age.count()));
    to.setStopped(from.m_load.m_is_stopped);
}

heartbeat read_wire(wire::Heartbeat::Reader from)
{
    heartbeat update{
        {copy_text(from.getId()), incarnation_id{from.getIncarnation()}}, from.getSequence(), {}};
    update.m_load.m_running = from.getRunning();
    update.m_load.m_failures_per_mille = from.getFailuresPerMille();
    update.m_load.m_queued = clamp_to<int>(from.getQueued());
    update.m_load.m_estimated_wait = from_ms(from.getEstimatedWaitMs());
    update.m_load.m_is_stopped = from.getStopped();
    return update;
}

void write_wire(wire::EntryInfo::Builder to, const entry_member& from, milliseconds age)
{
    to.setId(from.m_id);
    to.setAddress(from.m_address);
    to.setAgeMs(to_ms(age));
}

void write_wire(wire::ConfigUpdate::Builder to, log_offset version,
                const std::map<std::string, published_file>& files)
{
    to.setVersion(version);
    auto list = to.initFiles(static_cast<unsigned>(files.size()));
    unsigned index = 0;
    for (const auto& [path, file] : files) {
        auto item = list[index++];
        item.setPath(path);
        item.setVersion(file.m_version);
        item.setContent(file.m_content.value_or(""));
        item.setRemoved(!file.m_content);
    }
}

std::map<std::string, published_file> read_wire(wire::ConfigUpdate::Reader from)
{
    std::map<std::string, published_file> files;
    for (const auto item : from.getFiles()) {
        published_file file;
        file.m_version = item.getVersion();
        if (!item.getRemoved())
            file.m_content = copy_text(item.getContent());
        files.emplace(copy_text(item.getPath()), file);
    }
    return files;
}

} // namespace hawthornpin
