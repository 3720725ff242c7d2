// The accepting end of links. A connection starts with an Authenticator, through which the peer gets the
// Node.

#pragma once

#include "core/deferred_deletion.h"
#include "core/glib_stream.h"
#include "core/metrics.h"
#include "rpc/bounded_message_stream.h"
#include "rpc/hawthornpin.capnp.h"

#include <list>

namespace hawthornpin {

struct rpc_server_limits {
    // Authenticated connections. Beyond it, the one that authenticated first is closed.
    std::size_t m_max_connections = 48;
    // Connections that have not authenticated. Beyond it, the one that was accepted first is closed. More
    // than the agents that connect to an entry while its loop is paused for a second (262 agents that present
    // themselves every 1.5 s); each holds about 20 KiB.
    std::size_t m_max_unauthenticated = 256;
    // A connection that has not authenticated within this time is closed.
    unsigned m_authentication_timeout_ms = 5'000;
    message_limits m_messages;
};

// Accepts connections on one address and serves the given node to authenticated peers. Connections that have
// not authenticated never replace those that have.
class rpc_server {
public:
    rpc_server(file_descriptor socket, std::string cluster_key, wire::Node::Client node,
               rpc_server_limits limits, metrics& counts);
    ~rpc_server();
    rpc_server(const rpc_server&) = delete;
    rpc_server& operator=(const rpc_server&) = delete;

    const std::string& address() const { return m_address; }
    // Number of open connections, authenticated or not.
    std::size_t connections() const { return m_connections.size() + m_unauthenticated.size(); }
    // Memory held for messages that have not arrived completely.
    std::size_t incomplete_bytes() const { return m_incomplete_messages.bytes(); }

    // Stops accepting; existing connections stay open.
    void stop_accepting();

private:
    class connection;
    using connection_list = std::list<std::unique_ptr<connection>>;

    static gboolean on_acceptable(gint descriptor, GIOCondition condition, gpointer data);
    void accept_some();
    void close_connection(connection* closed);
    bool close_connection(connection_list& list, connection* closed);
    // Called when a connection has authenticated.
    void keep_connection(connection* authenticated);

    file_descriptor m_socket;
    std::string m_address;
    std::string m_cluster_key;
    wire::Node::Client m_node;
    rpc_server_limits m_limits;
    metrics& m_metrics;
    incomplete_messages m_incomplete_messages;
    // In the order in which they authenticated.
    connection_list m_connections;
    // In the order in which they were accepted.
    connection_list m_unauthenticated;
    deferred_deletion<connection> m_closed_connections;
    guint m_source = 0;
};

// The answer to an authentication challenge, which proves that the peer knows the cluster key.
std::string compute_challenge_proof(const std::string& cluster_key, const std::string& nonce);

} // namespace hawthornpin
