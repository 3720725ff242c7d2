// Stand-ins for the platform's store, its workers and its clients, and the start of the project's programs, for
// the cases of the second review. They speak what the platform's protocol page says, over loopback addresses
// and on the real clock. Every machine has a loopback address of its own, so that the fixed ports of the deploy
// file don't collide.

#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace rig {

// ---- time and the record ----

inline long long steady_ms()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
}

inline long long unix_ms()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

inline void sleep_ms(long long span)
{
    if (span > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(span));
}

inline const long long began = steady_ms();
// Milliseconds since the case began.
inline long long now()
{
    return steady_ms() - began;
}

inline std::mutex record_lock;
inline FILE* record_file = nullptr;

// A line of record.txt: what was sent, answered or run, and when.
__attribute__((format(printf, 1, 2))) inline void record(const char* format, ...)
{
    const std::lock_guard<std::mutex> guard(record_lock);
    if (record_file == nullptr)
        return;
    std::fprintf(record_file, "%8lld ", now());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(record_file, format, arguments);
    va_end(arguments);
    std::fputc('\n', record_file);
    std::fflush(record_file);
}

// ---- a little JSON: fields of flat objects without white space between tokens ----

inline std::size_t value_position(const std::string& text, const std::string& key)
{
    const std::size_t at = text.find("\"" + key + "\"");
    if (at == std::string::npos)
        return at;
    std::size_t position = at + key.size() + 2;
    while (position < text.size() && (text[position] == ':' || text[position] == ' '))
        ++position;
    return position;
}

inline long long number_of(const std::string& text, const std::string& key, long long otherwise = 0)
{
    const std::size_t at = value_position(text, key);
    return at == std::string::npos ? otherwise : std::atoll(text.c_str() + at);
}

inline std::string text_of(const std::string& text, const std::string& key)
{
    const std::size_t at = value_position(text, key);
    if (at == std::string::npos || text[at] != '"')
        return "";
    return text.substr(at + 1, text.find('"', at + 1) - at - 1);
}

inline std::string base64(const std::string& text)
{
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t at = 0; at < text.size(); at += 3) {
        unsigned group = 0;
        for (std::size_t offset = 0; offset < 3; ++offset)
            group = group << 8 | (at + offset < text.size() ? static_cast<unsigned char>(text[at + offset]) : 0);
        for (std::size_t digit = 0; digit < 4; ++digit)
            result += at + digit > text.size() ? '=' : digits[group >> (18 - 6 * digit) & 63];
    }
    return result;
}

// ---- HTTP ----

struct request {
    std::string method, path, query, body;
    std::map<std::string, std::string> headers;
};

struct response {
    int status = 200;
    std::string body = "{}";
    // The request gets no answer; its connection stays open.
    bool unanswered = false;
};

inline sockaddr_in address_of(const std::string& ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline bool send_all(int socket, const std::string& text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t count = ::send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

// Parses the header lines after the first line.
inline std::map<std::string, std::string> parse_headers(const std::string& head)
{
    std::map<std::string, std::string> headers;
    std::size_t at = head.find("\r\n");
    while (at != std::string::npos && at + 2 < head.size()) {
        const std::size_t end = std::min(head.find("\r\n", at + 2), head.size());
        const std::string line = head.substr(at + 2, end - at - 2);
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            std::size_t value = colon + 1;
            while (value < line.size() && line[value] == ' ')
                ++value;
            headers[lower(line.substr(0, colon))] = line.substr(value);
        }
        at = end == head.size() ? std::string::npos : end;
    }
    return headers;
}

// Reads one message into head and body; false at the end of the stream or the deadline (on now()).
inline bool read_message(int socket, std::string& buffer, std::string& head, std::string& body, long long deadline)
{
    while (true) {
        const std::size_t end = buffer.find("\r\n\r\n");
        if (end != std::string::npos) {
            head = buffer.substr(0, end);
            const auto headers = parse_headers(head);
            const auto length = headers.find("content-length");
            const std::size_t size = length == headers.end() ? 0 : std::strtoull(length->second.c_str(), nullptr, 10);
            if (buffer.size() >= end + 4 + size) {
                body = buffer.substr(end + 4, size);
                buffer.erase(0, end + 4 + size);
                return true;
            }
        }
        pollfd wait{socket, POLLIN, 0};
        const long long left = deadline - now();
        if (left <= 0 || ::poll(&wait, 1, static_cast<int>(left)) <= 0)
            return false;
        char chunk[16384];
        const ssize_t count = ::recv(socket, chunk, sizeof(chunk), 0);
        if (count <= 0)
            return false;
        buffer.append(chunk, static_cast<std::size_t>(count));
    }
}

// One thread a connection. stop() closes the listener and all connections, as the end of a process does.
class server {
public:
    using handler = std::function<response(const request&)>;

    server(std::string ip, int port, handler handle) : m_ip(std::move(ip)), m_port(port), m_handle(std::move(handle)) {}
    ~server() { stop(); }

    bool start()
    {
        m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        const sockaddr_in address = address_of(m_ip, m_port);
        if (::bind(m_listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
            ::listen(m_listener, 512) != 0)
            return false;
        m_life = std::make_shared<life>();
        m_acceptor = std::thread([listener = m_listener, current = m_life, handle = m_handle] {
            while (true) {
                const int accepted = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0)
                    return;
                {
                    const std::lock_guard<std::mutex> guard(current->lock);
                    if (current->is_over) {
                        ::close(accepted);
                        return;
                    }
                    current->sockets.insert(accepted);
                }
                std::thread(serve, accepted, current, handle).detach();
            }
        });
        return true;
    }

    void stop()
    {
        if (!m_life)
            return;
        {
            const std::lock_guard<std::mutex> guard(m_life->lock);
            m_life->is_over = true;
            for (const int socket : m_life->sockets)
                ::shutdown(socket, SHUT_RDWR);
        }
        ::shutdown(m_listener, SHUT_RDWR);
        m_acceptor.join();
        ::close(m_listener);
        m_life.reset();
    }

private:
    struct life {
        std::mutex lock;
        std::set<int> sockets;
        bool is_over = false;
    };

    static void serve(int socket, std::shared_ptr<life> current, handler handle)
    {
        const int on = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        std::string buffer, head, body;
        while (read_message(socket, buffer, head, body, now() + 3'600'000)) {
            request received;
            const std::size_t first = head.find(' ');
            const std::size_t second = head.find(' ', first + 1);
            received.method = head.substr(0, first);
            received.path = head.substr(first + 1, second - first - 1);
            const std::size_t mark = received.path.find('?');
            if (mark != std::string::npos) {
                received.query = received.path.substr(mark + 1);
                received.path.resize(mark);
            }
            received.headers = parse_headers(head);
            received.body = body;
            const response answer = handle(received);
            {
                const std::lock_guard<std::mutex> guard(current->lock);
                if (current->is_over)
                    break;
            }
            if (answer.unanswered)
                continue;
            if (!send_all(socket, "HTTP/1.1 " + std::to_string(answer.status) +
                                      " Status\r\nContent-Type: application/json\r\nContent-Length: " +
                                      std::to_string(answer.body.size()) + "\r\n\r\n" + answer.body))
                break;
        }
        const std::lock_guard<std::mutex> guard(current->lock);
        current->sockets.erase(socket);
        ::close(socket);
    }

    std::string m_ip;
    int m_port;
    handler m_handle;
    int m_listener = -1;
    std::shared_ptr<life> m_life;
    std::thread m_acceptor;
};

// A client's connection.
class connection {
public:
    connection(std::string ip, int port) : m_ip(std::move(ip)), m_port(port) {}
    ~connection() { close(); }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    bool open()
    {
        close();
        m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        const sockaddr_in address = address_of(m_ip, m_port);
        if (::connect(m_socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0)
            return true;
        close();
        return false;
    }

    // The status of the answer; 0 if the connection ended without a whole one, -1 if the time was over.
    int call(const std::string& method, const std::string& path, const std::string& headers, const std::string& body,
             long long timeout_ms, std::string* answer = nullptr)
    {
        if (m_socket < 0 && !open())
            return 0;
        const long long deadline = now() + timeout_ms;
        std::string text = method + " " + path + " HTTP/1.1\r\n" + headers;
        if (!body.empty() || method == "POST")
            text += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
        if (!send_all(m_socket, text + "\r\n" + body))
            return 0;
        std::string head, content;
        if (!read_message(m_socket, m_buffer, head, content, deadline))
            return now() >= deadline ? -1 : 0;
        if (answer != nullptr)
            *answer = content;
        const auto fields = parse_headers(head);
        const auto closing = fields.find("connection");
        if (closing != fields.end() && lower(closing->second).find("close") != std::string::npos)
            close();
        return std::atoi(head.c_str() + head.find(' '));
    }

    void close()
    {
        if (m_socket >= 0)
            ::close(m_socket);
        m_socket = -1;
        m_buffer.clear();
    }

private:
    std::string m_ip;
    int m_port;
    int m_socket = -1;
    std::string m_buffer;
};

// ---- the platform's store: a log with keyed topics ----

class store {
public:
    store(const std::string& ip, int port) : m_server(ip, port, [this](const request& asked) { return handle(asked); }) {}
    bool start() { return m_server.start(); }

    // The store has moved: this address answers 503 from now on.
    std::atomic<bool> has_moved{false};

    std::map<std::string, std::vector<std::pair<std::string, std::string>>> contents()
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        return m_topics;
    }

    void append(const std::string& topic, const std::string& key, const std::string& value)
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        m_topics[topic].push_back({key, value});
        m_changed.notify_all();
    }

private:
    static std::string parameter(const std::string& query, const std::string& name)
    {
        const std::string text = "&" + query;
        const std::size_t at = text.find("&" + name + "=");
        if (at == std::string::npos)
            return "";
        const std::size_t begin = at + name.size() + 2;
        return text.substr(begin, std::min(text.find('&', begin), text.size()) - begin);
    }

    static std::string big_endian(std::uint64_t value, int bytes)
    {
        std::string text;
        for (int byte = bytes - 1; byte >= 0; --byte)
            text += static_cast<char>(value >> (8 * byte));
        return text;
    }

    response handle(const request& asked)
    {
        const std::string topic = parameter(asked.query, "topic");
        sleep_ms(4);
        if (has_moved)
            return {503, "{}"};
        if (asked.path == "/hawthornpin/log-append" && asked.body.size() > 5) {
            const auto key_size = static_cast<unsigned char>(asked.body[4]);
            append(topic, asked.body.substr(5, key_size), asked.body.substr(5 + key_size));
            return {200, "{\"offset\":0,\"end_offset\":1}"};
        }
        std::unique_lock<std::mutex> guard(m_lock);
        auto& records = m_topics[topic];
        if (asked.path == "/hawthornpin/log-newest") {
            std::map<std::string, std::size_t> newest;
            for (std::size_t offset = 0; offset < records.size(); ++offset)
                newest[records[offset].first] = offset;
            std::string items;
            for (const auto& [key, offset] : newest) {
                items += items.empty() ? "" : ",";
                items += "{\"key\":\"" + key + "\",\"value\":\"" + base64(records[offset].second) +
                         "\",\"offset\":" + std::to_string(offset) + "}";
            }
            return {200, "{\"items\":[" + items + "],\"has_more\":false,\"end_offset\":" +
                             std::to_string(records.size()) + "}"};
        }
        if (asked.path != "/hawthornpin/log-read")
            return {404, "{}"};
        const std::size_t from = std::strtoull(parameter(asked.query, "from").c_str(), nullptr, 10);
        const long long wait = std::atoll(parameter(asked.query, "wait_ms").c_str());
        m_changed.wait_for(guard, std::chrono::milliseconds(wait), [&] { return records.size() > from; });
        response answer;
        answer.body = big_endian(records.size(), 8) + big_endian(0, 8);
        for (std::size_t offset = from; offset < records.size(); ++offset) {
            const auto& [key, value] = records[offset];
            answer.body += big_endian(1 + key.size() + value.size(), 4) + static_cast<char>(key.size()) + key + value;
        }
        return answer;
    }

    std::mutex m_lock;
    std::condition_variable m_changed;
    std::map<std::string, std::vector<std::pair<std::string, std::string>>> m_topics;
    server m_server;
};

// ---- workers ----

struct kind {
    std::string label;
    long long cpu = 16'000;
};

// Told of each start and each end of a run, under the lock of the worker.
struct run_event {
    std::string worker, task;
    long long run = 0, life = 0, at = 0;
    bool is_start = false;
    std::string how;
    long long used_cpu = 0;
    kind of;
};

// A worker as the protocol page tells it: fences, run numbers, a lease for all that runs, listed ends. The spec
// of a task is "c<thousandths of a core> d<milliseconds of work>".
class worker {
public:
    static constexpr long long max_hold_ms = 1'000;
    static constexpr long long heartbeat_ms = 1'500;
    static constexpr long long stop_takes_ms = 10;
    static constexpr long long registers_after_ms = 20;

    worker(std::string id, std::string ip, int port, int control_port, std::string service, kind of,
           std::function<void(const run_event&)> observe)
        : m_id(std::move(id)), m_ip(std::move(ip)), m_port(port), m_control_port(control_port),
          m_service(std::move(service)), m_kind(std::move(of)), m_observe(std::move(observe)),
          m_server(m_ip, m_port, [this](const request& asked) { return handle(asked); })
    {
    }
    ~worker()
    {
        m_is_ending = true;
        if (m_ticker.joinable())
            m_ticker.join();
        if (m_beats.joinable())
            m_beats.join();
    }

    // Disruptions; see the case that sets them.
    std::atomic<bool> stands_still{false};
    std::atomic<bool> leaves_orders_unanswered{false};
    std::atomic<long long> unanswered{0};

    const std::string& id() const { return m_id; }

    // Announces a planned end: the worker reports that it drains, at once, and goes on serving.
    void drain()
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        m_is_draining = true;
        m_beats_at_once = true;
    }
    // When the first report of that was acknowledged; -1 before.
    std::atomic<long long> drain_acknowledged_at{-1};

    bool start()
    {
        begin_life(m_kind);
        if (!m_server.start())
            return false;
        m_ticker = std::thread([this] {
            while (!m_is_ending) {
                sleep_ms(2);
                const std::lock_guard<std::mutex> guard(m_lock);
                advance();
            }
        });
        m_beats = std::thread([this] {
            connection control(m_ip, m_control_port);
            long long next = 0;
            long long life = -1;
            while (!m_is_ending) {
                std::string body;
                bool tells_drain = false;
                {
                    const std::lock_guard<std::mutex> guard(m_lock);
                    if (std::exchange(m_beats_at_once, false))
                        next = 0;
                    tells_drain = m_is_draining;
                    // It registers once it takes calls.
                    const bool is_registering = life != m_life && now() >= m_clock_began + registers_after_ms;
                    if (m_is_up && (is_registering || (life == m_life && now() >= next))) {
                        life = m_life;
                        body = heartbeat();
                    }
                }
                if (body.empty()) {
                    sleep_ms(2);
                    continue;
                }
                const int status =
                    control.call("POST", "/hawthornpin/instances/" + m_id + "/heartbeat",
                                 "Host: " + m_ip + "\r\n", body, 1'000);
                if (status != 200)
                    control.close();
                else if (tells_drain && drain_acknowledged_at < 0) {
                    drain_acknowledged_at = now();
                    record("worker %s reports that it drains; acknowledged", m_id.c_str());
                }
                next = now() + (status == 200 ? heartbeat_ms : 200);
            }
        });
        return true;
    }

    // Ends the process of the worker; it starts again after down_ms under the same id, as `next`.
    void crash(long long down_ms, kind next)
    {
        {
            const std::lock_guard<std::mutex> guard(m_lock);
            m_is_up = false;
            for (const auto& [task, current] : m_runs)
                tell(task, current.number, false, "crashed");
            m_runs.clear();
            record("worker %s crashes", m_id.c_str());
        }
        m_server.stop();
        sleep_ms(down_ms);
        begin_life(next);
        m_server.start();
        record("worker %s is up again under its id, life %lld, label %s, cpu %lld", m_id.c_str(), m_life,
               next.label.c_str(), next.cpu);
    }

private:
    struct running {
        long long number = 0, cpu = 0, work_ms = 0, needed_ms = 0, stop_at = -1, last = 0;
    };

    struct ended {
        long long number = 0, run = 0;
        std::string task, how;
    };

    void begin_life(const kind& of)
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        m_kind = of;
        ++m_life;
        m_born = unix_ms();
        m_clock_began = now();
        m_fence = 0;
        m_lease_end = 0;
        m_sequence = 0;
        m_end_count = 0;
        m_runs.clear();
        m_ends.clear();
        m_closed.clear();
        m_is_up = true;
    }

    long long clock() const { return now() - m_clock_began + 1'000; }

    std::string heartbeat()
    {
        return "{\"service\":\"" + m_service + "\",\"address\":\"" + m_ip + ":" + std::to_string(m_port) +
               "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":8,\"state\":\"" +
               (m_is_draining ? "draining" : "ready") + "\",\"cold_left_ms\":0,\"capacity\":{\"cpu\":" +
               std::to_string(m_kind.cpu) + ",\"mem_mb\":65536,\"gpu\":0},\"labels\":[\"" + m_kind.label +
               "\",\"r1-1\"],\"clock_ms\":" + std::to_string(clock()) + ",\"seq\":" + std::to_string(++m_sequence) +
               ",\"born\":" + std::to_string(m_born) + "}";
    }

    void tell(const std::string& task, long long run, bool is_start, const std::string& how)
    {
        long long used = 0;
        for (const auto& [name, current] : m_runs)
            used += current.cpu;
        m_observe({m_id, task, run, m_life, now(), is_start, how, used, m_kind});
    }

    void end(const std::string& task, const std::string& how)
    {
        const long long run = m_runs.at(task).number;
        m_runs.erase(task);
        m_closed[task] = std::max(m_closed[task], run);
        m_ends.push_back({++m_end_count, run, task, how});
        tell(task, run, false, how);
    }

    void advance()
    {
        if (!m_is_up)
            return;
        std::vector<std::pair<std::string, std::string>> over;
        for (auto& [task, current] : m_runs) {
            if (!stands_still)
                current.work_ms += now() - current.last;
            current.last = now();
            if (clock() > m_lease_end)
                over.push_back({task, "lapsed"});
            else if (current.stop_at >= 0 && now() >= current.stop_at)
                over.push_back({task, "stopped"});
            else if (current.work_ms >= current.needed_ms)
                over.push_back({task, "done"});
        }
        for (const auto& [task, how] : over)
            end(task, how);
    }

    void extend(long long deadline) { m_lease_end = std::max(m_lease_end, std::min(deadline, clock() + max_hold_ms)); }

    response refuse(const char* reason) const
    {
        return {409, "{\"clock_ms\":" + std::to_string(clock()) + ",\"reason\":\"" + reason +
                         "\",\"born\":" + std::to_string(m_born) + "}"};
    }

    response accept() const
    {
        return {200, "{\"clock_ms\":" + std::to_string(clock()) + ",\"born\":" + std::to_string(m_born) + "}"};
    }

    response handle(const request& asked)
    {
        std::unique_lock<std::mutex> guard(m_lock);
        if (!m_is_up)
            return {0, "", true};
        advance();
        const auto expected = asked.headers.find("expected-instance");
        if (expected != asked.headers.end() && expected->second != m_id)
            return {421, "{}"};
        const bool is_hold = asked.path == "/hawthornpin/hold";
        if (!is_hold && leaves_orders_unanswered) {
            record("worker %s leaves unanswered: %s of %s run %lld", m_id.c_str(),
                   asked.path == "/hawthornpin/run-stop" ? "stop" : "start", text_of(asked.body, "task").c_str(),
                   number_of(asked.body, "run"));
            ++unanswered;
            return {0, "", true};
        }
        const long long fence = number_of(asked.body, "fence");
        if (fence < m_fence)
            return refuse("fence");
        m_fence = fence;
        if (is_hold)
            return hold(asked.body, guard);
        const std::string task = text_of(asked.body, "task");
        const long long run = number_of(asked.body, "run");
        const auto found = m_runs.find(task);
        if (asked.path == "/hawthornpin/run-stop") {
            m_closed[task] = std::max(m_closed[task], run);
            if (found != m_runs.end() && found->second.number <= run && found->second.stop_at < 0)
                found->second.stop_at = now() + stop_takes_ms;
            record("worker %s is told to stop %s run %lld", m_id.c_str(), task.c_str(), run);
            return accept();
        }
        if (asked.path != "/hawthornpin/run-start")
            return {404, "{}"};
        const long long deadline = number_of(asked.body, "deadline_ms");
        if (found != m_runs.end() && found->second.number == run) {
            extend(deadline);
            return accept();
        }
        if (m_closed.contains(task) && run <= m_closed.at(task)) {
            extend(deadline);
            return refuse("old");
        }
        if (deadline < clock())
            return refuse("late");
        extend(deadline);
        running begun;
        begun.number = run;
        begun.last = now();
        std::sscanf(text_of(asked.body, "spec").c_str(), "c%lld d%lld", &begun.cpu, &begun.needed_ms);
        m_runs[task] = begun;
        tell(task, run, true, "");
        return accept();
    }

    response hold(const std::string& body, std::unique_lock<std::mutex>& guard)
    {
        const long long seen = number_of(body, "last_seen");
        const long long until = now() + std::min<long long>(2'000, number_of(body, "wait_ms"));
        const long long life = m_life;
        extend(number_of(body, "deadline_ms"));
        std::erase_if(m_ends, [seen](const ended& item) { return item.number <= seen; });
        while (m_ends.empty() && now() < until) {
            guard.unlock();
            sleep_ms(2);
            guard.lock();
            if (!m_is_up || life != m_life)
                return {0, "", true};
        }
        std::string rows;
        for (const auto& [task, current] : m_runs)
            rows += (rows.empty() ? "" : ",") + ("[\"" + task + "\"," + std::to_string(current.number) + ",\"\"," +
                    std::to_string(std::min<long long>(99, 100 * current.work_ms / std::max<long long>(1, current.needed_ms))) + ",0]");
        std::string ends;
        for (const ended& item : m_ends)
            ends += (ends.empty() ? "" : ",") + ("[" + std::to_string(item.number) + ",\"" + item.task + "\"," +
                    std::to_string(item.run) + ",\"" + item.how + "\",\"\"]");
        return {200, "{\"clock_ms\":" + std::to_string(clock()) + ",\"born\":" + std::to_string(m_born) +
                         ",\"running\":[" + rows + "],\"finished\":[" + ends + "]}"};
    }

    std::string m_id, m_ip;
    int m_port, m_control_port;
    std::string m_service;
    kind m_kind;
    std::function<void(const run_event&)> m_observe;

    std::mutex m_lock;
    bool m_is_up = false, m_is_draining = false, m_beats_at_once = false;
    long long m_life = 0, m_born = 0, m_clock_began = 0, m_fence = 0, m_lease_end = 0, m_sequence = 0, m_end_count = 0;
    std::map<std::string, running> m_runs;
    std::vector<ended> m_ends;
    std::map<std::string, long long> m_closed;
    std::atomic<bool> m_is_ending{false};
    std::thread m_ticker, m_beats;
    server m_server;
};

// ---- a small deployment ----

class deployment {
public:
    static constexpr int front_port = 8161, control_port = 8166, ready_port = 8167, app_port = 8165, store_port = 8169;
    static constexpr const char* service = "huvo11a";
    static constexpr const char* host = "nony24.example";
    static constexpr const char* prefix = "/lohu930/";

    // `root` is the folder of the repository, `folder` a temporary one for settings and logs.
    deployment(std::string root, std::string folder, int entries, const std::vector<kind>& kinds)
        : m_root(std::move(root)), m_folder(std::move(folder)), m_kinds(kinds), m_entry_count(entries)
    {
        std::random_device draw;
        m_network = "127." + std::to_string(64 + draw() % 128) + "." + std::to_string(draw() % 256) + ".";
    }

    ~deployment() { end_programs(); }

    void end_programs()
    {
        for (const auto& [node, process] : m_processes)
            ::kill(process, SIGKILL);
        for (const auto& [node, process] : m_processes)
            ::waitpid(process, nullptr, 0);
        m_processes.clear();
    }

    std::vector<std::unique_ptr<worker>> workers;
    std::unique_ptr<store> metadata, moved;

    std::string entry_ip(int number) const { return m_network + std::to_string(10 + number); }
    std::string side_ip(int number) const { return m_network + std::to_string(40 + number); }
    static std::string entry_name(int number) { return "frontend-z" + std::to_string(number + 1) + "-1"; }
    static std::string side_name(int number) { return "side-z1-" + std::to_string(number + 1); }

    std::string configuration(long long version, const std::string& more_routes = "") const
    {
        return "{\"version\":" + std::to_string(version) + ",\"routes\":[{\"name\":\"q1\",\"host\":\"" + host +
               "\",\"path_prefix\":\"" + prefix + "\",\"service\":\"" + service +
               "\",\"priority\":0,\"max_attempts\":3,\"stretch\":1.6,\"target_latency_ms\":60,\"timeout_ms\":30000}" +
               more_routes + "],\"services\":[{\"name\":\"" + service +
               "\",\"enforces_capacity\":false}],\"limits\":{\"max_body_bytes\":262144}}";
    }

    // Starts the store, the workers and the programs, and waits until a job is served. False if it can't.
    bool start(const std::function<void(const run_event&)>& observe)
    {
        m_store_ip = m_network + "2";
        metadata = std::make_unique<store>(m_store_ip, store_port);
        if (!metadata->start())
            return false;
        metadata->append("keyed.op", "config", configuration(7));
        for (int number = 0; number < m_entry_count; ++number)
            if (!start_entry(number))
                return false;
        for (int number = 0; number < static_cast<int>(m_kinds.size()); ++number) {
            if (!start_program(side_name(number), "hawthornpin-agent", side_settings(number)))
                return false;
            workers.push_back(std::make_unique<worker>("i-" + std::to_string(1000 + number), side_ip(number), app_port,
                                                       control_port, service, m_kinds[static_cast<std::size_t>(number)],
                                                       observe));
            if (!workers.back()->start())
                return false;
        }
        return wait_until_served();
    }

    // Moves the store to another address: it takes its contents along, the settings files of all machines name the
    // new address, and the old address answers 503.
    bool move_store()
    {
        m_store_ip = m_network + "3";
        moved = std::make_unique<store>(m_store_ip, store_port);
        if (!moved->start())
            return false;
        metadata->has_moved = true;
        for (const auto& [topic, records] : metadata->contents())
            for (const auto& [key, value] : records)
                moved->append(topic, key, value);
        for (int number = 0; number < m_entry_count; ++number)
            write_settings(entry_name(number), entry_settings(number));
        for (int number = 0; number < static_cast<int>(m_kinds.size()); ++number)
            write_settings(side_name(number), side_settings(number));
        return true;
    }

    bool start_entry(int number) { return start_program(entry_name(number), "hawthornpin-entry", entry_settings(number)); }

    pid_t process(const std::string& node) const { return m_processes.at(node); }

    // Whether the program still runs; its end is taken note of.
    bool is_running(const std::string& node)
    {
        const auto found = m_processes.find(node);
        if (found == m_processes.end())
            return false;
        if (::waitpid(found->second, nullptr, WNOHANG) != found->second)
            return true;
        m_processes.erase(found);
        return false;
    }

private:
    // Puts the file in place as a whole.
    bool write_settings(const std::string& node, const std::string& settings) const
    {
        const std::string path = m_folder + "/" + node + ".toml";
        FILE* file = std::fopen((path + ".new").c_str(), "w");
        if (file == nullptr)
            return false;
        std::fputs(settings.c_str(), file);
        std::fclose(file);
        return std::rename((path + ".new").c_str(), path.c_str()) == 0;
    }

    bool start_program(const std::string& node, const std::string& program, const std::string& settings)
    {
        const std::string path = m_folder + "/" + node + ".toml";
        if (!write_settings(node, settings))
            return false;
        const std::string log = m_folder + "/" + node + ".log";
        const std::string boot = "HAWTHORNPIN_BOOT=" + path;
        const std::string search = std::string("PATH=") + (std::getenv("PATH") ? std::getenv("PATH") : "/usr/bin:/bin");
        const std::string home = "HOME=" + m_folder;
        // As the deploy file starts it.
        const std::string command = "target/main/" + program;
        const pid_t child = ::fork();
        if (child == 0) {
            // Ends with the case's program, however that ends.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(output, 1);
            ::dup2(output, 2);
            const char* arguments[] = {command.c_str(), "--platform", "--metrics-port", "9464", nullptr};
            const char* variables[] = {boot.c_str(), search.c_str(), home.c_str(), "GSETTINGS_BACKEND=memory", nullptr};
            if (::chdir(m_root.c_str()) == 0)
                ::execve(command.c_str(), const_cast<char* const*>(arguments), const_cast<char* const*>(variables));
            ::_exit(127);
        }
        m_processes[node] = child;
        return child > 0;
    }

    std::string common_settings(const std::string& node, const std::string& ip, const std::string& zone) const
    {
        std::string seeds;
        for (int number = 0; number < m_entry_count; ++number)
            seeds += (number > 0 ? "," : "") + ("\"" + entry_ip(number) + ":" + std::to_string(control_port) + "\"");
        return "node = \"" + node + "\"\nip = \"" + ip + "\"\nzone = \"" + zone + "\"\nregion = \"r\"\n" +
               "port_range = [7720,7735]\nseeds = [" + seeds +
               "]\nbootstrap = true\ncounts_as_loss = false\ndiscovery = \"local\"\nentry = \"vip\"\nheartbeat_ms = 1500\n"
               "orders = \"call\"\n";
    }

    std::string bounds() const
    {
        return "[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\ncatch_up_s = 4\n"
               "drain_ms = 2000\ngrace_s = 6\nslack_ms = 200\nconfig_apply_ms = 2000\nrollback_slack_ms = 250\n"
               "max_stretch_ms = 5000\nrecovery_s = 12\nmax_hold_ms = 1000\nstop_ms = 50\ngang_timeout_ms = 3000\n"
               "cancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\n"
               "remote_factor = 1.5\ncheckpoint_s = 2\nrestore_ms = 250\nnotice_ms = 4500\nmigrate_s = 1.5\n"
               "maintenance_s = 2\nfencing = true\nlease_ms = 3000\nthaw_ms = 300\npace_ms = 100\nimpact_ms = 4000\n"
               "retransmit_ms = 1300\n[platform]\naddress = \"" +
               m_store_ip + ":" + std::to_string(store_port) +
               "\"\nform = \"log\"\nwrites_per_s = 800\nreads_per_s = 2000\nparts = 8\nappend_ms = 4.0\nkeep_s = 300\n";
    }

    std::string entry_settings(int number) const
    {
        const std::string ip = entry_ip(number);
        return common_settings(entry_name(number), ip, "z" + std::to_string(number + 1)) +
               "role = \"entry\"\nmachine_class = \"frontend\"\nserves = [\"frontend\",\"control_plane\"]\n"
               "[listen_addrs]\nfront = \"" + ip + ":" + std::to_string(front_port) + "\"\nready = \"" + ip + ":" +
               std::to_string(ready_port) + "\"\ncontrol = \"" + ip + ":" + std::to_string(control_port) + "\"\n" +
               bounds();
    }

    std::string side_settings(int number) const
    {
        const std::string ip = side_ip(number);
        return common_settings(side_name(number), ip, "z1") +
               "role = \"agent\"\nmachine_class = \"side\"\nserves = [\"side\"]\napp = \"" + ip + ":" +
               std::to_string(app_port) + "\"\nservice = \"" + service + "\"\n[listen_addrs]\ncontrol = \"" + ip + ":" +
               std::to_string(control_port) + "\"\n" + bounds();
    }

    bool wait_until_served()
    {
        const long long until = now() + 15'000;
        for (int number = 0; number < m_entry_count; ++number) {
            int in_a_row = 0;
            while (in_a_row < 20) {
                if (now() > until)
                    return false;
                connection probe(entry_ip(number), front_port);
                char id[17];
                std::snprintf(id, sizeof(id), "f%015llx", m_warm_up++);
                const int status = probe.call("POST", prefix + std::string(id),
                                              "Host: " + std::string(host) + "\r\nDeadline-Ms: 1500\r\n",
                                              "{\"spec\":\"c1600 d20\",\"best_effort\":true,\"phases\":[{\"count\":4,\"cpu\":1600,"
                                              "\"mem_mb\":64,\"estimate_ms\":20}]}",
                                              2'000);
                in_a_row = status == 200 ? in_a_row + 1 : 0;
                sleep_ms(status == 200 ? 10 : 100);
            }
        }
        sleep_ms(1'000);
        return true;
    }

    std::string m_root, m_folder, m_network, m_store_ip;
    std::vector<kind> m_kinds;
    int m_entry_count;
    std::map<std::string, pid_t> m_processes;
    unsigned long long m_warm_up = 1;
};

} // namespace rig

namespace rig {

// ---- what the cases share ----

// The arguments of a case's program: the repository, a temporary folder, and the file of the record.
struct case_frame {
    std::string root, folder;
    bool has_trouble = true;

    bool open(int count, char** arguments)
    {
        if (count != 4)
            return false;
        root = arguments[1];
        folder = arguments[2];
        record_file = std::fopen(arguments[3], "w");
        const char* trouble = std::getenv("TROUBLE");
        has_trouble = trouble == nullptr || std::string(trouble) != "0";
        ::signal(SIGPIPE, SIG_IGN);
        return record_file != nullptr;
    }
};

// Ends the program at once: threads of stand-ins may still wait.
[[noreturn]] inline void finish(std::unique_ptr<deployment>& site, int code, const char* what)
{
    record("result %d: %s", code, what);
    std::printf("%s\n", what);
    std::fflush(stdout);
    site->end_programs();
    ::_exit(code);
}

// A job as a client sends it. Its answer counts as the page says: 2xx is the end; 429 and 503 that it never
// runs; after no answer, a broken connection, 502 or 504 the job is sent again retransmit_ms later.
inline std::string job_body(int tasks, int cpu, int work_ms, int steps = 1, const std::string& label = "")
{
    std::string phases;
    for (int step = 0; step < steps; ++step) {
        phases += (step > 0 ? "," : "") + ("{\"count\":" + std::to_string(tasks) + ",\"cpu\":" + std::to_string(cpu) +
                  ",\"mem_mb\":64,\"estimate_ms\":" + std::to_string(work_ms));
        if (!label.empty())
            phases += ",\"constraints\":\"" + label + "\"";
        if (step > 0)
            phases += ",\"depends_on\":[" + std::to_string(step - 1) + "]";
        phases += "}";
    }
    return "{\"spec\":\"c" + std::to_string(cpu) + " d" + std::to_string(work_ms) +
           "\",\"best_effort\":true,\"phases\":[" + phases + "]}";
}

inline std::string job_headers(long long deadline_ms)
{
    return "Host: " + std::string(deployment::host) + "\r\nDeadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
}

inline std::string job_id(unsigned number)
{
    char id[17];
    std::snprintf(id, sizeof(id), "a5%014x", number);
    return id;
}

} // namespace rig
