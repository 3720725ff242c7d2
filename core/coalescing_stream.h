// Stream that sends what is written to it during one event in one message, because KJ's HTTP library writes
// the head of a message and its body one after the other.

#pragma once

#include <kj/async-io.h>

#include <vector>

namespace hawthornpin {

class coalescing_stream final : public kj::AsyncIoStream {
public:
    explicit coalescing_stream(kj::Own<kj::AsyncIoStream> inner) : m_inner(kj::mv(inner)) {}

    kj::Promise<std::size_t> read(void* buffer, std::size_t min_bytes, std::size_t max_bytes) override
    {
        return m_inner->read(buffer, min_bytes, max_bytes);
    }
    kj::Promise<std::size_t> tryRead(void* buffer, std::size_t min_bytes, std::size_t max_bytes) override
    {
        return m_inner->tryRead(buffer, min_bytes, max_bytes);
    }
    // The bytes are copied. Fulfilled at once, or when they are sent if much is waiting to be sent. A failed
    // transfer is not reported here but ends the input.
    kj::Promise<void> write(const void* buffer, std::size_t size) override;
    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
    kj::Promise<void> whenWriteDisconnected() override { return m_inner->whenWriteDisconnected(); }
    void shutdownWrite() override { m_inner->shutdownWrite(); }
    void abortRead() override { m_inner->abortRead(); }

    // Whether something that was written has not been sent yet.
    bool has_unsent() const { return m_is_flushing; }
    // Number of bytes that are kept because they may not have been sent yet.
    std::size_t unsent_bytes() const { return m_pending.size() + m_sending.size(); }

    // Fulfilled when all that was written has been sent or the transfer has failed. Only one call may be
    // pending.
    kj::Promise<void> when_flushed();

private:
    kj::Promise<void> schedule_flush();
    kj::Promise<void> flush();
    void finish_flush();

    kj::Own<kj::AsyncIoStream> m_inner;
    std::vector<kj::byte> m_pending;
    std::vector<kj::byte> m_sending;
    bool m_is_flushing = false;
    bool m_has_failed = false;
    kj::Own<kj::PromiseFulfiller<void>> m_waiter;
    kj::Promise<void> m_flush = kj::READY_NOW;
};

} // namespace hawthornpin
