// The RPC face of an agent: what entries and peers may ask of it.

#pragma once

#include "main/agent_process.h"

namespace hawthornpin {

// Serves the agent's group of calls; the entry's group stays unimplemented.
class agent_process::node_server final : public wire::Node::Server {
public:
    explicit node_server(agent_process& process) : m_process(process) {}

    kj::Promise<void> submit(SubmitContext context) override;
    kj::Promise<void> fetch(FetchContext context) override;
    kj::Promise<void> cancel(CancelContext context) override;
    kj::Promise<void> run(RunContext context) override;
    kj::Promise<void> revoke(RevokeContext context) override;
    kj::Promise<void> idle(IdleContext context) override;

private:
    // Refuses calls that come before the target is known.
    bool is_serving() const { return m_process.m_dispatcher != nullptr; }
    kj::Promise<void> wait_for_end(const ticket_id& id);
    // Notes a sender's count and returns the highest it has said.
    std::uint64_t record_received(const std::string& sender, std::uint64_t sent);
    bool write_answer(wire::JobAnswer::Builder to, const ticket_id& id) const;

    agent_process& m_process;
};

} // namespace hawthornpin
