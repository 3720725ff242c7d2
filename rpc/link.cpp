// Opening, authentication and bookkeeping of links.

#include "rpc/link.h"

#include "core/event_loop.h"
#include "rpc/rpc_server.h"

#include <capnp/rpc-twoparty.h>
#include <kj/debug.h>

#include <algorithm>

namespace hawthornpin {

namespace {

constexpr unsigned connect_timeout_ms = 1'000;

kj::Promise<wire::Node::Client> authenticate(wire::Authenticator::Client authenticator,
                                             const std::string& key)
{
    return authenticator.challengeRequest().send().then(
        [authenticator, key](auto response) mutable -> kj::Promise<wire::Node::Client> {
            auto request = authenticator.authenticateRequest();
            request.setProof(compute_challenge_proof(key, response.getNonce().cStr()));
            return request.send().then([](auto response_with_node) { return response_with_node.getNode(); });
        });
}

template <typename Value>
kj::Promise<Value> with_timeout(kj::Promise<Value>&& promise, unsigned timeout_ms)
{
    auto timed_out = after_delay(timeout_ms).then([]() -> kj::Promise<Value> {
        return KJ_EXCEPTION(DISCONNECTED, "the connection took too long to open and authenticate");
    });
    return promise.exclusiveJoin(kj::mv(timed_out));
}

} // namespace

namespace {

// The parts of a connection. Shared with the continuations that open it, because calls that wait for the node
// keep these running after the link itself was dropped.
struct connection : kj::Refcounted {
    using system = capnp::RpcSystem<capnp::rpc::twoparty::VatId>;

    connection(std::shared_ptr<incomplete_messages> incomplete, message_limits limits)
        : m_incomplete_messages(std::move(incomplete)), m_limits(limits)
    {
    }

    std::shared_ptr<incomplete_messages> m_incomplete_messages;
    message_limits m_limits;
    kj::Own<glib_stream> m_stream;
    kj::Own<bounded_message_stream> m_messages;
    kj::Own<capnp::TwoPartyVatNetwork> m_network;
    kj::Own<system> m_system;
};

kj::Promise<wire::Node::Client> open_connection(kj::Own<connection> opened, const std::string& address,
                                                const std::string& key)
{
    return connect_stream(address).then([opened = kj::mv(opened), key](kj::Own<glib_stream> stream) mutable {
        opened->m_stream = kj::mv(stream);
        opened->m_messages = kj::heap<bounded_message_stream>(
            *opened->m_stream, *opened->m_incomplete_messages, opened->m_limits);
        opened->m_network = kj::heap<capnp::TwoPartyVatNetwork>(
            *opened->m_messages, capnp::rpc::twoparty::Side::CLIENT, rpc_reader_options());
        opened->m_system = kj::heap<connection::system>(capnp::makeRpcClient(*opened->m_network));
        capnp::MallocMessageBuilder message;
        auto server = message.initRoot<capnp::rpc::twoparty::VatId>();
        server.setSide(capnp::rpc::twoparty::Side::SERVER);
        auto node = authenticate(opened->m_system->bootstrap(server).castAs<wire::Authenticator>(), key);
        // The peer has accepted the proof of this process. What it sends next are answers.
        return node
            .then([&messages = *opened->m_messages](wire::Node::Client authenticated) {
                messages.set_authenticated();
                return authenticated;
            })
            .attach(kj::mv(opened));
    });
}

} // namespace

// One connection. The node promise is shared by all calls.
class link_pool::link {
public:
    link(const std::string& address, const std::string& key, kj::Own<connection> opened)
        : m_connection(kj::mv(opened)),
          m_node(with_timeout(open_connection(kj::addRef(*m_connection), address, key), connect_timeout_ms)
                     .fork())
    {
    }

    kj::Promise<wire::Node::Client> node()
    {
        if (!m_unanswered_since)
            m_unanswered_since = boot_now();
        return m_node.addBranch();
    }

    void record_answer() { m_unanswered_since.reset(); }
    bool is_unresponsive() const
    {
        return m_unanswered_since && *m_unanswered_since + unresponsive_link_timeout <= boot_now();
    }

    std::uint64_t m_last_use = 0;

private:
    kj::Own<connection> m_connection;
    kj::ForkedPromise<wire::Node::Client> m_node;
    // Time of the first call since the last answer; empty if there was none.
    std::optional<instant> m_unanswered_since;
};

link_pool::link_pool(std::string cluster_key, std::size_t max_links, message_limits limits)
    : m_cluster_key(std::move(cluster_key)), m_max_links(max_links), m_message_limits(limits),
      m_incomplete_messages(std::make_shared<incomplete_messages>(limits.m_max_incomplete_bytes))
{
}

link_pool::~link_pool() = default;

kj::Promise<wire::Node::Client> link_pool::node(const std::string& address)
{
    auto found = m_links.find(address);
    if (found == m_links.end()) {
        evict_if_full();
        found = m_links
                    .emplace(address, std::make_unique<link>(address, m_cluster_key,
                                                             kj::refcounted<connection>(m_incomplete_messages,
                                                                                        m_message_limits)))
                    .first;
    }
    found->second->m_last_use = ++m_use_count;
    return found->second->node();
}

void link_pool::drop(const std::string& address)
{
    const auto found = m_links.find(address);
    if (found == m_links.end())
        return;
    m_closed_links.add(std::move(found->second));
    m_links.erase(found);
}

void link_pool::record_answer(const std::string& address)
{
    const auto found = m_links.find(address);
    if (found != m_links.end())
        found->second->record_answer();
}

void link_pool::record_timeout(const std::string& address)
{
    const auto found = m_links.find(address);
    if (found != m_links.end() && found->second->is_unresponsive())
        drop(address);
}

void link_pool::evict_if_full()
{
    if (m_links.size() < m_max_links)
        return;
    const auto oldest =
        std::min_element(m_links.begin(), m_links.end(), [](const auto& left, const auto& right) {
            return left.second->m_last_use < right.second->m_last_use;
        });
    drop(oldest->first);
}

} // namespace hawthornpin
