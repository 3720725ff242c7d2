// Requests about jobs that were submitted before: their answers and their cancellation.

#include "main/caller_api.h"

#include "rpc/wire.h"

namespace hawthornpin {

namespace {

constexpr unsigned cancel_timeout_ms = 3'000;

// The home may be running the job; the request may be repeated with the same ticket.
constexpr outcome no_answer_outcome{verdict::may_have_run, reason::home_unreachable, ticket_state::open};

} // namespace

kj::Promise<api_response> caller_api::handle_get(const api_request& request, const std::string& text,
                                                 const ticket& known)
{
    outcome refusal;
    const auto address = find_home(known, refusal);
    if (!address)
        return refuse_with(refusal, unreachable_retry_after);
    constexpr int ms_per_second = 1000;
    const auto wait_ms = static_cast<unsigned>(parse_wait_seconds(request.m_prefer) * ms_per_second);
    m_context.m_metrics->count(counter::fetches_sent);
    auto call =
        call_node<submit_reply>(*m_context.m_links, *address, [known, wait_ms](wire::Node::Client node) {
            auto fetch = node.fetchRequest();
            write_wire(fetch.initTicket(), known);
            fetch.setWaitMs(wait_ms);
            return fetch.send().then([](auto response) {
                return submit_reply{read_wire(response.getAnswer()),
                                    {read_wire(response.getLoad()), 0},
                                    response.getAnswer().getPending()};
            });
        });
    auto timed_out = after_delay(wait_ms + static_cast<unsigned>(home_grace.count())).then([] {
        return call_result<submit_reply>{call_status::lost, {}};
    });
    return call.exclusiveJoin(kj::mv(timed_out)).then([this, text](call_result<submit_reply> result) {
        if (result.m_status != call_status::answered) {
            return refuse_with(no_answer_outcome, unreachable_retry_after);
        }
        if (result.m_response.m_is_pending)
            return make_pending_response(text);
        return make_answer_response(text, result.m_response.m_answer);
    });
}

kj::Promise<api_response> caller_api::handle_delete(const std::string& text, const ticket& known)
{
    outcome refusal;
    const auto address = find_home(known, refusal);
    if (!address)
        return refuse_with(refusal, unreachable_retry_after);
    m_context.m_metrics->count(counter::cancels_sent);
    auto call = call_node<outcome>(*m_context.m_links, *address, [known](wire::Node::Client node) {
        auto cancel = node.cancelRequest();
        write_wire(cancel.initTicket(), known);
        return cancel.send().then([](auto response) { return read_wire(response.getOutcome()); });
    });
    auto timed_out = after_delay(cancel_timeout_ms).then([] {
        return call_result<outcome>{call_status::lost, {}};
    });
    return call.exclusiveJoin(kj::mv(timed_out)).then([this, text](call_result<outcome> result) {
        if (result.m_status == call_status::answered)
            return make_cancel_response(text, result.m_response);
        return refuse_with(no_answer_outcome, unreachable_retry_after);
    });
}

} // namespace hawthornpin
