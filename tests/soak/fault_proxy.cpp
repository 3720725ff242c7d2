// Relays each connection with two pumps, one for each direction.

#include "tests/soak/fault_proxy.h"

#include <glib-unix.h>

#include <algorithm>
#include <array>
#include <sys/socket.h>

namespace hawthornpin::soak {

namespace {

constexpr unsigned delay_ms = 60;
// Interval at which a blocked direction checks whether it may resume.
constexpr unsigned blocked_poll_ms = 20;
constexpr std::size_t chunk_bytes = 16 * 1024;

} // namespace

struct fault_proxy::relay {
    kj::Own<glib_stream> m_client;
    kj::Own<glib_stream> m_server;
    bool m_is_blocked = false;
    std::array<std::array<kj::byte, chunk_bytes>, 2> m_chunks;
    kj::Promise<void> m_work = nullptr;
};

fault_proxy::fault_proxy(std::string target) : m_target(std::move(target)) {}

fault_proxy::~fault_proxy()
{
    if (m_source != 0)
        g_source_remove(m_source);
}

bool fault_proxy::listen(const std::string& address, last_reason& why)
{
    m_socket = listen_on(address, why);
    if (!m_socket)
        return false;
    m_source = g_unix_fd_add(m_socket->number(), G_IO_IN, on_acceptable, this);
    return true;
}

void fault_proxy::reset()
{
    while (!m_relays.empty())
        remove_relay(m_relays.back().get());
}

void fault_proxy::block_open_connections()
{
    for (const auto& open : m_relays)
        open->m_is_blocked = true;
}

gboolean fault_proxy::on_acceptable(gint /*descriptor*/, GIOCondition /*condition*/, gpointer data)
{
    static_cast<fault_proxy*>(data)->accept();
    return G_SOURCE_CONTINUE;
}

void fault_proxy::accept()
{
    file_descriptor accepted(::accept4(m_socket->number(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!accepted.is_open())
        return;
    auto opened = std::make_unique<relay>();
    opened->m_client = kj::heap<glib_stream>(std::move(accepted));
    relay& current = *opened;
    m_relays.push_back(std::move(opened));
    current.m_work = connect(current)
                         .then([this, &current] { remove_relay(&current); },
                               [this, &current](kj::Exception&&) { remove_relay(&current); })
                         .eagerlyEvaluate(nullptr);
}

kj::Promise<void> fault_proxy::connect(relay& opened)
{
    return connect_stream(m_target).then([this, &opened](kj::Own<glib_stream> server) {
        opened.m_server = kj::mv(server);
        return pump(opened, true).exclusiveJoin(pump(opened, false));
    });
}

bool fault_proxy::is_blocked(const relay& through, bool is_inbound) const
{
    return through.m_is_blocked || m_mode == link_mode::cut ||
           (is_inbound && m_mode == link_mode::cut_inbound) ||
           (!is_inbound && m_mode == link_mode::cut_outbound);
}

kj::Promise<void> fault_proxy::pump(relay& through, bool is_inbound)
{
    if (is_blocked(through, is_inbound))
        return after_delay(blocked_poll_ms).then([this, &through, is_inbound] {
            return pump(through, is_inbound);
        });
    glib_stream& from = is_inbound ? *through.m_client : *through.m_server;
    auto& chunk = through.m_chunks.at(is_inbound ? 0 : 1);
    return from.tryRead(chunk.data(), 1, chunk.size())
        .then([this, &through, &chunk, is_inbound](std::size_t size) -> kj::Promise<void> {
            if (size == 0)
                return kj::READY_NOW;
            if (through.m_is_blocked)
                return kj::NEVER_DONE;
            auto due =
                m_mode == link_mode::delayed ? after_delay(delay_ms) : kj::Promise<void>(kj::READY_NOW);
            return due.then([this, &through, &chunk, is_inbound, size] {
                // Bytes of a read that began before a cut still pass. Later ones are lost with the
                // connection, as on a real link.
                glib_stream& to = is_inbound ? *through.m_server : *through.m_client;
                return to.write(chunk.data(), size).then([this, &through, is_inbound] {
                    return pump(through, is_inbound);
                });
            });
        });
}

void fault_proxy::remove_relay(relay* closed)
{
    const auto found = std::find_if(m_relays.begin(), m_relays.end(),
                                    [closed](const auto& item) { return item.get() == closed; });
    if (found == m_relays.end())
        return;
    // Destroyed in a later iteration of the event loop: the caller may be the relay's own promise.
    auto removed = std::move(*found);
    m_relays.erase(found);
    m_tasks.add(kj::evalLater([removed = std::move(removed)] {}));
}

} // namespace hawthornpin::soak
