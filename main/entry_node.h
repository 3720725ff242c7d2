// RPC service of an entry: announcements of agents and exchanges between entries.

#pragma once

#include "main/entry_process.h"

namespace hawthornpin {

// Implements the entry's calls of the node interface; the agent's calls stay unimplemented.
class entry_process::node_server final : public wire::Node::Server {
public:
    explicit node_server(entry_process& process) : m_process(process) {}

    kj::Promise<void> announce(AnnounceContext context) override;
    kj::Promise<void> exchange(ExchangeContext context) override;

private:
    // Writes the peers of an agent: heartbeats of all, and full announcements of those that changed after
    // `seen`.
    void write_peers(wire::Node::AnnounceResults::Builder to, const worker& asking, std::uint64_t seen) const;
    void write_entries(capnp::List<wire::EntryInfo>::Builder to) const;

    entry_process& m_process;
};

} // namespace hawthornpin
