// A link: the outgoing connection to another of our processes, made when it is first needed.

#pragma once

#include "core/deferred_deletion.h"
#include "core/instant.h"
#include "rpc/glib_stream.h"
#include "rpc/hawthornpin.capnp.h"

#include <kj/refcount.h>

#include <map>
#include <memory>
#include <optional>

namespace hawthornpin {

// How far a call got.
enum class call_status {
    answered,
    // No connection came about, so the call was not sent.
    not_sent,
    // The call may have been received; its answer was lost.
    lost,
};

// A connection on which nothing was answered for this long, although something was asked, is given up: a
// machine that loses power closes nothing, and the restarted process needs a new connection. Longer than
// the retransmission of a lost packet (200 ms), so that one that only lost a packet is kept, with all the
// calls on it.
inline constexpr milliseconds unresponsive_link_timeout{250};

// A pool of links by address. Idle links beyond the limit are closed, least recently used first.
class link_pool {
public:
    link_pool(std::string cluster_key, std::size_t max_links);
    ~link_pool();
    link_pool(const link_pool&) = delete;
    link_pool& operator=(const link_pool&) = delete;

    // The node at the address, authenticated. Rejected if the peer can't be reached: nothing was sent then.
    kj::Promise<wire::Node::Client> node(const std::string& address);

    // Forgets a link whose call failed, so that the next one connects anew.
    void drop(const std::string& address);

    // A call on the link was answered, or was not in time. A peer that is only slow keeps its link:
    // connecting anew would cost it more than the answer.
    void record_answer(const std::string& address);
    void record_timeout(const std::string& address);

    std::size_t size() const { return m_links.size(); }

private:
    class link;

    void evict_if_full();

    std::string m_cluster_key;
    std::size_t m_max_links;
    std::uint64_t m_use_count = 0;
    std::map<std::string, std::unique_ptr<link>> m_links;
    deferred_deletion<link> m_closed_links;
};

// Calls `use` with the node at `address`. The result says how far the call got; `Response` must be default
// constructible and is only meaningful when answered.
template <typename Response>
struct call_result {
    call_status m_status = call_status::not_sent;
    Response m_response{};
};

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
