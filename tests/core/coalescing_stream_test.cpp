// Tests that writes of one event leave together, and what a slow or failed connection does to their writer.

#include "core/coalescing_stream.h"
#include "core/event_loop.h"

#include <doctest/doctest.h>

#include <kj/debug.h>

#include <string>
#include <vector>

namespace hawthornpin {

namespace {

// Records the messages written; each is sent when the test says so.
class recording_stream final : public kj::AsyncIoStream {
public:
    struct record {
        std::vector<std::string> m_messages;
        kj::Own<kj::PromiseFulfiller<void>> m_sent;
        bool m_is_input_ended = false;
    };

    explicit recording_stream(record& written) : m_record(written) {}

    kj::Promise<std::size_t> read(void* /*buffer*/, std::size_t /*min*/, std::size_t /*max*/) override
    {
        return kj::NEVER_DONE;
    }
    kj::Promise<std::size_t> tryRead(void* /*buffer*/, std::size_t /*min*/, std::size_t /*max*/) override
    {
        return kj::NEVER_DONE;
    }
    kj::Promise<void> write(const void* buffer, std::size_t size) override
    {
        m_record.m_messages.emplace_back(static_cast<const char*>(buffer), size);
        auto pair = kj::newPromiseAndFulfiller<void>();
        m_record.m_sent = kj::mv(pair.fulfiller);
        return kj::mv(pair.promise);
    }
    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> /*pieces*/) override
    {
        return kj::NEVER_DONE;
    }
    kj::Promise<void> whenWriteDisconnected() override { return kj::NEVER_DONE; }
    void shutdownWrite() override {}
    void abortRead() override { m_record.m_is_input_ended = true; }

private:
    record& m_record;
};

class coalescing_fixture {
public:
    void write(const std::string& text) { m_writer = m_stream.write(text.data(), text.size()); }
    bool is_writer_waiting() { return !m_writer.poll(m_loop.wait_scope()); }
    void run_events()
    {
        run_until_complete(m_loop, after_delay(1).then([] { return true; }));
    }

    event_loop m_loop;
    recording_stream::record m_record;
    coalescing_stream m_stream{kj::heap<recording_stream>(m_record)};
    kj::Promise<void> m_writer = kj::READY_NOW;
};

} // namespace

TEST_CASE_FIXTURE(coalescing_fixture, "what is written during one event leaves in one message")
{
    write("head ");
    write("body");
    run_events();
    CHECK(m_record.m_messages == std::vector<std::string>{"head body"});
    // While a message is being sent, further ones are collected.
    write("second ");
    write("third");
    run_events();
    CHECK(m_record.m_messages.size() == 1);
    m_record.m_sent->fulfill();
    run_events();
    CHECK(m_record.m_messages.back() == "second third");
}

TEST_CASE_FIXTURE(coalescing_fixture,
                  "a writer waits while much is unsent, and the flush ends when all is sent")
{
    constexpr std::size_t much = 1024 * 1024;
    write("first");
    run_events();
    CHECK_FALSE(is_writer_waiting());
    write(std::string(much, 'x'));
    CHECK(is_writer_waiting());
    m_record.m_sent->fulfill();
    run_events();
    CHECK(is_writer_waiting());
    m_record.m_sent->fulfill();
    run_events();
    CHECK_FALSE(is_writer_waiting());
    CHECK(m_stream.when_flushed().poll(m_loop.wait_scope()));
}

TEST_CASE_FIXTURE(coalescing_fixture,
                  "a failed transfer ends the input and the flush, and later writes are dropped")
{
    write("first");
    run_events();
    auto flushed = m_stream.when_flushed();
    m_record.m_sent->reject(KJ_EXCEPTION(DISCONNECTED, "reset"));
    run_events();
    CHECK(m_record.m_is_input_ended);
    CHECK(flushed.poll(m_loop.wait_scope()));
    write("second");
    run_events();
    CHECK(m_record.m_messages.size() == 1);
}

} // namespace hawthornpin
