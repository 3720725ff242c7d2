// The RPC face of an entry: announcements of agents and exchange between entries.

#pragma once

#include "main/entry_process.h"

namespace hawthornpin {

// Serves the entry's group of calls; the agent's group stays unimplemented.
class entry_process::node_server final : public wire::Node::Server {
public:
    explicit node_server(entry_process& process) : m_process(process) {}

    kj::Promise<void> announce(AnnounceContext context) override;
    kj::Promise<void> exchange(ExchangeContext context) override;

private:
    // The peers of an agent: all of them in short, and in full those that changed after `seen`.
    void write_peers(wire::Node::AnnounceResults::Builder to, const worker& asking, std::uint64_t seen) const;
    void write_entries(capnp::List<wire::EntryInfo>::Builder to) const;

    entry_process& m_process;
};

} // namespace hawthornpin
