// Strict parsing of whole numbers.

#pragma once

#include <charconv>
#include <optional>
#include <string_view>

namespace hawthornpin {

inline constexpr int decimal = 10;
inline constexpr int hexadecimal = 16;

// Empty unless the whole text is one number that fits the type.
template <typename Number>
std::optional<Number> parse_number(std::string_view text, int base = decimal)
{
    Number value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

} // namespace hawthornpin
