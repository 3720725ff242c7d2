// HTTP server on KJ's HTTP library whose handler returns KJ promises. Limits are checked before input is
// stored.

#pragma once

#include "core/event_loop.h"
#include "core/last_reason.h"
#include "http/server_connection.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hawthornpin {

// Listens on one address from listen() until stop_listening().
class api_server {
public:
    // The guard is shared by the servers of a process and outlives them.
    api_server(api_handler handler, const api_limits& limits, input_guard& guard);
    // A server with the default limits of the input of a process for itself.
    api_server(api_handler handler, const api_limits& limits);
    api_server(const api_server&) = delete;
    api_server& operator=(const api_server&) = delete;

    // Starts to listen on IP:port; false with a reason on failure.
    bool listen(const std::string& address, last_reason& why);
    void stop_listening();

    // The IP:port listened on.
    std::string address() const;
    // Number of requests whose response has not been passed to the connection yet; the last bytes of a
    // response may be sent later.
    int in_progress() const { return m_context.m_in_progress; }

private:
    kj::Promise<void> run_accept_loop();
    // Fulfilled when no connection is waiting to be accepted.
    kj::Promise<void> accept_pending();
    enum class accept_result { nothing_left, batch_done, out_of_resources };
    // Accepts and serves waiting connections.
    accept_result accept_batch();
    // The client connected no earlier than `unread_since`.
    void serve(file_descriptor socket, instant unread_since);

    std::unique_ptr<input_guard> m_own_guard;
    server_context m_context;
    // The connections.
    background_tasks m_tasks;
    file_descriptor m_listener;
    std::optional<descriptor_watch> m_listener_watch;
    kj::Promise<void> m_accepting = nullptr;
};

// The value of a key in a query string; empty if the key is missing.
std::string query_value(const std::string& query, const char* key);

// The segments of a path, without empty ones.
std::vector<std::string> split_path(const std::string& path);

} // namespace hawthornpin
