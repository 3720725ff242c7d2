// Bounded backlog in front of a pipe.

#include "core/line_sink.h"

#include <poll.h>
#include <unistd.h>

#include <climits>

namespace hawthornpin {

void line_sink::offer(std::string line)
{
    // A pipe that polls as writable takes this much without blocking.
    if (line.size() > PIPE_BUF) {
        line.resize(PIPE_BUF - 1);
        line.push_back('\n');
    }
    if (m_bytes + line.size() > m_max_bytes) {
        ++m_dropped;
        flush();
        return;
    }
    m_bytes += line.size();
    m_lines.push_back(std::move(line));
    flush();
}

void line_sink::flush()
{
    while (!m_lines.empty() && is_writable()) {
        const std::string& line = m_lines.front();
        const ssize_t written = ::write(m_descriptor, line.data(), line.size());
        // A reader that is gone takes nothing; the line is lost either way.
        if (written < 0)
            ++m_dropped;
        m_bytes -= line.size();
        m_lines.pop_front();
    }
}

bool line_sink::is_writable() const
{
    pollfd state{m_descriptor, POLLOUT, 0};
    return ::poll(&state, 1, 0) == 1 && (state.revents & (POLLOUT | POLLERR)) != 0;
}

} // namespace hawthornpin
