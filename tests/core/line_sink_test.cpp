// Tests that a reader that consumes nothing never blocks the writer, and that dropped lines are counted.

#include "core/line_sink.h"

#include <doctest/doctest.h>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <climits>

namespace hawthornpin {

namespace {

class pipe_fixture {
public:
    pipe_fixture() { REQUIRE(::pipe2(m_ends.data(), O_CLOEXEC) == 0); }
    ~pipe_fixture()
    {
        ::close(m_ends[0]);
        ::close(m_ends[1]);
    }

    std::string read_all()
    {
        std::string text(1024 * 1024, '\0');
        ::fcntl(m_ends[0], F_SETFL, O_NONBLOCK);
        const ssize_t size = ::read(m_ends[0], text.data(), text.size());
        text.resize(size < 0 ? 0 : static_cast<std::size_t>(size));
        return text;
    }

    std::array<int, 2> m_ends{};
};

} // namespace

TEST_CASE_FIXTURE(pipe_fixture, "lines arrive in order")
{
    line_sink sink(m_ends[1], 1'000);
    sink.write_line("one\n");
    sink.write_line("two\n");
    CHECK(read_all() == "one\ntwo\n");
    CHECK(sink.dropped() == 0);
}

TEST_CASE_FIXTURE(
    pipe_fixture,
    "buffered lines are written together, in order, by a flush or once they reach PIPE_BUF bytes")
{
    line_sink sink(m_ends[1], 10 * PIPE_BUF);
    sink.buffer_line("one\n");
    sink.buffer_line("two\n");
    CHECK(read_all() == "");
    sink.flush();
    CHECK(read_all() == "one\ntwo\n");
    const std::string line = std::string(PIPE_BUF / 2, 'x') + "\n";
    sink.buffer_line(line);
    CHECK(read_all() == "");
    sink.buffer_line(line);
    CHECK(read_all() == line + line);
    CHECK(sink.dropped() == 0);
}

TEST_CASE_FIXTURE(pipe_fixture, "a full pipe does not block; whole lines are dropped and counted")
{
    constexpr std::size_t line_bytes = 1'000;
    constexpr std::size_t backlog_bytes = 10 * line_bytes;
    line_sink sink(m_ends[1], backlog_bytes);
    const std::string line = std::string(line_bytes - 1, 'x') + "\n";
    for (int count = 0; count < 200; ++count)
        sink.write_line(line);
    CHECK(sink.has_backlog());
    CHECK(sink.dropped() > 0);
    const std::string first = read_all();
    CHECK(first.size() % line_bytes == 0);
    sink.flush();
    CHECK_FALSE(sink.has_backlog());
    const std::size_t taken = (first.size() + read_all().size()) / line_bytes;
    CHECK(taken + sink.dropped() == 200);
}

TEST_CASE_FIXTURE(pipe_fixture, "a line longer than PIPE_BUF is truncated and still ends with a line feed")
{
    line_sink sink(m_ends[1], 100'000);
    sink.write_line(std::string(3 * PIPE_BUF, 'x') + "\n");
    const std::string text = read_all();
    CHECK(text.size() == PIPE_BUF);
    CHECK(text.back() == '\n');
}

} // namespace hawthornpin
