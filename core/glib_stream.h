// A non-blocking TCP socket as a KJ stream, whose readiness comes from the reactor.

#pragma once

#include "core/instant.h"
#include "core/last_reason.h"
#include "core/reactor.h"

#include <glib.h>
#include <kj/async-io.h>

#include <chrono>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hawthornpin {

// Owns a file descriptor.
class file_descriptor {
public:
    explicit file_descriptor(int number = -1) : m_number(number) {}
    ~file_descriptor();
    file_descriptor(file_descriptor&& other) noexcept;
    file_descriptor& operator=(file_descriptor&& other) noexcept;

    int number() const { return m_number; }
    bool is_open() const { return m_number >= 0; }

private:
    int m_number;
};

// Traffic of all streams of the process, for the control traffic metrics.
struct stream_totals {
    std::uint64_t m_bytes_in = 0;
    std::uint64_t m_bytes_out = 0;
    std::uint64_t m_messages_out = 0;
};
stream_totals& process_stream_totals();

// Sets a one-way latency that is added to every message of this process's streams; zero except in
// experiments.
void set_process_link_delay(microseconds delay);

// Reads are buffered; writes are sent immediately, and wait while the socket's send buffer is full.
class glib_stream final : public kj::AsyncIoStream {
public:
    explicit glib_stream(file_descriptor socket);
    ~glib_stream() noexcept(false);

    kj::Promise<std::size_t> read(void* buffer, std::size_t min_bytes, std::size_t max_bytes) override;
    kj::Promise<std::size_t> tryRead(void* buffer, std::size_t min_bytes, std::size_t max_bytes) override;
    kj::Promise<void> write(const void* buffer, std::size_t size) override;
    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
    kj::Promise<void> whenWriteDisconnected() override;
    void shutdownWrite() override;
    void abortRead() override;

    // Whether the peer has closed the connection, or it has failed.
    bool has_hung_up() const { return m_watch.has_hung_up(); }

    // Fulfilled when the attempt to connect has succeeded or failed.
    kj::Promise<void> when_connected() { return m_watch.when_writable(); }

private:
    std::size_t take_buffered(void* buffer, std::size_t max_bytes);
    kj::Promise<std::size_t> fill(kj::byte* buffer, std::size_t min_bytes, std::size_t max_bytes,
                                  std::size_t done);
    kj::Promise<void> send_rest(kj::Array<kj::byte> rest, std::size_t sent);
    kj::Promise<void> write_now(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces);
    void write_later(kj::Array<kj::byte> message);
    kj::Promise<void> flush_delayed();

    file_descriptor m_socket;
    descriptor_watch m_watch;
    std::vector<kj::byte> m_buffer;
    std::size_t m_begin = 0;
    std::size_t m_end = 0;
    // Whether the last read emptied the socket; another one before the socket is ready again would find
    // nothing.
    bool m_is_drained = false;
    // Messages that are held back for the link delay, oldest first.
    struct delayed_message {
        std::chrono::steady_clock::time_point m_due;
        kj::Array<kj::byte> m_bytes;
    };
    std::deque<delayed_message> m_delayed;
    bool m_is_flushing = false;
    kj::Promise<void> m_flush = kj::READY_NOW;
};

// Connects to IP:port. Rejects with a DISCONNECTED exception if that fails.
kj::Promise<kj::Own<glib_stream>> connect_stream(const std::string& address);

// Opens a listening socket on IP:port; for port 0 the kernel chooses a free port.
std::optional<file_descriptor> listen_on(const std::string& address, last_reason& why);

// The IP:port that a socket is bound to.
std::string local_address(const file_descriptor& socket);

} // namespace hawthornpin
