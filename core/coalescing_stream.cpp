// Collects writes and sends them at the end of the event.

#include "core/coalescing_stream.h"

#include <utility>

namespace hawthornpin {

namespace {

// A writer waits while more than this is unsent, so that a peer that does not read can't make the buffer
// grow.
constexpr std::size_t max_unsent_bytes = 256 * 1024;
// Larger buffers are freed once they are sent, because most connections are idle.
constexpr std::size_t max_kept_bytes = 4 * 1024;

} // namespace

kj::Promise<void> coalescing_stream::write(const void* buffer, std::size_t size)
{
    const auto* bytes = static_cast<const kj::byte*>(buffer);
    m_pending.insert(m_pending.end(), bytes, bytes + size);
    return schedule_flush();
}

kj::Promise<void> coalescing_stream::write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces)
{
    for (const auto& piece : pieces)
        m_pending.insert(m_pending.end(), piece.begin(), piece.end());
    return schedule_flush();
}

kj::Promise<void> coalescing_stream::when_flushed()
{
    if (!m_is_flushing)
        return kj::READY_NOW;
    auto pair = kj::newPromiseAndFulfiller<void>();
    m_waiter = kj::mv(pair.fulfiller);
    return kj::mv(pair.promise);
}

kj::Promise<void> coalescing_stream::schedule_flush()
{
    if (m_has_failed) {
        m_pending.clear();
        return kj::READY_NOW;
    }
    if (!std::exchange(m_is_flushing, true)) {
        m_flush = kj::evalLast([this] { return flush(); }).eagerlyEvaluate([this](kj::Exception&&) {
            m_has_failed = true;
            m_pending.clear();
            finish_flush();
            // The reader notices the failure.
            m_inner->abortRead();
        });
    }
    if (m_pending.size() <= max_unsent_bytes)
        return kj::READY_NOW;
    return when_flushed();
}

kj::Promise<void> coalescing_stream::flush()
{
    m_sending.clear();
    if (m_sending.capacity() > max_kept_bytes)
        m_sending.shrink_to_fit();
    if (m_pending.empty()) {
        finish_flush();
        return kj::READY_NOW;
    }
    std::swap(m_sending, m_pending);
    return m_inner->write(m_sending.data(), m_sending.size()).then([this] { return flush(); });
}

void coalescing_stream::finish_flush()
{
    m_is_flushing = false;
    if (m_waiter.get() != nullptr)
        std::exchange(m_waiter, nullptr)->fulfill();
}

} // namespace hawthornpin
