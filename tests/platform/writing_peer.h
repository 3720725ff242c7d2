// A server that sends a fixed sequence of bytes on each connection, for tests of what clients accept.

#pragma once

#include "core/event_loop.h"
#include "core/glib_stream.h"

#include <doctest/doctest.h>
#include <glib-unix.h>

#include <list>
#include <string>
#include <sys/socket.h>

namespace hawthornpin {

class writing_peer {
public:
    // Sends `first` and then `repeated` this number of times; then keeps the connection open, or closes its
    // side if `closes`.
    writing_peer(std::string first, std::string repeated, int count, bool closes = false)
        : m_first(std::move(first)), m_repeated(std::move(repeated)), m_count(count), m_closes(closes)
    {
        last_reason why;
        auto socket = listen_on("127.0.0.1:0", why);
        REQUIRE(socket);
        m_socket = std::move(*socket);
        m_source = g_unix_fd_add(m_socket.number(), G_IO_IN, on_acceptable, this);
    }
    ~writing_peer() { g_source_remove(m_source); }
    writing_peer(const writing_peer&) = delete;
    writing_peer& operator=(const writing_peer&) = delete;

    std::string address() const { return local_address(m_socket); }

    std::size_t accepted() const { return m_streams.size(); }
    // Connections that the clients have not closed.
    std::size_t open_connections() const
    {
        std::size_t open = 0;
        for (const auto& stream : m_streams)
            open += stream->has_hung_up() ? 0 : 1;
        return open;
    }

private:
    static gboolean on_acceptable(gint /*descriptor*/, GIOCondition /*condition*/, gpointer data)
    {
        static_cast<writing_peer*>(data)->accept_one();
        return G_SOURCE_CONTINUE;
    }

    void accept_one()
    {
        file_descriptor accepted(
            ::accept4(m_socket.number(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (!accepted.is_open())
            return;
        m_streams.push_back(kj::heap<glib_stream>(std::move(accepted)));
        glib_stream& stream = *m_streams.back();
        auto sent = stream.write(m_first.data(), m_first.size()).then([this, &stream] {
            return send_rest(stream, m_count);
        });
        m_tasks.add(sent.catch_([](kj::Exception&&) {}));
    }

    kj::Promise<void> send_rest(glib_stream& stream, int left)
    {
        if (left == 0) {
            if (m_closes)
                stream.shutdownWrite();
            return kj::READY_NOW;
        }
        return stream.write(m_repeated.data(), m_repeated.size()).then([this, &stream, left] {
            return send_rest(stream, left - 1);
        });
    }

    std::string m_first;
    std::string m_repeated;
    int m_count;
    bool m_closes;
    file_descriptor m_socket;
    guint m_source = 0;
    std::list<kj::Own<glib_stream>> m_streams;
    background_tasks m_tasks;
};

} // namespace hawthornpin
