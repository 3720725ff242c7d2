// Writes lines to a descriptor without ever blocking: what the reader does not take in time is dropped and
// counted.

#pragma once

#include <cstdint>
#include <deque>
#include <string>

namespace hawthornpin {

class line_sink {
public:
    // `descriptor` stays the caller's. Keeps at most `max_bytes` of lines that the reader has not taken.
    line_sink(int descriptor, std::size_t max_bytes) : m_descriptor(descriptor), m_max_bytes(max_bytes) {}

    // Takes a line with its line feed and writes it. Longer lines than a pipe takes at once are cut to that
    // length.
    void write_line(std::string line);

    // The same, but leaves lines that together are shorter than a pipe takes at once for the next flush().
    void buffer_line(std::string line);

    // Writes what the reader takes now, several lines at a time.
    void flush();

    bool has_backlog() const { return !m_lines.empty(); }
    std::uint64_t dropped() const { return m_dropped; }

private:
    bool is_writable() const;
    // Adds the line, or drops it if there is no room.
    void enqueue(std::string line);
    // Removes as many of the oldest lines as a pipe takes at once.
    std::string take_chunk();

    int m_descriptor;
    std::size_t m_max_bytes;
    // Invariant: the sum of the lines' sizes, at most m_max_bytes.
    std::size_t m_bytes = 0;
    std::deque<std::string> m_lines;
    std::uint64_t m_dropped = 0;
};

} // namespace hawthornpin
