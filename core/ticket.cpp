// Ticket text form: base64url of "v1|service|agent|incarnation|id|expiry|address|mac".

#include "core/ticket.h"

#include "core/numbers.h"

#include <glib.h>

#include <algorithm>
#include <memory>

namespace hawthornpin {

namespace {

constexpr std::size_t max_ticket_text_length = 512;
constexpr std::size_t field_count = 8;
constexpr char separator = '|';

std::string to_base64url(const std::string& bytes)
{
    std::unique_ptr<char, decltype(&g_free)> encoded(
        g_base64_encode(reinterpret_cast<const guchar*>(bytes.data()), bytes.size()), g_free);
    std::string text = encoded.get();
    std::replace(text.begin(), text.end(), '+', '-');
    std::replace(text.begin(), text.end(), '/', '_');
    text.erase(std::find(text.begin(), text.end(), '='), text.end());
    return text;
}

std::string from_base64url(std::string text)
{
    constexpr std::size_t base64_group = 4;
    std::replace(text.begin(), text.end(), '-', '+');
    std::replace(text.begin(), text.end(), '_', '/');
    while (text.size() % base64_group != 0)
        text.push_back('=');
    gsize length = 0;
    std::unique_ptr<guchar, decltype(&g_free)> decoded(g_base64_decode(text.c_str(), &length), g_free);
    return {reinterpret_cast<const char*>(decoded.get()), length};
}

std::vector<std::string_view> split_fields(std::string_view text)
{
    std::vector<std::string_view> fields;
    while (true) {
        const std::size_t end = text.find(separator);
        fields.push_back(text.substr(0, end));
        if (end == std::string_view::npos)
            return fields;
        text.remove_prefix(end + 1);
    }
}

std::string format_signed_part(const ticket& value)
{
    std::string text = "v1";
    for (const std::string& field :
         {value.m_service, value.m_home.m_id,
          std::to_string(static_cast<std::uint64_t>(value.m_home.m_incarnation)), to_text(value.m_id),
          std::to_string(to_unix_ms(value.m_expiry)), value.m_home_address}) {
        text += separator;
        text += field;
    }
    return text;
}

bool is_signature_valid(std::string_view content, std::string_view mac, const ticket_keys& keys)
{
    if (is_equal_constant_time(hmac_hex(keys.m_current, content), mac))
        return true;
    return !keys.m_previous.empty() && is_equal_constant_time(hmac_hex(keys.m_previous, content), mac);
}

std::optional<ticket> parse_fields(const std::vector<std::string_view>& fields)
{
    const auto incarnation = parse_number<std::uint64_t>(fields[3], decimal);
    const auto expiry = parse_number<long long>(fields[5], decimal);
    const auto id = ticket_id_from_text(fields[4]);
    if (!id || !incarnation || !expiry || !is_valid_name(fields[1]) || !is_valid_name(fields[2]))
        return std::nullopt;
    return ticket{std::string(fields[1]),
                  {std::string(fields[2]), incarnation_id{*incarnation}},
                  *id,
                  from_unix_ms(*expiry),
                  std::string(fields[6])};
}

} // namespace

std::string encode_ticket(const ticket& value, const ticket_keys& keys)
{
    const std::string content = format_signed_part(value);
    return to_base64url(content + separator + hmac_hex(keys.m_current, content));
}

std::optional<ticket> decode_ticket(const std::string& text, const ticket_keys& keys, reason& why)
{
    why = reason::ticket_malformed;
    if (text.empty() || text.size() > max_ticket_text_length)
        return std::nullopt;
    const std::string decoded = from_base64url(text);
    const auto fields = split_fields(decoded);
    if (fields.size() != field_count || fields[0] != "v1")
        return std::nullopt;
    const std::string_view mac = fields.back();
    const std::string_view content = std::string_view(decoded).substr(0, decoded.size() - mac.size() - 1);
    if (!is_signature_valid(content, mac, keys)) {
        why = reason::ticket_forged;
        return std::nullopt;
    }
    return parse_fields(fields);
}

std::string sha256_hex(std::string_view bytes)
{
    std::unique_ptr<char, decltype(&g_free)> digest(
        g_compute_checksum_for_data(G_CHECKSUM_SHA256, reinterpret_cast<const guchar*>(bytes.data()),
                                    bytes.size()),
        g_free);
    return digest.get();
}

std::string hmac_hex(std::string_view key, std::string_view bytes)
{
    std::unique_ptr<char, decltype(&g_free)> digest(
        g_compute_hmac_for_data(G_CHECKSUM_SHA256, reinterpret_cast<const guchar*>(key.data()), key.size(),
                                reinterpret_cast<const guchar*>(bytes.data()), bytes.size()),
        g_free);
    return digest.get();
}

bool is_equal_constant_time(std::string_view left, std::string_view right)
{
    if (left.size() != right.size())
        return false;
    unsigned difference = 0;
    for (std::size_t index = 0; index < left.size(); ++index)
        difference |= static_cast<unsigned>(left[index] ^ right[index]);
    return difference == 0;
}

} // namespace hawthornpin
