// Tests signing, key rotation and forgery of tickets.

#include "core/random.h"
#include "core/ticket.h"

#include <doctest/doctest.h>

namespace hawthornpin {

namespace {

const ticket sample{
    "circles", {"agent-1", incarnation_id{42}}, {1, 2}, from_unix_ms(1'000'000), "127.0.0.1:1"};

} // namespace

TEST_CASE("a ticket is decoded from its text form under the current and the previous key")
{
    const std::string text = encode_ticket(sample, {"old", ""});
    reason why = reason::none;
    CHECK(decode_ticket(text, {"old", ""}, why) == sample);
    CHECK(decode_ticket(text, {"new", "old"}, why) == sample);
    CHECK_FALSE(decode_ticket(text, {"new", ""}, why));
    CHECK(why == reason::ticket_forged);
}

TEST_CASE("no changed character of a ticket yields a different ticket")
{
    const std::string text = encode_ticket(sample, {"key", ""});
    for (std::size_t index = 0; index < text.size(); ++index) {
        std::string changed = text;
        changed[index] = changed[index] == 'A' ? 'B' : 'A';
        reason why = reason::none;
        const auto decoded = decode_ticket(changed, {"key", ""}, why);
        CAPTURE(index);
        // The unused low bits of the last character may differ without a change of meaning.
        CHECK((!decoded || *decoded == sample));
    }
    reason why = reason::none;
    CHECK_FALSE(decode_ticket("", {"key", ""}, why));
    CHECK_FALSE(decode_ticket(std::string(600, 'A'), {"key", ""}, why));
    CHECK(why == reason::ticket_malformed);
}

TEST_CASE("identifiers are unchanged after conversion to text and back")
{
    const grant_id grant{{0x0123456789abcdefULL, 7}, 769};
    CHECK(grant_id_from_text(to_text(grant)) == grant);
    for (const char* wrong :
         {"", "-", "12-1", "0123456789abcdef0000000000000007", "0123456789abcdef0000000000000007-x"})
        CHECK_FALSE(grant_id_from_text(wrong));
}

} // namespace hawthornpin
