// RPC service of an agent: the calls that entries and peers make.

#pragma once

#include "main/agent_process.h"

namespace hawthornpin {

// Implements the agent's calls of the node interface; the entry's calls stay unimplemented.
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
    // Whether the target is known; calls that arrive before are refused.
    bool is_serving() const { return m_process.m_dispatcher != nullptr; }
    kj::Promise<void> wait_for_end(const ticket_id& id);
    // Records the number of tasks that a sender reports to have sent; returns the highest one reported so
    // far.
    std::uint64_t record_received(const std::string& sender, std::uint64_t sent);
    bool write_answer(wire::JobAnswer::Builder to, const ticket_id& id) const;

    agent_process& m_process;
};

} // namespace hawthornpin
