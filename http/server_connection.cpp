// Requests of one connection: limits, the call of the handler, disconnects and the response.

#include "http/server_connection.h"

#include "core/event_loop.h"
#include "core/logging.h"

#include <kj/debug.h>

#include <algorithm>
#include <utility>

namespace hawthornpin {

namespace {

// Requests of a connection in one iteration of the event loop; more of them may be pipelined.
constexpr unsigned requests_per_iteration = 8;
// While more of the responses is unsent, no further request is begun, so that a client that pipelines
// requests and reads no response takes little memory.
constexpr std::size_t max_unsent_at_request = 16 * 1024;

kj::HttpServerSettings make_settings(const server_context& context, kj::HttpServerCallbacks& callbacks,
                                     kj::HttpServerErrorHandler& error_handler)
{
    kj::HttpServerSettings settings;
    const auto idle_timeout = static_cast<std::int64_t>(context.m_limits.m_idle_timeout_seconds);
    settings.headerTimeout = idle_timeout * kj::SECONDS;
    settings.pipelineTimeout = idle_timeout * kj::SECONDS;
    // What is left of a body that is too large is read, so that the client can read the response.
    const milliseconds grace = std::min<milliseconds>(std::chrono::seconds(idle_timeout),
                                                      context.m_guard.limits().m_bodies.m_stall_timeout);
    settings.canceledUploadGracePeriod = grace.count() * kj::MILLISECONDS;
    settings.canceledUploadGraceBytes = context.m_limits.m_max_body_bytes;
    settings.callbacks = callbacks;
    settings.errorHandler = error_handler;
    return settings;
}

} // namespace

// A request that is being handled: counted as in progress, and ended when its client disconnects.
class server_connection::exchange {
public:
    exchange(server_context& context, server_stream& socket, bool& is_handling)
        : m_context(context), m_socket(socket), m_is_handling(is_handling)
    {
        m_is_handling = true;
        ++m_context.m_in_progress;
        if (!m_context.m_limits.m_is_cancelled_on_disconnect)
            return;
        m_socket.set_hangup_callback([this] { m_disconnected.fulfiller->fulfill(); });
    }
    ~exchange()
    {
        m_socket.set_hangup_callback({});
        if (m_is_probing)
            m_socket.end_probe();
        m_is_handling = false;
        --m_context.m_in_progress;
    }
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;

    // Fulfilled when the client has disconnected. May be called only once.
    kj::Promise<void> when_disconnected() { return kj::mv(m_disconnected.promise); }

    // Watches the client's connection from now on. Fulfilled when the request may be handled: if it begins
    // work, once the connection is known to be alive, and never if it has ended.
    kj::Promise<void> watch_client(const api_request& request)
    {
        if (!m_context.m_limits.m_is_cancelled_on_disconnect)
            return kj::READY_NOW;
        const request_age& age = request.m_age;
        const bool begins_work = request.m_method == "POST" || request.m_method == "PUT";
        if (begins_work && m_socket.has_hung_up())
            return kj::NEVER_DONE;
        const instant now = boot_now();
        if (begins_work && needs_probe(age, now))
            return probe_client().then([this](bool is_alive) -> kj::Promise<void> {
                if (!is_alive)
                    return kj::NEVER_DONE;
                m_watch = probe_after(caller_probe_after).eagerlyEvaluate(nullptr);
                return kj::READY_NOW;
            });
        const auto delay = std::max(
            milliseconds(0), std::chrono::ceil<milliseconds>(age.m_heard_at + caller_probe_after - now));
        m_watch = probe_after(delay).eagerlyEvaluate(nullptr);
        return kj::READY_NOW;
    }

private:
    // Probes the client whenever it has not been heard from for caller_probe_after, until it is silent.
    kj::Promise<void> probe_after(milliseconds delay)
    {
        return after_delay(static_cast<unsigned>(delay.count())).then([this]() -> kj::Promise<void> {
            const milliseconds silent_for = m_socket.silent_for().value_or(milliseconds(0));
            if (silent_for < caller_probe_after)
                return probe_after(caller_probe_after - silent_for);
            return probe_client().then([this](bool is_alive) -> kj::Promise<void> {
                return is_alive ? probe_after(caller_probe_after) : kj::READY_NOW;
            });
        });
    }

    // Whether the client has answered a probe. A client whose connection has gone silent without an end of
    // the stream counts as disconnected.
    kj::Promise<bool> probe_client()
    {
        m_is_probing = true;
        return await_client(boot_now()).then([this](bool is_alive) {
            m_is_probing = false;
            m_socket.end_probe();
            if (!is_alive) {
                log_event(log_level::warning, "caller_silent");
                m_disconnected.fulfiller->fulfill();
            }
            return is_alive;
        });
    }

    // Repeats the probe, which may be lost.
    kj::Promise<bool> await_client(instant probed_at, unsigned checks = 0)
    {
        constexpr unsigned check_interval_ms = 5;
        constexpr unsigned checks_per_probe = 5;
        if (checks % checks_per_probe == 0)
            m_socket.probe_peer();
        return after_delay(check_interval_ms).then([this, probed_at, checks]() -> kj::Promise<bool> {
            const instant now = boot_now();
            const auto silent_for = m_socket.silent_for();
            if (!silent_for || *silent_for < now - probed_at + caller_probe_timeout)
                return true;
            if (probed_at + caller_probe_timeout <= now)
                return false;
            return await_client(probed_at, checks + 1);
        });
    }

    server_context& m_context;
    server_stream& m_socket;
    bool& m_is_handling;
    kj::PromiseFulfillerPair<void> m_disconnected = kj::newPromiseAndFulfiller<void>();
    kj::Promise<void> m_watch = nullptr;
    bool m_is_probing = false;
};

server_connection::server_connection(server_context& context, file_descriptor socket, instant unread_since)
    : server_connection(context,
                        kj::heap<server_stream>(std::move(socket), context.m_limits.m_idle_timeout_seconds,
                                                unread_since, context.m_guard.scheduler()))
{
}

server_connection::server_connection(server_context& context, kj::Own<server_stream> socket)
    : m_context(context), m_socket(*socket), m_output(kj::mv(socket)),
      m_registration(context.m_guard.add_connection(*this)), m_request_quota(requests_per_iteration),
      m_http(m_context.m_clock, m_context.m_headers.table(), *this, make_settings(context, *this, *this))
{
}

server_connection::~server_connection() noexcept(false)
{
    if (m_registration)
        m_context.m_guard.remove_connection(*m_registration);
}

connection_state server_connection::state() const
{
    if (m_is_handling)
        return {connection_phase::handling, m_socket.last_read_since()};
    if (const auto began_at = m_socket.request_began_at())
        return {connection_phase::receiving, *began_at};
    return {connection_phase::idle, m_socket.last_read_since()};
}

void server_connection::end(reason why)
{
    if (!m_registration)
        return;
    m_context.m_guard.remove_connection(*std::exchange(m_registration, std::nullopt));
    if (m_body.get() != nullptr)
        m_body->release();
    const bool has_request = m_is_handling || m_socket.request_began_at();
    if (has_request && !m_output.has_unsent()) {
        m_socket.discard_input();
        m_socket.send_last(write_last_response(make_input_refusal(m_context.m_limits, why)));
    }
    m_ended.fulfiller->fulfill();
}

kj::Promise<void> server_connection::serve()
{
    auto served = m_http.listenHttpCleanDrain(m_output)
                      .then([this](bool /*is_reusable*/) { return m_output.when_flushed(); })
                      .catch_([](kj::Exception&& error) {
                          // Clients may disconnect at any time.
                          if (error.getType() != kj::Exception::Type::DISCONNECTED)
                              log_event(log_level::warning, "connection_failed",
                                        {{"detail", error.getDescription().cStr()}});
                      });
    return served.exclusiveJoin(kj::mv(m_ended.promise));
}

kj::Promise<void> server_connection::request(kj::HttpMethod method, kj::StringPtr url,
                                             const kj::HttpHeaders& headers, kj::AsyncInputStream& body,
                                             Response& response)
{
    auto received = kj::heap<api_request>(m_context.m_headers.read_head(method, url, headers));
    m_is_closing = asks_to_close(headers);
    const std::uint64_t announced_bytes = body.tryGetLength().orDefault(0);
    if (count_header_bytes(headers) > m_context.m_limits.m_max_header_bytes)
        received->m_input_fault = reason::header_too_large;
    else if (announced_bytes > m_context.m_limits.m_max_body_bytes)
        received->m_input_fault = reason::body_too_large;
    if (received->m_input_fault != reason::none)
        return handle(kj::mv(*received), response);
    if (m_context.m_headers.expects_continue(headers)) {
        static constexpr kj::StringPtr interim_response = "HTTP/1.1 100 Continue\r\n\r\n"_kj;
        m_output.write(interim_response.begin(), interim_response.size());
    }
    auto reading = read_body(body, *received);
    return reading.then([this, received = kj::mv(received), &response](reason fault) mutable {
        m_socket.set_idle_timeout_enabled(true);
        // What was answered as not run must not begin, and is not answered again.
        if (!m_registration)
            return kj::Promise<void>(kj::NEVER_DONE);
        if (fault == reason::body_budget)
            return refuse(fault, response);
        received->m_input_fault = fault;
        return handle(kj::mv(*received), response);
    });
}

kj::Promise<reason> server_connection::read_body(kj::AsyncInputStream& body, api_request& request)
{
    const auto begin = [this, &body, &request]() -> kj::Promise<reason> {
        if (body.tryGetLength().orDefault(1) == 0)
            return reason::none;
        // The guard's timeouts hold instead, which leave out pauses of this process.
        m_socket.set_idle_timeout_enabled(false);
        m_body = kj::heap<body_reader>(m_context.m_guard, *this, body, m_context.m_limits.m_max_body_bytes,
                                       request.m_body);
        return m_body->read();
    };
    if (m_output.unsent_bytes() > max_unsent_at_request)
        return m_output.when_flushed().then([begin] { return begin(); });
    if (m_request_quota.take())
        return begin();
    return m_context.m_guard.scheduler().next_turn().then([this, begin] {
        m_request_quota.renew();
        return begin();
    });
}

kj::Promise<void> server_connection::refuse(reason why, Response& response)
{
    m_body = nullptr;
    m_is_closing = true;
    m_socket.read_in_turns();
    m_context.m_guard.count_end(why);
    return respond(make_input_refusal(m_context.m_limits, why), response);
}

kj::Promise<void> server_connection::handle(api_request request, Response& response)
{
    // The rest of the input may be unread.
    if (request.m_input_fault != reason::none) {
        m_is_closing = true;
        m_socket.read_in_turns();
    }
    request.m_age = m_socket.take_request_age(boot_now());
    auto current = kj::heap<exchange>(m_context, m_socket, m_is_handling);
    auto is_alive = current->watch_client(request);
    auto answered = is_alive
                        .then([this, request = std::move(request)]() mutable -> kj::Promise<api_response> {
                            // The body may have been evicted while the client was probed.
                            if (!m_registration)
                                return kj::NEVER_DONE;
                            m_body = nullptr;
                            return m_context.m_handler(std::move(request));
                        })
                        .catch_([](kj::Exception&& failure) -> api_response {
                            log_event(log_level::warning, "request_failed",
                                      {{"detail", failure.getDescription().cStr()}});
                            return {500, "", "text/plain", "may_have_run", "", false};
                        });
    if (m_context.m_limits.m_is_cancelled_on_disconnect) {
        answered = answered.exclusiveJoin(current->when_disconnected().then([] {
            api_response dropped;
            dropped.m_is_connection_dropped = true;
            return dropped;
        }));
    }
    return answered
        .then([this, &response](api_response&& answer) { return respond(std::move(answer), response); })
        .attach(kj::mv(current));
}

kj::Promise<void> server_connection::respond(api_response&& answer, Response& response)
{
    // The client may never read the response.
    m_is_handling = false;
    if (answer.m_is_connection_dropped) {
        m_socket.shut_down();
        return KJ_EXCEPTION(DISCONNECTED, "the connection was closed without a response");
    }
    m_is_closing = m_is_closing || answer.m_is_last_on_connection;
    auto stream = response.send(answer.m_status, reason_phrase(answer.m_status),
                                m_context.m_headers.make_headers(answer), answer.m_body.size());
    if (answer.m_body.empty())
        return kj::READY_NOW;
    auto text = kj::heap<std::string>(std::move(answer.m_body));
    auto written = stream->write(text->data(), text->size());
    return written.attach(kj::mv(stream), kj::mv(text));
}

kj::Promise<void> server_connection::handleClientProtocolError(kj::HttpHeaders::ProtocolError error,
                                                               Response& response)
{
    log_event(log_level::warning, "request_unreadable", {{"detail", error.description.cStr()}});
    api_response answer;
    answer.m_status = error.statusCode;
    answer.m_verdict = "not_run";
    answer.m_body = "{}";
    return respond(std::move(answer), response);
}

} // namespace hawthornpin
