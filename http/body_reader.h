// Reads the body of one request within the limits of the process.

#pragma once

#include "core/verdict.h"
#include "http/input_guard.h"

#include <kj/async-io.h>

#include <string>

namespace hawthornpin {

class body_reader {
public:
    // Reads at most `max_bytes` into `text`. All references must outlive this object.
    body_reader(input_guard& guard, guarded_connection& owner, kj::AsyncInputStream& body,
                std::size_t max_bytes, std::string& text);
    // Releases the memory from the budget.
    ~body_reader();
    body_reader(const body_reader&) = delete;
    body_reader& operator=(const body_reader&) = delete;

    // Fulfilled at the end of the body with none, and earlier with body_too_large or body_budget. The text is
    // then empty.
    kj::Promise<reason> read();

    // Releases the memory from the budget although it is still in use: the connection is about to be
    // destroyed.
    void release() { m_guard.end_body(m_id); }

private:
    // Whether there is room for more input.
    bool make_room();
    kj::Promise<reason> read_on();
    kj::Promise<reason> on_input(std::size_t received);
    reason give_up(reason why);

    input_guard& m_guard;
    kj::AsyncInputStream& m_body;
    std::size_t m_max_bytes;
    std::string& m_text;
    // The part of the text that has been received.
    std::size_t m_size = 0;
    // The text grows to this size at most: one byte more than expected, so that the end is noticed.
    std::size_t m_max_size;
    unsigned m_reads_left;
    std::uint64_t m_id;
};

} // namespace hawthornpin
