// Parsing of IP addresses by GLib and of ports.

#include "core/network_address.h"

#include "core/numbers.h"

#include <gio/gio.h>

#include <cstdint>
#include <optional>

namespace hawthornpin {

namespace {

std::optional<std::uint16_t> parse_port(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || g_hostname_is_ip_address(text.substr(0, colon).c_str()) == FALSE)
        return std::nullopt;
    return parse_number<std::uint16_t>(std::string_view(text).substr(colon + 1));
}

} // namespace

bool is_network_address(const std::string& text)
{
    return parse_port(text).has_value();
}

bool is_peer_address(const std::string& text)
{
    return parse_port(text).value_or(0) != 0;
}

} // namespace hawthornpin
