// Accepts, authenticates and closes connections.

#include "rpc/rpc_server.h"

#include "core/event_loop.h"
#include "core/random.h"
#include "core/ticket.h"

#include <capnp/rpc-twoparty.h>
#include <glib-unix.h>
#include <kj/debug.h>

#include <algorithm>
#include <functional>
#include <sys/socket.h>

namespace hawthornpin {

namespace {

// Connections that are accepted in one iteration of the loop. The handshakes of those accepted before proceed
// in between, so that connections that wait in the queue don't evict each other.
constexpr int max_accepts_at_once = 16;

// Gives the node to peers that prove that they know the cluster key. Each connection has its own instance.
class authenticator_server final : public wire::Authenticator::Server {
public:
    // `on_authenticated` is called at each successful proof.
    authenticator_server(const std::string& cluster_key, wire::Node::Client node,
                         std::function<void()> on_authenticated, metrics& counts)
        : m_cluster_key(cluster_key), m_node(kj::mv(node)), m_nonce(to_text(generate_ticket_id())),
          m_on_authenticated(std::move(on_authenticated)), m_metrics(counts)
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
        m_on_authenticated();
        context.getResults().setNode(m_node);
        return kj::READY_NOW;
    }

private:
    const std::string& m_cluster_key;
    wire::Node::Client m_node;
    std::string m_nonce;
    std::function<void()> m_on_authenticated;
    metrics& m_metrics;
};

} // namespace

std::string compute_challenge_proof(const std::string& cluster_key, const std::string& nonce)
{
    return hmac_hex(cluster_key, "hawthornpin-rpc-1." + nonce);
}

// One accepted connection. Its destruction cancels the calls in progress on it.
class rpc_server::connection {
public:
    connection(rpc_server& server, file_descriptor socket)
        : m_stream(std::move(socket)),
          m_messages(m_stream, server.m_incomplete_messages, server.m_limits.m_messages),
          m_network(m_messages, capnp::rpc::twoparty::Side::SERVER, rpc_reader_options()),
          m_system(capnp::makeRpcServer(m_network, kj::heap<authenticator_server>(
                                                       server.m_cluster_key, server.m_node,
                                                       [this, &server] { set_authenticated(server); },
                                                       server.m_metrics))),
          m_close_task(close_when_done(server))
    {
        m_messages.set_violation_callback([this, &server] { server.close_connection(this); });
    }

private:
    void set_authenticated(rpc_server& server)
    {
        if (m_is_authenticated)
            return;
        m_is_authenticated = true;
        m_messages.set_authenticated();
        server.keep_connection(this);
    }

    kj::Promise<void> close_when_done(rpc_server& server)
    {
        auto unauthenticated = after_delay(server.m_limits.m_authentication_timeout_ms)
                                   .then([this, &server]() -> kj::Promise<void> {
                                       if (m_is_authenticated)
                                           return kj::NEVER_DONE;
                                       server.m_metrics.count(counter::rpc_authentication_timeouts);
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
    bounded_message_stream m_messages;
    capnp::TwoPartyVatNetwork m_network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> m_system;
    kj::Promise<void> m_close_task;
};

rpc_server::rpc_server(file_descriptor socket, std::string cluster_key, wire::Node::Client node,
                       rpc_server_limits limits, metrics& counts)
    : m_socket(std::move(socket)), m_address(local_address(m_socket)), m_cluster_key(std::move(cluster_key)),
      m_node(kj::mv(node)), m_limits(limits), m_metrics(counts),
      m_incomplete_messages(limits.m_messages.m_max_incomplete_bytes),
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
    static_cast<rpc_server*>(data)->accept_some();
    return G_SOURCE_CONTINUE;
}

void rpc_server::accept_some()
{
    for (int count = 0; count < max_accepts_at_once; ++count) {
        file_descriptor accepted(
            ::accept4(m_socket.number(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (!accepted.is_open())
            return;
        if (m_unauthenticated.size() >= m_limits.m_max_unauthenticated) {
            m_metrics.count(counter::rpc_unauthenticated_evicted);
            close_connection(m_unauthenticated.front().get());
        }
        m_unauthenticated.push_back(std::make_unique<connection>(*this, std::move(accepted)));
    }
}

void rpc_server::keep_connection(connection* authenticated)
{
    const auto found =
        std::find_if(m_unauthenticated.begin(), m_unauthenticated.end(),
                     [authenticated](const auto& item) { return item.get() == authenticated; });
    // A connection that is being closed may still authenticate.
    if (found == m_unauthenticated.end())
        return;
    if (!m_connections.empty() && m_connections.size() >= m_limits.m_max_connections) {
        m_metrics.count(counter::connections_closed_for_budget);
        close_connection(m_connections.front().get());
    }
    m_connections.splice(m_connections.end(), m_unauthenticated, found);
}

void rpc_server::close_connection(connection* closed)
{
    if (!close_connection(m_unauthenticated, closed))
        close_connection(m_connections, closed);
}

bool rpc_server::close_connection(connection_list& list, connection* closed)
{
    const auto found =
        std::find_if(list.begin(), list.end(), [closed](const auto& item) { return item.get() == closed; });
    if (found == list.end())
        return false;
    m_closed_connections.add(std::move(*found));
    list.erase(found);
    return true;
}

} // namespace hawthornpin
