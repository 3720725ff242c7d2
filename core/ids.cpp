// Validation and text forms of identifiers.

#include "core/ids.h"

#include "core/numbers.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace hawthornpin {

namespace {

bool is_name_character(char character)
{
    const bool is_letter = character >= 'a' && character <= 'z';
    const bool is_digit = character >= '0' && character <= '9';
    return is_letter || is_digit || character == '-';
}

} // namespace

bool is_valid_name(std::string_view text)
{
    if (text.empty() || text.size() > max_name_length)
        return false;
    if (text.front() == '-' || text.back() == '-')
        return false;
    return std::all_of(text.begin(), text.end(), is_name_character);
}

std::string to_text(const ticket_id& ticket)
{
    std::array<char, 33> digits{};
    std::snprintf(digits.data(), digits.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(ticket.m_high),
                  static_cast<unsigned long long>(ticket.m_low));
    return digits.data();
}

std::optional<ticket_id> ticket_id_from_text(std::string_view text)
{
    constexpr std::size_t word_digits = 16;
    if (text.size() != 2 * word_digits)
        return std::nullopt;
    const auto high = parse_number<std::uint64_t>(text.substr(0, word_digits), hexadecimal);
    const auto low = parse_number<std::uint64_t>(text.substr(word_digits), hexadecimal);
    if (!high || !low)
        return std::nullopt;
    return ticket_id{*high, *low};
}

std::optional<grant_id> grant_id_from_text(const std::string& text)
{
    const std::size_t hyphen = text.find('-');
    if (hyphen == std::string::npos)
        return std::nullopt;
    const auto ticket = ticket_id_from_text(std::string_view(text).substr(0, hyphen));
    const auto task = parse_number<std::uint32_t>(std::string_view(text).substr(hyphen + 1), decimal);
    if (!ticket || !task)
        return std::nullopt;
    return grant_id{*ticket, *task};
}

std::string short_text(const ticket_id& ticket)
{
    constexpr std::size_t short_length = 8;
    return to_text(ticket).substr(0, short_length);
}

std::string to_text(const grant_id& grant)
{
    return to_text(grant.m_ticket) + "-" + std::to_string(grant.m_task);
}

} // namespace hawthornpin
