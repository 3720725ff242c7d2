// Accepts, authenticates and closes connections.

#include "rpc/rpc_server.h"

#include "core/event_loop.h"
#include "core/random.h"
#include "core/ticket.h"

#include <capnp/rpc-twoparty.h>
#include <glib-unix.h>
#include <kj/debug.h>

#include <algorithm>
#include <sys/socket.h>

namespace hawthornpin {

namespace {

// Gives the node to peers that prove that they know the cluster key. Each connection has its own instance.
class authenticator_server final : public wire::Authenticator::Server {
public:
    authenticator_server(const std::string& cluster_key, wire::Node::Client node, bool& is_authenticated,
                         metrics& counts)
        : m_cluster_key(cluster_key), m_node(kj::mv(node)), m_nonce(to_text(generate_ticket_id())),
          m_is_authenticated(is_authenticated), m_metrics(counts)
    {
    }

    kj::Promise<void> challenge(ChallengeContext context) override
    {
        context.getResults().setNonce(m_nonce);
        return kj::READY_NOW;
    }

    kj::Promise<void> authenticate(AuthenticateContext context) override
    {
        const std::string proof = context.getParams().getProof().cStr();
        if (!is_equal_constant_time(proof, compute_challenge_proof(m_cluster_key, m_nonce))) {
            m_metrics.count(counter::rpc_authentication_failures);
            return KJ_EXCEPTION(FAILED, "the proof does not match the cluster key");
        }
        m_is_authenticated = true;
        context.getResults().setNode(m_node);
        return kj::READY_NOW;
    }

private:
    const std::string& m_cluster_key;
    wire::Node::Client m_node;
    std::string m_nonce;
    bool& m_is_authenticated;
    metrics& m_metrics;
};

} // namespace

capnp::ReaderOptions rpc_reader_options()
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = max_rpc_message_bytes / sizeof(capnp::word);
    return options;
}

std::string compute_challenge_proof(const std::string& cluster_key, const std::string& nonce)
{
    return hmac_hex(cluster_key, "hawthornpin-rpc-1." + nonce);
}

// One accepted connection. Its destruction cancels the calls in progress on it.
class rpc_server::connection {
public:
    connection(rpc_server& server, file_descriptor socket)
        : m_stream(std::move(socket)),
          m_network(m_stream, capnp::rpc::twoparty::Side::SERVER, rpc_reader_options()),
          m_system(capnp::makeRpcServer(
              m_network, kj::heap<authenticator_server>(server.m_cluster_key, server.m_node,
                                                        m_is_authenticated, server.m_metrics))),
          m_close_task(close_when_done(server))
    {
    }

private:
    kj::Promise<void> close_when_done(rpc_server& server)
    {
        auto unauthenticated =
            after_delay(server.m_limits.m_authentication_timeout_ms).then([this]() -> kj::Promise<void> {
                if (m_is_authenticated)
                    return kj::NEVER_DONE;
                return kj::READY_NOW;
            });
        return m_network.onDisconnect()
            .exclusiveJoin(kj::mv(unauthenticated))
            .then([this, &server] { server.close_connection(this); },
                  [this, &server](kj::Exception&&) { server.close_connection(this); })
            .eagerlyEvaluate(nullptr);
    }

    bool m_is_authenticated = false;
    glib_stream m_stream;
    capnp::TwoPartyVatNetwork m_network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> m_system;
    kj::Promise<void> m_close_task;
};

rpc_server::rpc_server(file_descriptor socket, std::string cluster_key, wire::Node::Client node,
                       rpc_server_limits limits, metrics& counts)
    : m_socket(std::move(socket)), m_address(local_address(m_socket)), m_cluster_key(std::move(cluster_key)),
      m_node(kj::mv(node)), m_limits(limits), m_metrics(counts),
      m_source(g_unix_fd_add(m_socket.number(), G_IO_IN, on_acceptable, this))
{
}

rpc_server::~rpc_server()
{
    stop_accepting();
}

void rpc_server::stop_accepting()
{
    if (m_source != 0)
        g_source_remove(m_source);
    m_source = 0;
    m_socket = file_descriptor();
}

gboolean rpc_server::on_acceptable(gint /*descriptor*/, GIOCondition /*condition*/, gpointer data)
{
    static_cast<rpc_server*>(data)->accept_all();
    return G_SOURCE_CONTINUE;
}

void rpc_server::accept_all()
{
    while (true) {
        file_descriptor accepted(
            ::accept4(m_socket.number(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (!accepted.is_open())
            return;
        evict_if_full();
        m_connections.push_back(std::make_unique<connection>(*this, std::move(accepted)));
    }
}

void rpc_server::evict_if_full()
{
    if (m_connections.size() < m_limits.m_max_connections)
        return;
    m_metrics.count(counter::connections_closed_for_budget);
    close_connection(m_connections.front().get());
}

void rpc_server::close_connection(connection* closed)
{
    const auto found = std::find_if(m_connections.begin(), m_connections.end(),
                                    [closed](const auto& item) { return item.get() == closed; });
    if (found == m_connections.end())
        return;
    m_closed_connections.add(std::move(*found));
    m_connections.erase(found);
}

} // namespace hawthornpin
