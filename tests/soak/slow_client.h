// A client that sends a request with a large body, stops short of its end and leaves its connection open.

#pragma once

#include "core/glib_stream.h"

#include <memory>
#include <string>

namespace hawthornpin::soak {

// How a body is transferred.
enum class body_form { whole, in_pieces, large_chunks, small_chunks };

// A request as the bytes that are sent, which many clients may share.
struct slow_request {
    std::string m_text;
    // Bytes at the end that complete the body.
    std::size_t m_held_back_bytes = 0;
    std::size_t m_bytes_per_write = 0;
    // Pause between two writes.
    unsigned m_pause_ms = 0;
};

// `target` is the method and the path, `host` the Host header. The last byte of the body, and what ends the
// body in its form, is held back.
slow_request make_slow_request(const std::string& target, const std::string& host, const std::string& body,
                               body_form form);

// One connection and one request. Never connects again.
class slow_client {
public:
    slow_client(std::string address, std::shared_ptr<const slow_request> request);
    slow_client(const slow_client&) = delete;
    slow_client& operator=(const slow_client&) = delete;

    // Fulfilled when all but the held-back bytes are written, or the connection has ended.
    kj::Promise<void> send();
    // Writes the held-back bytes. To be called after send() is fulfilled.
    kj::Promise<void> complete();

    bool is_connected() const { return m_stream != nullptr; }
    // Whether the connection has ended or was refused.
    bool is_closed() const { return m_is_closed; }
    bool has_sent() const { return m_written >= m_request->m_text.size() - m_request->m_held_back_bytes; }
    std::size_t written() const { return m_written; }
    // The status of the response; 0 if there was none.
    unsigned status() const { return m_status; }
    // What was received: the head and the body of the response.
    const std::string& response() const { return m_response; }

private:
    kj::Promise<void> write_until(std::size_t end);
    kj::Promise<void> read_response();

    std::string m_address;
    std::shared_ptr<const slow_request> m_request;
    std::size_t m_written = 0;
    std::string m_response;
    unsigned m_status = 0;
    bool m_is_closed = false;
    kj::Own<glib_stream> m_stream;
    kj::Promise<void> m_reading = nullptr;
};

} // namespace hawthornpin::soak
