#include "support.hh"

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <memory>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

const auto process_start = std::chrono::steady_clock::now();

bool parse_address(const std::string& text, sockaddr_in& address)
{
    const std::size_t colon = text.rfind(':');
    address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1)));
    return inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) == 1;
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return std::tolower(letter); });
    return text;
}

// Position of the value of a member; npos if there is none.
std::size_t find_value(const std::string& body, const std::string& name)
{
    const std::size_t key = body.find('"' + name + '"');
    if (key == std::string::npos)
        return key;
    const std::size_t colon = body.find(':', key);
    return colon == std::string::npos ? colon : body.find_first_not_of(" ", colon + 1);
}

} // namespace

long long now_ms()
{
    const auto span = std::chrono::steady_clock::now() - process_start;
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

long long unix_ms()
{
    const auto span = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

void sleep_ms(long long span)
{
    if (span > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(span));
}

void sleep_until(long long time)
{
    sleep_ms(time - now_ms());
}

void record::write(const std::string& line)
{
    char time[32];
    std::snprintf(time, sizeof(time), "%9.3f  ", static_cast<double>(now_ms()) / 1000);
    const std::lock_guard lock(m_mutex);
    m_file << time << line << std::endl;
}

connection::~connection()
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
}

bool connection::receive(long long deadline)
{
    const long long left = deadline == 0 ? -1 : deadline - now_ms();
    if (deadline != 0 && left <= 0)
        return false;
    pollfd wanted{m_descriptor, POLLIN, 0};
    if (::poll(&wanted, 1, static_cast<int>(left)) <= 0)
        return false;
    char chunk[16384];
    const ssize_t size = ::recv(m_descriptor, chunk, sizeof(chunk), 0);
    if (size <= 0)
        return false;
    m_buffer.append(chunk, static_cast<std::size_t>(size));
    return true;
}

std::optional<http_message> connection::read(bool is_request, long long timeout_ms)
{
    const long long deadline = timeout_ms == 0 ? 0 : now_ms() + timeout_ms;
    std::size_t head_end = 0;
    while ((head_end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!receive(deadline))
            return std::nullopt;
    }
    http_message message;
    std::size_t begin = m_buffer.find("\r\n");
    const std::string first = m_buffer.substr(0, begin);
    const std::size_t space = first.find(' ');
    const std::string second = first.substr(space + 1, first.find(' ', space + 1) - space - 1);
    if (is_request) {
        message.m_method = first.substr(0, space);
        const std::size_t question = std::min(second.find('?'), second.size());
        message.m_path = second.substr(0, question);
        message.m_query = question < second.size() ? second.substr(question + 1) : "";
    }
    else {
        message.m_status = std::atoi(second.c_str());
    }
    while (begin < head_end) {
        begin += 2;
        const std::size_t end = m_buffer.find("\r\n", begin);
        const std::string line = m_buffer.substr(begin, end - begin);
        const std::size_t colon = line.find(':');
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        if (colon != std::string::npos)
            message.m_headers[lower(line.substr(0, colon))] =
                value == std::string::npos ? "" : line.substr(value);
        begin = end;
    }
    const auto length = message.m_headers.find("content-length");
    const std::size_t size =
        length == message.m_headers.end() ? 0 : static_cast<std::size_t>(std::atoll(length->second.c_str()));
    while (m_buffer.size() < head_end + 4 + size) {
        if (!receive(deadline))
            return std::nullopt;
    }
    message.m_body = m_buffer.substr(head_end + 4, size);
    m_buffer.erase(0, head_end + 4 + size);
    return message;
}

bool connection::send(const std::string& bytes)
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t size = ::send(m_descriptor, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (size <= 0)
            return false;
        done += static_cast<std::size_t>(size);
    }
    return true;
}

void connection::keep_silent()
{
    while (receive(0))
        m_buffer.clear();
}

void connection::reset()
{
    const linger at_once{1, 0};
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    ::shutdown(m_descriptor, SHUT_RDWR);
}

std::unique_ptr<connection> connect_to(const std::string& address)
{
    sockaddr_in native{};
    int descriptor = parse_address(address, native) ? ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0) : -1;
    if (descriptor >= 0 &&
        ::connect(descriptor, reinterpret_cast<const sockaddr*>(&native), sizeof(native)) != 0) {
        ::close(descriptor);
        descriptor = -1;
    }
    const int enabled = 1;
    if (descriptor >= 0)
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    return std::make_unique<connection>(descriptor);
}

std::string format_request(const std::string& method, const std::string& path,
                           const std::map<std::string, std::string>& headers, const std::string& body)
{
    std::string text = method + " " + path + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers)
        text += name + ": " + value + "\r\n";
    if (!body.empty())
        text += "Content-Type: application/json\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string format_response(int status, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) +
           " Status\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

http_message call(const std::string& address, const std::string& method, const std::string& path,
                  const std::map<std::string, std::string>& headers, const std::string& body,
                  long long timeout_ms)
{
    const auto peer = connect_to(address);
    if (!peer->is_open() || !peer->send(format_request(method, path, headers, body)))
        return {};
    return peer->read(false, timeout_ms).value_or(http_message());
}

http_server::http_server(std::string address, handler handle)
    : m_address(std::move(address)), m_handle(std::move(handle))
{
}

http_server::~http_server()
{
    stop();
}

int listen_at(const std::string& address)
{
    sockaddr_in native{};
    if (!parse_address(address, native))
        return -1;
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    if (::bind(listener, reinterpret_cast<const sockaddr*>(&native), sizeof(native)) != 0 ||
        ::listen(listener, 128) != 0) {
        ::close(listener);
        return -1;
    }
    return listener;
}

bool http_server::start()
{
    m_listener = listen_at(m_address);
    if (m_listener < 0)
        return false;
    m_is_stopping = false;
    m_acceptor = std::thread([this] { accept_all(); });
    return true;
}

void http_server::stop()
{
    if (m_listener < 0)
        return;
    m_is_stopping = true;
    m_acceptor.join();
    ::close(m_listener);
    m_listener = -1;
    std::vector<std::thread> threads;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& open : m_connections)
            open->reset();
        threads.swap(m_threads);
    }
    for (std::thread& thread : threads)
        thread.join();
}

void http_server::accept_all()
{
    constexpr int poll_ms = 5;
    while (!m_is_stopping) {
        pollfd wanted{m_listener, POLLIN, 0};
        if (::poll(&wanted, 1, poll_ms) <= 0)
            continue;
        auto client = std::make_shared<connection>(::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC));
        if (!client->is_open())
            continue;
        const int enabled = 1;
        ::setsockopt(client->descriptor(), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
        const std::lock_guard lock(m_mutex);
        m_connections.push_back(client);
        m_threads.emplace_back([this, client] { serve(client); });
    }
}

void http_server::serve(std::shared_ptr<connection> client)
{
    while (!m_is_stopping) {
        const auto request = client->read(true, 0);
        if (!request)
            break;
        const std::string response = m_handle(*request, *client);
        if (response.empty() || m_is_stopping || !client->send(response))
            break;
    }
    client->reset();
    const std::lock_guard lock(m_mutex);
    std::erase(m_connections, client);
}

std::string json_text(const std::string& body, const std::string& name)
{
    const std::size_t begin = find_value(body, name);
    if (begin == std::string::npos || body[begin] != '"')
        return "";
    return body.substr(begin + 1, body.find('"', begin + 1) - begin - 1);
}

std::optional<long long> json_integer(const std::string& body, const std::string& name)
{
    const std::size_t begin = find_value(body, name);
    if (begin == std::string::npos ||
        (std::isdigit(static_cast<unsigned char>(body[begin])) == 0 && body[begin] != '-'))
        return std::nullopt;
    return std::atoll(body.c_str() + begin);
}

std::string quote(const std::string& text)
{
    return '"' + text + '"';
}

} // namespace review
