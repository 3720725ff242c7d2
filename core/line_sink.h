// Writes lines to a descriptor without ever blocking: lines that the reader does not consume in time are
// dropped and counted.

#pragma once

#include <cstdint>
#include <deque>
#include <string>

namespace hawthornpin {

class line_sink {
public:
    // The caller keeps owning `descriptor`. Buffers at most `max_bytes` of lines that the reader has not
    // consumed.
    line_sink(int descriptor, std::size_t max_bytes) : m_descriptor(descriptor), m_max_bytes(max_bytes) {}

    // Writes a line, which includes its line feed. A line longer than PIPE_BUF, the size that a pipe accepts
    // in one write without blocking, is truncated to that length.
    void write_line(std::string line);

    // Like write_line(), but buffers lines for the next flush() until they reach PIPE_BUF bytes.
    void buffer_line(std::string line);

    // Writes buffered lines, several in one write, until the pipe is full.
    void flush();

    bool has_backlog() const { return !m_lines.empty(); }
    std::uint64_t dropped() const { return m_dropped; }

private:
    bool is_writable() const;
    // Adds the line to the buffer, or drops it if the buffer is full.
    void enqueue(std::string line);
    // Removes the oldest lines that fit into PIPE_BUF bytes together.
    std::string take_chunk();

    int m_descriptor;
    std::size_t m_max_bytes;
    // Invariant: the sum of the lines' sizes, at most m_max_bytes.
    std::size_t m_bytes = 0;
    std::deque<std::string> m_lines;
    std::uint64_t m_dropped = 0;
};

} // namespace hawthornpin
