// Takes the samples.

#include "tests/soak/process_watch.h"

namespace hawthornpin::soak {

namespace {

constexpr unsigned sample_ms = 20;

} // namespace

process_watch::process_watch(watched_process process, const slow_clients& clients)
    : m_process(std::move(process)), m_clients(clients)
{
}

void process_watch::start()
{
    m_identity = read_process_identity(m_process.m_id_file);
    sample();
    m_tick = std::make_unique<timer>(sample_ms, [this] {
        sample();
        return true;
    });
}

void process_watch::sample()
{
    if (!is_same_process())
        return;
    const auto usage = read_process_usage(m_identity->m_id);
    if (!usage)
        return;
    m_queued = read_queued_input(m_process.m_ip, m_process.m_port, m_process.m_worker_port);
    const std::uint64_t memory = usage->m_peak_resident_bytes + m_queued.m_unread_bytes;
    if (memory > m_peak_memory) {
        m_peak_memory = memory;
        m_unread_at_peak = m_queued.m_unread_bytes;
    }
    m_peak_descriptors = std::max(m_peak_descriptors, usage->m_descriptors);
    const auto read = static_cast<std::int64_t>(m_clients.written_by_connected()) -
                      static_cast<std::int64_t>(m_queued.m_unread_bytes + m_queued.m_unsent_bytes);
    // Connections that have ended no longer count. Otherwise a lower value is only inexact, because the
    // queues change while they are read.
    const std::size_t closed = m_clients.count_closed();
    if (closed != m_closed_clients)
        m_read_from_connected = read;
    else if (read > m_read_from_connected) {
        m_input_read += static_cast<std::uint64_t>(read - m_read_from_connected);
        m_read_from_connected = read;
    }
    m_closed_clients = closed;
}

bool process_watch::is_same_process() const
{
    return m_identity && read_process_identity(m_process.m_id_file) == m_identity;
}

} // namespace hawthornpin::soak
