// Tickets: signed identifiers of submissions. A ticket names the only agent incarnation that may start its
// submission.

#pragma once

#include "core/ids.h"
#include "core/instant.h"
#include "core/verdict.h"

#include <optional>
#include <string>
#include <vector>

namespace hawthornpin {

// Longest lifetime of a ticket. A ticket that expires later was issued with a skewed clock.
inline constexpr milliseconds max_ticket_lifetime{10 * 60 * 1000};
// Tolerated difference between the clocks of an entry and a home.
inline constexpr milliseconds max_clock_skew{30 * 1000};

// Contents of a ticket. Compares by value.
struct ticket {
    std::string m_service;
    agent_identity m_home;
    ticket_id m_id;
    instant m_expiry;
    // RPC address of the home when the ticket was issued, so that an entry that does not know the home can
    // ask it. The process that answers there checks the incarnation, so a stale address costs a message but
    // breaks no guarantee.
    std::string m_home_address = {};

    friend auto operator<=>(const ticket&, const ticket&) = default;
};

// Keys for signing: the current one signs, both verify, so that keys can be rotated.
struct ticket_keys {
    std::string m_current;
    std::string m_previous;
};

// The signed base64url form.
std::string encode_ticket(const ticket& value, const ticket_keys& keys);

// Checks form and signature. On failure `why` is ticket_malformed or ticket_forged.
std::optional<ticket> decode_ticket(const std::string& text, const ticket_keys& keys, reason& why);

// Lowercase hexadecimal SHA-256 of the bytes.
std::string sha256_hex(std::string_view bytes);

// Lowercase hexadecimal HMAC-SHA-256.
std::string hmac_hex(std::string_view key, std::string_view bytes);

// Compares without leaking the position of the first difference.
bool is_equal_constant_time(std::string_view left, std::string_view right);

} // namespace hawthornpin
