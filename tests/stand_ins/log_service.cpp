// Streams, retention and faults of the log stand-in.

#include "tests/stand_ins/log_service.h"

#include "core/json.h"

#include <algorithm>

namespace hawthornpin::stand_ins {

namespace {

api_response make_dropped_response()
{
    api_response response;
    response.m_is_connection_dropped = true;
    return response;
}

api_response make_response(unsigned status)
{
    api_response response;
    response.m_status = status;
    return response;
}

std::uint64_t read_number(const std::string& query, const char* key)
{
    return std::strtoull(query_value(query, key).c_str(), nullptr, 10);
}

} // namespace

kj::Promise<api_response> log_service::handle(const api_request& request)
{
    if (request.m_path == "/control")
        return control(request.m_body);
    const auto path = split_path(request.m_path);
    if (path.size() != 3 || path[0] != "streams" || path[2] != "records")
        return make_response(404);
    if (m_mode == mode::down)
        return make_dropped_response();
    stream& named = m_streams[path[1]];
    kj::Promise<api_response> answer = nullptr;
    if (request.m_method == "POST")
        answer = append(named, request.m_body);
    else
        answer = read(named, request.m_query);
    if (m_delay_ms == 0)
        return answer;
    return after_delay(m_delay_ms).then([answer = kj::mv(answer)]() mutable { return kj::mv(answer); });
}

api_response log_service::control(const std::string& body)
{
    reason why = reason::none;
    const auto document = json_document::parse(body, why);
    if (!document)
        return make_response(400);
    const json_object root = document->root();
    if (const auto requested_mode = root.text("mode"))
        m_mode = *requested_mode == "down"           ? mode::down
                 : *requested_mode == "lose_answers" ? mode::lose_answers
                                                     : mode::up;
    if (const auto delay = root.integer("delay_ms"))
        m_delay_ms = static_cast<unsigned>(*delay);
    if (const auto keep = root.integer("keep"))
        m_max_records = static_cast<std::size_t>(*keep);
    const auto truncate = static_cast<std::size_t>(root.integer("truncate").value_or(0));
    for (auto& [name, named] : m_streams) {
        for (std::size_t count = 0; count < truncate && !named.m_records.empty(); ++count)
            named.m_records.pop_back();
    }
    return make_response(200);
}

api_response log_service::append(stream& to, const std::string& body)
{
    reason why = reason::none;
    const auto document = json_document::parse(body, why);
    const auto text = document ? document->root().text("body") : std::nullopt;
    if (!text)
        return make_response(400);
    to.m_records.push_back(*text);
    const std::uint64_t offset = to.m_first + to.m_records.size() - 1;
    while (to.m_records.size() > m_max_records) {
        to.m_records.pop_front();
        ++to.m_first;
    }
    for (auto& reader : to.m_readers)
        reader->fulfill();
    to.m_readers.clear();
    if (m_mode == mode::lose_answers)
        return make_dropped_response();
    json_writer writer;
    writer.begin_object().key("offset").integer(static_cast<std::int64_t>(offset)).end_object();
    api_response response;
    response.m_body = writer.to_string();
    return response;
}

kj::Promise<api_response> log_service::read(stream& from, const std::string& query)
{
    const std::uint64_t begin = read_number(query, "from");
    const auto max_records = static_cast<std::size_t>(read_number(query, "max"));
    const auto wait_ms = static_cast<unsigned>(read_number(query, "wait"));
    const bool has_records = begin < from.m_first + from.m_records.size();
    if (has_records || wait_ms == 0)
        return page(from, begin, max_records);
    auto pair = kj::newPromiseAndFulfiller<void>();
    from.m_readers.push_back(kj::mv(pair.fulfiller));
    return pair.promise.exclusiveJoin(after_delay(wait_ms)).then([this, &from, begin, max_records] {
        return m_mode == mode::down ? make_dropped_response() : page(from, begin, max_records);
    });
}

api_response log_service::page(const stream& from, std::uint64_t begin, std::size_t max_records)
{
    const std::uint64_t next = from.m_first + from.m_records.size();
    json_writer writer;
    writer.begin_object().key("first").integer(static_cast<std::int64_t>(from.m_first));
    writer.key("next").integer(static_cast<std::int64_t>(next)).key("records").begin_array();
    std::uint64_t offset = std::max(begin, from.m_first);
    for (std::size_t count = 0; count < max_records && offset < next; ++count, ++offset) {
        writer.begin_object().key("offset").integer(static_cast<std::int64_t>(offset));
        writer.key("body").text(from.m_records[offset - from.m_first]).end_object();
    }
    writer.end_array().end_object();
    api_response response;
    response.m_body = writer.to_string();
    return response;
}

} // namespace hawthornpin::stand_ins
