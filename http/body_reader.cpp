// Growth of a request body and the turns of bodies that come in many small reads.

#include "http/body_reader.h"

#include <algorithm>

namespace hawthornpin {

namespace {

// Memory for a body at first: as much as most bodies have at the most. It is doubled as often as needed.
constexpr std::size_t first_size = 4 * 1024;
// Reads until the connection waits for its next turn. A body of the platform's largest size needs 7 if it
// has arrived, and less than 200 if each TCP segment is read by itself; one in chunks of one byte needs
// 262,144.
constexpr unsigned reads_per_turn = 64;

} // namespace

body_reader::body_reader(input_guard& guard, guarded_connection& owner, kj::AsyncInputStream& body,
                         std::size_t max_bytes, std::string& text)
    : m_guard(guard), m_body(body), m_max_bytes(max_bytes), m_text(text),
      m_max_size(std::min<std::uint64_t>(body.tryGetLength().orDefault(max_bytes), max_bytes) + 1),
      m_reads_left(reads_per_turn), m_id(guard.begin_body(owner))
{
}

body_reader::~body_reader()
{
    m_guard.end_body(m_id);
}

kj::Promise<reason> body_reader::read()
{
    if (m_reads_left > 0)
        return read_on();
    return m_guard.scheduler().next_turn().then([this] {
        m_reads_left = reads_per_turn;
        return read_on();
    });
}

kj::Promise<reason> body_reader::read_on()
{
    if (!make_room())
        return give_up(reason::body_budget);
    --m_reads_left;
    return m_body.tryRead(m_text.data() + m_size, 1, m_text.size() - m_size)
        .then([this](std::size_t received) { return on_input(received); });
}

bool body_reader::make_room()
{
    if (m_size < m_text.size())
        return true;
    const std::size_t size = std::min(std::max(2 * m_size, first_size), m_max_size);
    if (!m_guard.reserve_body(m_id, size))
        return false;
    m_text.resize(size);
    return true;
}

kj::Promise<reason> body_reader::on_input(std::size_t received)
{
    m_size += received;
    m_guard.record_body_read(m_id);
    if (m_size > m_max_bytes)
        return give_up(reason::body_too_large);
    if (received > 0)
        return read();
    m_text.resize(m_size);
    return reason::none;
}

reason body_reader::give_up(reason why)
{
    m_text = std::string();
    m_size = 0;
    m_guard.end_body(m_id);
    return why;
}

} // namespace hawthornpin
