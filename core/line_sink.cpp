// Bounded buffer of lines in front of a pipe.

#include "core/line_sink.h"

#include <poll.h>
#include <unistd.h>

#include <climits>
#include <utility>

namespace hawthornpin {

void line_sink::write_line(std::string line)
{
    enqueue(std::move(line));
    flush();
}

void line_sink::buffer_line(std::string line)
{
    enqueue(std::move(line));
    if (m_bytes >= PIPE_BUF)
        flush();
}

void line_sink::enqueue(std::string line)
{
    // A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
    if (line.size() > PIPE_BUF) {
        line.resize(PIPE_BUF - 1);
        line.push_back('\n');
    }
    if (m_bytes + line.size() > m_max_bytes) {
        ++m_dropped;
        return;
    }
    m_bytes += line.size();
    m_lines.push_back(std::move(line));
}

void line_sink::flush()
{
    while (!m_lines.empty() && is_writable()) {
        const std::size_t lines_before = m_lines.size();
        const std::string chunk = take_chunk();
        const ssize_t written = ::write(m_descriptor, chunk.data(), chunk.size());
        // The write fails if the reader has closed the pipe; its lines are lost and count as dropped.
        if (written < 0)
            m_dropped += lines_before - m_lines.size();
    }
}

std::string line_sink::take_chunk()
{
    std::string chunk;
    while (!m_lines.empty() && chunk.size() + m_lines.front().size() <= PIPE_BUF) {
        chunk.append(m_lines.front());
        m_lines.pop_front();
    }
    m_bytes -= chunk.size();
    return chunk;
}

bool line_sink::is_writable() const
{
    pollfd state{m_descriptor, POLLOUT, 0};
    return ::poll(&state, 1, 0) == 1 && (state.revents & (POLLOUT | POLLERR)) != 0;
}

} // namespace hawthornpin
