// Writes the requests, and sends those that are interrupted.

#include "tests/soak/soak_requests.h"

#include "core/glib_stream.h"
#include "core/json.h"
#include "tests/soak/soak_worker.h"

#include <algorithm>
#include <array>

namespace hawthornpin::soak {

namespace {

constexpr unsigned ok = 200;

// One request on a connection of its own.
class open_request {
public:
    open_request(kj::Own<glib_stream> stream, const http_request& request, const std::string& path)
        : m_text(request.m_body), m_stream(kj::mv(stream)),
          m_client(kj::newHttpClient(*m_headers, *m_stream)), m_request(begin(request, path))
    {
    }

    std::size_t half() const { return m_text.size() / 2; }
    kj::Promise<void> write(std::size_t from, std::size_t size)
    {
        return m_request.body->write(m_text.data() + from, size);
    }
    kj::Promise<kj::HttpClient::Response> finish()
    {
        m_request.body = nullptr;
        return kj::mv(m_request.response);
    }

private:
    kj::HttpClient::Request begin(const http_request& request, const std::string& path)
    {
        kj::HttpHeaders headers(*m_headers);
        for (const http_header& header : request.m_headers)
            headers.add(kj::StringPtr(header.m_name.c_str()), kj::StringPtr(header.m_value.c_str()));
        return m_client->request(kj::HttpMethod::POST, path.c_str(), headers, m_text.size());
    }

    std::string m_text;
    kj::Own<kj::HttpHeaderTable> m_headers = kj::HttpHeaderTable::Builder().build();
    kj::Own<glib_stream> m_stream;
    kj::Own<kj::HttpClient> m_client;
    kj::HttpClient::Request m_request;
};

kj::Promise<http_response> read_response(kj::HttpClient::Response response)
{
    auto text = response.body->readAllText();
    return text.attach(kj::mv(response.body)).then([status = response.statusCode](kj::String body) {
        return http_response{http_transport::answered, status, body.cStr(), {}};
    });
}

} // namespace

std::string draw_job_id(random_source& random)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(random()));
    return text.data();
}

soak_job make_job(const std::string& id, const std::string& queue, std::uint32_t tasks, long long duration_ms,
                  long long estimate_ms)
{
    constexpr std::int64_t cpu_milli = 1'600;
    json_writer body;
    body.begin_object()
        .key("spec")
        .text(make_specification(cpu_milli, duration_ms))
        .key("best_effort")
        .flag(true);
    body.key("phases").begin_array().begin_object().key("count").integer(tasks);
    body.key("cpu").integer(cpu_milli).key("mem_mb").integer(64);
    body.key("estimate_ms").integer(estimate_ms).end_object().end_array().end_object();
    return {id, queue, tasks, body.to_string()};
}

std::string pad_object(const std::string& object, std::size_t size)
{
    const bool is_empty = object == "{}";
    const std::string begin =
        object.substr(0, object.size() - 1) + (is_empty ? R"("padding":")" : R"(,"padding":")");
    const std::string end = R"("})";
    const std::size_t least = begin.size() + end.size();
    return begin + std::string(std::max(size, least) - least, 'x') + end;
}

http_request make_submission(const std::string& entry, const soak_job& job,
                             std::optional<unsigned> deadline_ms)
{
    http_request request;
    request.m_method = "POST";
    request.m_url = "http://" + entry + "/" + job.m_queue + "/" + job.m_id;
    request.m_body = job.m_body;
    request.m_headers = {{"Host", "soak.example"}};
    if (deadline_ms)
        request.m_headers.push_back({"Deadline-Ms", std::to_string(*deadline_ms)});
    request.m_can_reuse_connection = true;
    return request;
}

kj::Promise<http_response> send_in_halves(const std::string& address, const http_request& request,
                                          kj::Promise<void> pause)
{
    return connect_stream(address)
        .then([request, path = request.m_url.substr(request.m_url.find(address) + address.size()),
               pause = kj::mv(pause)](kj::Own<glib_stream> stream) mutable {
            auto open = kj::heap<open_request>(kj::mv(stream), request, path);
            open_request& current = *open;
            return current.write(0, current.half())
                .then([pause = kj::mv(pause)]() mutable { return kj::mv(pause); })
                .then([&current, size = request.m_body.size()] {
                    return current.write(current.half(), size - current.half());
                })
                .then([&current] { return current.finish(); })
                .then([](kj::HttpClient::Response response) { return read_response(kj::mv(response)); })
                .attach(kj::mv(open));
        })
        .catch_([](kj::Exception&&) { return http_response(); });
}

bool is_completed(const http_response& response)
{
    return response.m_transport == http_transport::answered && response.m_status == ok &&
           response.m_body.find("completed") != std::string::npos;
}

} // namespace hawthornpin::soak
