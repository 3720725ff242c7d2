// Encodes the bodies and writes them to the sockets.

#include "tests/soak/slow_client.h"

#include "core/event_loop.h"

#include <algorithm>
#include <charconv>
#include <sstream>

namespace hawthornpin::soak {

namespace {

constexpr std::size_t large_chunk_bytes = 64 * 1024;
constexpr std::size_t bytes_per_write = 64 * 1024;
constexpr std::size_t piece_bytes = 4 * 1024;
// Long enough for the process to read each piece separately.
constexpr unsigned piece_pause_ms = 5;
constexpr const char* line_end = "\r\n";
constexpr const char* last_chunk = "0\r\n\r\n";

std::string encode_chunks(const std::string& body, std::size_t chunk_bytes)
{
    std::ostringstream encoded;
    for (std::size_t begin = 0; begin < body.size(); begin += chunk_bytes) {
        const std::string chunk = body.substr(begin, chunk_bytes);
        encoded << std::hex << chunk.size() << line_end << chunk << line_end;
    }
    encoded << last_chunk;
    return encoded.str();
}

} // namespace

slow_request make_slow_request(const std::string& target, const std::string& host, const std::string& body,
                               body_form form)
{
    const std::string head = target + " HTTP/1.1\r\nHost: " + host + "\r\n";
    const bool is_chunked = form == body_form::large_chunks || form == body_form::small_chunks;
    if (!is_chunked) {
        const std::string text = head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        if (form == body_form::in_pieces)
            return {text, 1, piece_bytes, piece_pause_ms};
        return {text, 1, bytes_per_write, 0};
    }
    const std::size_t chunk_bytes = form == body_form::small_chunks ? 1 : large_chunk_bytes;
    const std::string end = std::string(line_end) + last_chunk;
    const std::string text = head + "Transfer-Encoding: chunked\r\n\r\n" + encode_chunks(body, chunk_bytes);
    return {text, end.size() + 1, bytes_per_write, 0};
}

slow_client::slow_client(std::string address, std::shared_ptr<const slow_request> request)
    : m_address(std::move(address)), m_request(std::move(request))
{
}

kj::Promise<void> slow_client::send()
{
    return connect_stream(m_address)
        .then([this](kj::Own<glib_stream> stream) {
            m_stream = kj::mv(stream);
            m_reading = read_response().eagerlyEvaluate([this](kj::Exception&&) { m_is_closed = true; });
            return write_until(m_request->m_text.size() - m_request->m_held_back_bytes);
        })
        .catch_([this](kj::Exception&&) { m_is_closed = true; });
}

kj::Promise<void> slow_client::complete()
{
    if (m_is_closed)
        return kj::READY_NOW;
    return write_until(m_request->m_text.size()).catch_([this](kj::Exception&&) { m_is_closed = true; });
}

kj::Promise<void> slow_client::write_until(std::size_t end)
{
    if (m_written >= end || m_is_closed)
        return kj::READY_NOW;
    const std::size_t size = std::min(end - m_written, m_request->m_bytes_per_write);
    return m_stream->write(m_request->m_text.data() + m_written, size).then([this, size, end] {
        m_written += size;
        if (m_request->m_pause_ms == 0)
            return write_until(end);
        return after_delay(m_request->m_pause_ms).then([this, end] { return write_until(end); });
    });
}

kj::Promise<void> slow_client::read_response()
{
    constexpr std::size_t read_size = 1'024;
    // "HTTP/1.1 200"
    constexpr std::size_t status_begin = 9;
    constexpr std::size_t status_end = 12;
    const std::size_t size = m_response.size();
    m_response.resize(size + read_size);
    return m_stream->tryRead(m_response.data() + size, 1, read_size)
        .then([this, size](std::size_t received) -> kj::Promise<void> {
            m_response.resize(size + received);
            if (m_response.size() >= status_end)
                std::from_chars(m_response.data() + status_begin, m_response.data() + status_end, m_status);
            m_is_closed = received == 0;
            return m_is_closed ? kj::READY_NOW : read_response();
        });
}

} // namespace hawthornpin::soak
