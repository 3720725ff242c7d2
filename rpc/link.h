// Links: outgoing connections to other hawthornpin processes, each opened when it is first needed.

#pragma once

#include "core/deferred_deletion.h"
#include "core/glib_stream.h"
#include "core/instant.h"
#include "rpc/bounded_message_stream.h"
#include "rpc/hawthornpin.capnp.h"

#include <kj/refcount.h>

#include <map>
#include <memory>
#include <optional>

namespace hawthornpin {

// How far a call got.
enum class call_status {
    answered,
    // The connection could not be established, so the call was not sent.
    not_sent,
    // The call may have been received; its answer was lost.
    lost,
};

// When a call times out, its connection is dropped if no call on it was answered for this long: a machine
// that loses power closes no connection, and the restarted process needs a new one. Longer than TCP's delay
// before it retransmits a lost packet (200 ms), so that a connection that only lost a packet is kept, with
// all the calls on it.
inline constexpr milliseconds unresponsive_link_timeout{250};

// A pool of links by address. A new link beyond the limit replaces the least recently used one.
class link_pool {
public:
    link_pool(std::string cluster_key, std::size_t max_links, message_limits limits = {});
    ~link_pool();
    link_pool(const link_pool&) = delete;
    link_pool& operator=(const link_pool&) = delete;

    // Returns the node at the address, authenticated. Rejected if the peer can't be reached; no call was sent
    // in that case.
    kj::Promise<wire::Node::Client> node(const std::string& address);

    // Drops a link whose call failed, so that the next call opens a new connection.
    void drop(const std::string& address);

    // Record that a call on the link was answered, or was not answered in time. A peer that is only slow
    // keeps its link, because a new connection would cost it more than the answer.
    void record_answer(const std::string& address);
    void record_timeout(const std::string& address);

    std::size_t size() const { return m_links.size(); }
    // Memory held for answers that have not arrived completely.
    std::size_t incomplete_bytes() const { return m_incomplete_messages->bytes(); }

private:
    class link;

    void evict_if_full();

    std::string m_cluster_key;
    std::size_t m_max_links;
    message_limits m_message_limits;
    // Shared with the connections, some of which outlive their link.
    std::shared_ptr<incomplete_messages> m_incomplete_messages;
    std::uint64_t m_use_count = 0;
    std::map<std::string, std::unique_ptr<link>> m_links;
    deferred_deletion<link> m_closed_links;
};

// Result of call_node(). The response is only meaningful if the call was answered; `Response` must be default
// constructible.
template <typename Response>
struct call_result {
    call_status m_status = call_status::not_sent;
    Response m_response{};
};

// Calls `use` with the node at `address`.
template <typename Response, typename Use>
kj::Promise<call_result<Response>> call_node(link_pool& links, const std::string& address, Use use)
{
    using result = call_result<Response>;
    return links.node(address).then(
        [&links, address, use = kj::mv(use)](wire::Node::Client node) mutable -> kj::Promise<result> {
            return use(kj::mv(node))
                .then(
                    [&links, address](Response response) {
                        links.record_answer(address);
                        return result{call_status::answered, kj::mv(response)};
                    },
                    [&links, address](kj::Exception&& failure) {
                        if (failure.getType() == kj::Exception::Type::DISCONNECTED)
                            links.drop(address);
                        return result{call_status::lost, {}};
                    });
        },
        [&links, address](kj::Exception&&) -> kj::Promise<result> {
            links.drop(address);
            return result{};
        });
}

} // namespace hawthornpin
