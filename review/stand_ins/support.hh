// Time, the record of a case, HTTP messages on blocking sockets, and a small reader for JSON bodies.

#pragma once

#include <atomic>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review {

// Milliseconds of the monotonic clock since the start of the case.
long long now_ms();
// Milliseconds since 1970.
long long unix_ms();
void sleep_ms(long long span);
// Sleeps until now_ms() reaches the time.
void sleep_until(long long time);

// The file record.txt: one line for each thing that was sent, answered or run, with its time.
class record {
public:
    explicit record(const std::string& path) : m_file(path) {}

    void write(const std::string& line);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

struct http_message {
    // Requests only.
    std::string m_method;
    std::string m_path;
    std::string m_query;
    // Responses only; 0 if no complete response was received.
    int m_status = 0;
    // Names in lower case.
    std::map<std::string, std::string> m_headers;
    std::string m_body;
};

// A connected socket, closed when destroyed.
class connection {
public:
    explicit connection(int descriptor) : m_descriptor(descriptor), m_opened_at(now_ms()) {}
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    bool is_open() const { return m_descriptor >= 0; }
    int descriptor() const { return m_descriptor; }
    long long opened_at() const { return m_opened_at; }
    // Empty at the end of the stream, on an error, or if nothing arrives within the time (0: no limit).
    std::optional<http_message> read(bool is_request, long long timeout_ms);
    bool send(const std::string& bytes);
    // Reads and answers nothing until the peer closes the connection.
    void keep_silent();
    // Closes the connection with a reset.
    void reset();

private:
    bool receive(long long deadline);

    int m_descriptor;
    long long m_opened_at;
    std::string m_buffer;
};

// A listening socket at IP:port; -1 on failure.
int listen_at(const std::string& address);

// Connects to IP:port; the connection is not open on failure.
std::unique_ptr<connection> connect_to(const std::string& address);

// Calls once on a new connection. Status 0 if there was no complete response within the time.
http_message call(const std::string& address, const std::string& method, const std::string& path,
                  const std::map<std::string, std::string>& headers, const std::string& body,
                  long long timeout_ms);
std::string format_request(const std::string& method, const std::string& path,
                           const std::map<std::string, std::string>& headers, const std::string& body);
std::string format_response(int status, const std::string& body);

// Serves each connection in a thread of its own, one request after the other.
class http_server {
public:
    // Returns the response; an empty one closes the connection without a response.
    using handler = std::function<std::string(const http_message& request, connection& from)>;

    http_server(std::string address, handler handle);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    // Starts to listen; false if the address is in use.
    bool start();
    // Closes the listener and resets all connections.
    void stop();

private:
    void accept_all();
    void serve(std::shared_ptr<connection> client);

    std::string m_address;
    handler m_handle;
    int m_listener = -1;
    std::atomic<bool> m_is_stopping{false};
    std::mutex m_mutex;
    std::vector<std::shared_ptr<connection>> m_connections;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

// Values of the members of a flat JSON object, as the programs write them; nested values are not looked into.
std::string json_text(const std::string& body, const std::string& name);
std::optional<long long> json_integer(const std::string& body, const std::string& name);
std::string quote(const std::string& text);

} // namespace review
