#include "store.hh"

#include <cstdlib>

namespace review {

namespace {

std::string query_value(const std::string& query, const std::string& name)
{
    std::size_t begin = 0;
    while (begin < query.size()) {
        const std::size_t end = std::min(query.find('&', begin), query.size());
        const std::string item = query.substr(begin, end - begin);
        if (item.compare(0, name.size() + 1, name + "=") == 0)
            return item.substr(name.size() + 1);
        begin = end + 1;
    }
    return "";
}

std::string big_endian(std::uint64_t value, int bytes)
{
    std::string text;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
        text.push_back(static_cast<char>(value >> shift));
    return text;
}

std::string base64(const std::string& text)
{
    static const char* const letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t begin = 0; begin < text.size(); begin += 3) {
        std::uint32_t bits = 0;
        for (std::size_t index = 0; index < 3; ++index) {
            const std::size_t position = begin + index;
            bits = bits << 8 | (position < text.size() ? static_cast<unsigned char>(text[position]) : 0);
        }
        for (int index = 0; index < 4; ++index) {
            const bool is_padding = begin + static_cast<std::size_t>(index) > text.size();
            result.push_back(is_padding ? '=' : letters[bits >> (18 - 6 * index) & 63]);
        }
    }
    return result;
}

} // namespace

store::store(const std::string& address)
    : m_server(address,
               [this](const http_message& request, connection& from) { return handle(request, from); })
{
}

void store::append(const std::string& topic, const std::string& key, const std::string& value)
{
    const std::lock_guard lock(m_mutex);
    m_topics[topic].push_back({key, value});
}

void store::silence_open_connections()
{
    m_silent_before = now_ms();
}

bool store::is_silent(const connection& from) const
{
    return from.opened_at() <= m_silent_before;
}

std::string store::handle(const http_message& request, connection& from)
{
    const std::string response = is_silent(from) ? "" : answer(request);
    if (!is_silent(from))
        return response;
    from.keep_silent();
    return "";
}

std::string store::answer(const http_message& request)
{
    const std::string topic = query_value(request.m_query, "topic");
    if (request.m_path == "/hawthornpin/log-newest")
        return read_newest(topic);
    if (request.m_path == "/hawthornpin/log-read")
        return read(topic, static_cast<std::size_t>(std::atoll(query_value(request.m_query, "from").c_str())),
                    std::atoll(query_value(request.m_query, "wait_ms").c_str()));
    if (request.m_path != "/hawthornpin/log-append" || request.m_body.size() < 5)
        return format_response(404, "{}");
    const auto key_size = static_cast<unsigned char>(request.m_body[4]);
    append(topic, request.m_body.substr(5, key_size), request.m_body.substr(5 + key_size));
    const std::lock_guard lock(m_mutex);
    const std::size_t end = m_topics[topic].size();
    return format_response(200, "{\"offset\":" + std::to_string(end - 1) +
                                    ",\"end_offset\":" + std::to_string(end) + "}");
}

std::string store::read(const std::string& topic, std::size_t offset, long long wait_ms)
{
    const long long until = now_ms() + wait_ms;
    while (true) {
        {
            const std::lock_guard lock(m_mutex);
            const auto& records = m_topics[topic];
            if (records.size() > offset || now_ms() >= until) {
                std::string body = big_endian(records.size(), 8) + big_endian(0, 8);
                for (std::size_t index = offset; index < records.size(); ++index) {
                    const auto& [key, value] = records[index];
                    body += big_endian(1 + key.size() + value.size(), 4);
                    body += static_cast<char>(key.size()) + key + value;
                }
                return format_response(200, body);
            }
        }
        sleep_ms(4);
    }
}

std::string store::read_newest(const std::string& topic)
{
    const std::lock_guard lock(m_mutex);
    const auto& records = m_topics[topic];
    std::map<std::string, std::size_t> newest;
    for (std::size_t index = 0; index < records.size(); ++index)
        newest[records[index].m_key] = index;
    std::string items;
    for (const auto& [key, index] : newest) {
        items += std::string(items.empty() ? "" : ",") + "{\"key\":" + quote(key) +
                 ",\"value\":" + quote(base64(records[index].m_value)) +
                 ",\"offset\":" + std::to_string(index) + "}";
    }
    return format_response(200, "{\"items\":[" + items + "],\"has_more\":false,\"end_offset\":" +
                                    std::to_string(records.size()) + "}");
}

} // namespace review
