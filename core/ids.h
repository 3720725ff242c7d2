// Identifiers that processes exchange. Each kind of identifier is a type of its own.

#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornpin {

inline constexpr std::size_t max_name_length = 63;

// Random number generated when a process starts; a restarted process never has the same one.
enum class incarnation_id : std::uint64_t {};

// The 128-bit random part of a ticket; it alone identifies a submission.
struct ticket_id {
    std::uint64_t m_high = 0;
    std::uint64_t m_low = 0;

    friend auto operator<=>(const ticket_id&, const ticket_id&) = default;
};

// Id of an agent and incarnation of its process.
struct agent_identity {
    std::string m_id;
    incarnation_id m_incarnation{};

    friend auto operator<=>(const agent_identity&, const agent_identity&) = default;
};

// Identifies one task of one submission. It may be started at most once.
struct grant_id {
    ticket_id m_ticket;
    std::uint32_t m_task = 0;

    friend auto operator<=>(const grant_id&, const grant_id&) = default;
};

// Lower-case letters, digits and inner hyphens, at most max_name_length characters.
bool is_valid_name(std::string_view text);

// Thirty-two hexadecimal digits.
std::string to_text(const ticket_id& ticket);

// The first eight digits, for logs.
std::string short_text(const ticket_id& ticket);

// "<ticket>-<task>", as used in target URLs.
std::string to_text(const grant_id& grant);

// Inverse of to_text(); empty if the text has another form.
std::optional<grant_id> grant_id_from_text(const std::string& text);
std::optional<ticket_id> ticket_id_from_text(std::string_view text);

} // namespace hawthornpin

template <>
struct std::hash<hawthornpin::ticket_id> {
    std::size_t operator()(const hawthornpin::ticket_id& ticket) const noexcept { return ticket.m_low; }
};

template <>
struct std::hash<hawthornpin::grant_id> {
    std::size_t operator()(const hawthornpin::grant_id& grant) const noexcept
    {
        constexpr std::uint64_t odd_multiplier = 0x9e3779b97f4a7c15ULL;
        return grant.m_ticket.m_low ^ (grant.m_task * odd_multiplier);
    }
};
