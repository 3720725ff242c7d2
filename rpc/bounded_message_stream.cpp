// Reading of messages within bounds.

#include "rpc/bounded_message_stream.h"

#include "core/metrics.h"

#include <glib.h>
#include <kj/debug.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <optional>

namespace hawthornpin {

namespace {

// As in Cap'n Proto's own reader.
constexpr std::uint32_t max_segments = 512;
// The first allocation for a message. Most messages are smaller and are read in one piece.
constexpr std::size_t first_allocation_words = 1'024;

kj::Exception make_disconnected_error(const char* what)
{
    return KJ_EXCEPTION(DISCONNECTED, what);
}

} // namespace

// The first word of a message holds the number of segments less one and the size of the first segment. The
// sizes of the others follow, padded to a whole word, and then the content.
struct bounded_message_stream::incoming {
    std::array<std::uint32_t, 2> m_first{};
    std::vector<std::uint32_t> m_more_sizes;
    std::uint64_t m_total_words = 0;
    kj::Array<capnp::word> m_content;
    std::size_t m_received_words = 0;
    std::optional<incomplete_messages::entry> m_entry;

    std::uint32_t segment_count() const { return GUINT32_FROM_LE(m_first[0]) + 1; }
    std::uint32_t segment_words(std::size_t index) const
    {
        return GUINT32_FROM_LE(index == 0 ? m_first[1] : m_more_sizes[index - 1]);
    }
    void add_sizes()
    {
        for (std::size_t index = 0; index < segment_count(); ++index)
            m_total_words += segment_words(index);
    }
    void grow(std::size_t words)
    {
        auto grown = kj::heapArray<capnp::word>(words);
        if (m_received_words > 0)
            std::memcpy(grown.begin(), m_content.begin(), m_received_words * sizeof(capnp::word));
        m_content = kj::mv(grown);
    }
    kj::Own<capnp::MessageReader> make_reader(capnp::ReaderOptions options)
    {
        auto segments = kj::heapArray<kj::ArrayPtr<const capnp::word>>(segment_count());
        const capnp::word* position = m_content.begin();
        for (std::size_t index = 0; index < segments.size(); ++index) {
            segments[index] = kj::arrayPtr(position, segment_words(index));
            position += segment_words(index);
        }
        auto reader = kj::heap<capnp::SegmentArrayMessageReader>(segments, options);
        return reader.attach(kj::mv(segments), kj::mv(m_content));
    }
};

capnp::ReaderOptions rpc_reader_options()
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = max_rpc_message_bytes / sizeof(capnp::word);
    return options;
}

bounded_message_stream::bounded_message_stream(glib_stream& stream, incomplete_messages& incomplete,
                                               message_limits limits)
    : m_stream(stream), m_messages(stream), m_incomplete(incomplete), m_limits(limits)
{
}

kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>>
bounded_message_stream::tryReadMessage(kj::ArrayPtr<kj::AutoCloseFd> /*fd_space*/,
                                       capnp::ReaderOptions options, kj::ArrayPtr<capnp::word> /*scratch*/)
{
    using result = kj::Maybe<capnp::MessageReaderAndFds>;
    auto message = kj::heap<incoming>();
    incoming& reading = *message;
    const std::size_t first_bytes = sizeof(reading.m_first);
    return m_stream.tryRead(reading.m_first.data(), first_bytes, first_bytes)
        .then([this, options, message = kj::mv(message)](std::size_t count) mutable -> kj::Promise<result> {
            if (count == 0)
                return result(nullptr);
            if (count < sizeof(message->m_first))
                return make_disconnected_error("the connection ended inside a message");
            incoming& reading = *message;
            return read_table(reading)
                .then([this, &reading] {
                    check_announced(reading);
                    return read_content(reading);
                })
                .then([options, message = kj::mv(message)]() mutable {
                    message->m_entry.reset();
                    return result(capnp::MessageReaderAndFds{message->make_reader(options), nullptr});
                });
        });
}

kj::Promise<void> bounded_message_stream::read_exactly(void* buffer, std::size_t bytes)
{
    return m_stream.read(buffer, bytes, bytes).then([this](std::size_t) {
        if (m_has_violated)
            kj::throwFatalException(make_disconnected_error("the peer was disconnected"));
    });
}

kj::Promise<void> bounded_message_stream::read_table(incoming& message)
{
    if (GUINT32_FROM_LE(message.m_first[0]) >= max_segments - 1) {
        count_in_process(counter::rpc_messages_too_large);
        disconnect_peer();
        return make_disconnected_error("a message has too many segments");
    }
    const std::size_t padded_sizes = message.segment_count() / 2 * 2;
    if (padded_sizes == 0) {
        message.add_sizes();
        return kj::READY_NOW;
    }
    message.m_more_sizes.resize(padded_sizes);
    return read_exactly(message.m_more_sizes.data(), padded_sizes * sizeof(std::uint32_t)).then([&message] {
        message.add_sizes();
    });
}

void bounded_message_stream::check_announced(const incoming& message)
{
    const std::uint64_t content_bytes = message.m_total_words * sizeof(capnp::word);
    if (!m_is_authenticated) {
        m_unauthenticated_bytes +=
            sizeof(message.m_first) + message.m_more_sizes.size() * sizeof(std::uint32_t) + content_bytes;
        if (m_unauthenticated_bytes > m_limits.m_max_unauthenticated_bytes) {
            count_in_process(counter::rpc_unauthenticated_oversized);
            disconnect_peer();
            kj::throwFatalException(make_disconnected_error("a peer sent too much before it authenticated"));
        }
    }
    if (content_bytes > max_rpc_message_bytes) {
        count_in_process(counter::rpc_messages_too_large);
        disconnect_peer();
        kj::throwFatalException(make_disconnected_error("a message is too large"));
    }
}

kj::Promise<void> bounded_message_stream::read_content(incoming& message)
{
    const auto total_words = static_cast<std::size_t>(message.m_total_words);
    if (message.m_received_words == total_words)
        return kj::READY_NOW;
    const std::size_t words =
        std::min(total_words, std::max(first_allocation_words, 2 * message.m_received_words));
    if (!message.m_entry)
        message.m_entry.emplace(m_incomplete, [this] { disconnect_peer(); });
    message.m_entry->resize(words * sizeof(capnp::word));
    if (m_has_violated)
        return make_disconnected_error(
            "the message was evicted because the budget for incomplete messages is exhausted");
    message.grow(words);
    const std::size_t wanted = words - message.m_received_words;
    return read_exactly(message.m_content.begin() + message.m_received_words, wanted * sizeof(capnp::word))
        .then([this, &message, words] {
            message.m_received_words = words;
            return read_content(message);
        });
}

void bounded_message_stream::disconnect_peer()
{
    if (m_has_violated)
        return;
    m_has_violated = true;
    // Wakes a read that is in progress.
    m_stream.abortRead();
    if (m_on_violation)
        m_on_violation();
}

kj::Promise<void>
bounded_message_stream::writeMessage(kj::ArrayPtr<const int> fds,
                                     kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments)
{
    return m_messages.writeMessage(fds, segments);
}

kj::Promise<void> bounded_message_stream::writeMessages(
    kj::ArrayPtr<kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>> messages)
{
    return m_messages.writeMessages(messages);
}

kj::Maybe<int> bounded_message_stream::getSendBufferSize()
{
    return m_messages.getSendBufferSize();
}

kj::Promise<void> bounded_message_stream::end()
{
    return m_messages.end();
}

} // namespace hawthornpin
