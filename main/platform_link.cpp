// Requests and responses of the calls between processes.

#include "main/platform_link.h"

#include "core/event_loop.h"

namespace hawthornpin {

namespace {

// Turns the result of a call into an optional, empty if the call was not answered.
template <typename Value>
kj::Promise<std::optional<Value>> to_optional(kj::Promise<call_result<std::optional<Value>>>&& call)
{
    return call.then([](call_result<std::optional<Value>> result) {
        return result.m_status == call_status::answered ? std::move(result.m_response) : std::nullopt;
    });
}

} // namespace

template <typename Value>
kj::Promise<std::optional<Value>> platform_link::with_timeout(kj::Promise<std::optional<Value>>&& call,
                                                              const std::string& address,
                                                              milliseconds timeout)
{
    auto timed_out = after_delay(static_cast<unsigned>(timeout.count())).then([this, address] {
        m_links.record_timeout(address);
        return std::optional<Value>();
    });
    return call.exclusiveJoin(kj::mv(timed_out));
}

kj::Promise<std::optional<agent_status>> platform_link::order(const std::string& address,
                                                              const order_batch& batch, milliseconds timeout)
{
    using response = std::optional<agent_status>;
    auto call = call_node<response>(m_links, address, [batch](wire::Node::Client node) {
        auto request = node.orderRequest();
        write_wire(request.initBatch(), batch);
        return request.send().then([](auto answer) { return response(read_wire(answer.getStatus())); });
    });
    return with_timeout(to_optional(kj::mv(call)), address, timeout);
}

kj::Promise<bool> platform_link::report(const std::string& address, const agent_status& status,
                                        const std::vector<run_outcome>& outcomes, milliseconds timeout)
{
    using response = std::optional<bool>;
    auto call = call_node<response>(m_links, address, [status, outcomes](wire::Node::Client node) {
        auto request = node.reportRequest();
        write_wire(request.initStatus(), status);
        write_wire(request.initOutcomes(static_cast<unsigned>(outcomes.size())), outcomes);
        return request.send().then([](auto) { return response(true); });
    });
    return with_timeout(to_optional(kj::mv(call)), address, timeout).then([](response answer) {
        return answer.value_or(false);
    });
}

kj::Promise<std::optional<registration_answer>>
platform_link::register_agent(const std::string& address, const agent_status& status,
                              const std::optional<evacuation_report>& evacuation, milliseconds timeout)
{
    using response = std::optional<registration_answer>;
    auto call = call_node<response>(m_links, address, [status, evacuation](wire::Node::Client node) {
        auto request = node.presentRequest();
        write_wire(request.initStatus(), status);
        if (evacuation)
            write_wire(request.initEvacuation(), evacuation);
        return request.send().then([](auto answer) {
            return response({read_wire(answer.getEntries()), read_wire(answer.getHomes()),
                             read_wire(answer.getEvacuation())});
        });
    });
    return with_timeout(to_optional(kj::mv(call)), address, timeout);
}

kj::Promise<std::optional<entry_sync_state>> platform_link::share(const std::string& address,
                                                                  const std::string& own_address,
                                                                  const entry_sync_state& known,
                                                                  milliseconds timeout)
{
    using response = std::optional<entry_sync_state>;
    auto call = call_node<response>(m_links, address, [own_address, known](wire::Node::Client node) {
        auto request = node.shareRequest();
        request.setAddress(own_address);
        write_wire(request.initEntries(static_cast<unsigned>(known.m_entries.size())), known.m_entries);
        request.setVersion(known.m_version);
        if (known.m_evacuation)
            write_wire(request.initEvacuation(), known.m_evacuation);
        return request.send().then([](auto answer) {
            entry_sync_state other;
            other.m_entries = read_wire(answer.getEntries());
            other.m_version = answer.getVersion();
            other.m_directory = answer.getDirectory().cStr();
            other.m_evacuation = read_wire(answer.getEvacuation());
            return response(std::move(other));
        });
    });
    return with_timeout(to_optional(kj::mv(call)), address, timeout);
}

kj::Promise<std::optional<home_status>>
platform_link::send_heartbeat(const std::string& address, const entry_heartbeat& heartbeat_message,
                              milliseconds timeout)
{
    using response = std::optional<home_status>;
    auto call = call_node<response>(m_links, address, [heartbeat_message](wire::Node::Client node) {
        auto request = node.attendRequest();
        write_wire(request.initPresence(), heartbeat_message);
        return request.send().then([](auto answer) { return response(read_wire(answer.getStatus())); });
    });
    return with_timeout(to_optional(kj::mv(call)), address, timeout);
}

kj::Promise<std::optional<forwarded_job_end>>
platform_link::submit_to_home(const std::string& address, const entry_heartbeat& heartbeat_message,
                              const work_request& work, const queue_contract& queue,
                              milliseconds caller_timeout)
{
    using response = std::optional<forwarded_job_end>;
    return to_optional(call_node<response>(
        m_links, address, [heartbeat_message, work, queue, caller_timeout](wire::Node::Client node) {
            auto request = node.handInRequest();
            write_wire(request.initPresence(), heartbeat_message);
            write_wire(request.initWork(), work);
            write_wire(request.initQueue(), queue);
            request.setPatienceMs(static_cast<std::uint32_t>(caller_timeout.count()));
            return request.send().then([job = work.m_id](auto answer) -> response {
                const auto end = read_wire(answer.getEnd(), job);
                if (!end)
                    return std::nullopt;
                return forwarded_job_end{*end, read_wire(answer.getStatus())};
            });
        }));
}

} // namespace hawthornpin
