// Handles the calls that the programs make: log-append, log-read, log-newest.

#include "tests/soak/soak_store.h"

#include "core/json.h"
#include "platform/message_decoding.h"

#include <memory>

namespace hawthornpin::soak {

namespace {

constexpr unsigned read_poll_ms = 10;
constexpr std::size_t length_bytes = 4;
constexpr std::size_t offset_bytes = 8;
constexpr unsigned byte_bits = 8;

api_response with_status(unsigned status)
{
    api_response response;
    response.m_status = status;
    return response;
}

std::string big_endian(std::uint64_t value, std::size_t bytes)
{
    std::string text;
    for (std::size_t byte = bytes; byte > 0; --byte)
        text.push_back(static_cast<char>(value >> (byte_bits * (byte - 1))));
    return text;
}

std::string to_base64(const std::string& text)
{
    const std::unique_ptr<char, void (*)(gpointer)> encoded(
        g_base64_encode(reinterpret_cast<const guchar*>(text.data()), text.size()), g_free);
    return encoded.get();
}

} // namespace

soak_store::soak_store() : m_server([this](const api_request& request) { return handle(request); }, {}) {}

void soak_store::append(const std::string& topic, const std::string& key, const std::string& value)
{
    m_topics[topic].push_back({key, value});
}

kj::Promise<api_response> soak_store::handle(const api_request& request)
{
    switch (m_mode) {
    case store_mode::up:
        return answer(request);
    case store_mode::refusing:
        return with_status(503);
    case store_mode::unresponsive:
        return kj::NEVER_DONE;
    case store_mode::losing_answers:
        break;
    }
    return answer(request).then([](api_response response) {
        response.m_is_connection_dropped = true;
        return response;
    });
}

kj::Promise<api_response> soak_store::answer(const api_request& request)
{
    const std::string topic = query_value(request.m_query, "topic");
    if (request.m_path == "/hawthornpin/log-append")
        return accept(topic, request.m_body);
    if (request.m_path == "/hawthornpin/log-newest")
        return read_newest(topic);
    if (request.m_path != "/hawthornpin/log-read")
        return with_status(404);
    const auto from = std::strtoull(query_value(request.m_query, "from").c_str(), nullptr, 10);
    const auto wait_ms = std::strtoul(query_value(request.m_query, "wait_ms").c_str(), nullptr, 10);
    return read(topic, from, static_cast<unsigned>(wait_ms));
}

kj::Promise<api_response> soak_store::read(const std::string& topic, std::size_t from, unsigned wait_ms)
{
    const auto& records = m_topics[topic];
    if (records.size() <= from && wait_ms > read_poll_ms) {
        return after_delay(read_poll_ms).then([this, topic, from, wait_ms] {
            return read(topic, from, wait_ms - read_poll_ms);
        });
    }
    api_response response;
    response.m_body = big_endian(records.size(), offset_bytes) + big_endian(0, offset_bytes);
    for (std::size_t offset = from; offset < records.size(); ++offset)
        response.m_body += encode_keyed_record(records[offset].m_key, records[offset].m_value);
    return response;
}

api_response soak_store::read_newest(const std::string& topic) const
{
    std::map<std::string, std::size_t> newest;
    const auto found = m_topics.find(topic);
    const auto records = found == m_topics.end() ? std::vector<stored_record>() : found->second;
    for (std::size_t offset = 0; offset < records.size(); ++offset)
        newest[records[offset].m_key] = offset;
    json_writer body;
    body.begin_object().key("items").begin_array();
    for (const auto& [key, offset] : newest) {
        if (records[offset].m_value.empty())
            continue;
        body.begin_object().key("key").text(key);
        body.key("value").text(to_base64(records[offset].m_value));
        body.key("offset").integer(static_cast<std::int64_t>(offset)).end_object();
    }
    body.end_array().key("has_more").flag(false);
    body.key("end_offset").integer(static_cast<std::int64_t>(records.size())).end_object();
    api_response response;
    response.m_body = body.to_string();
    return response;
}

api_response soak_store::accept(const std::string& topic, const std::string& body)
{
    if (body.size() <= length_bytes)
        return with_status(400);
    const auto key_size = static_cast<unsigned char>(body[length_bytes]);
    append(topic, body.substr(length_bytes + 1, key_size), body.substr(length_bytes + 1 + key_size));
    api_response response;
    response.m_body = "{}";
    return response;
}

} // namespace hawthornpin::soak
