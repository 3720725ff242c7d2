// Tests that settings are checked strictly: each error names the file, the line or key, and the reason.

#include "main/process_settings.h"

#include <doctest/doctest.h>

namespace hawthornpin {

namespace {

const std::string valid_settings =
    "[agent]\nid=agent-1\nservice=circles\nrpc_address=127.0.0.1:1\noperator_address=127.0.0.1:2\n"
    "target_address=127.0.0.1:3\n[place]\nregion=r\nzone=z\n[entries]\nseeds=127.0.0.1:4\n"
    "[keys]\ncluster_key=k\n";

// Text that is appended to valid settings or replaces a part of them, and text that the error must contain.
struct settings_case {
    const char* m_replaced;
    const char* m_replacement;
    const char* m_message;
};

constexpr settings_case settings_cases[] = {
    {"", "[unknown]\nkey=1\n", "is an unknown section"},
    {"service=circles", "servise=circles", "test.ini:3: [agent] servise is an unknown key"},
    {"service=circles\n", "", "[agent] service is missing"},
    {"id=agent-1", "id=Agent 1", "test.ini:2: [agent] id must be lower-case"},
    {"127.0.0.1:1", "localhost:1", "must be an IP address and port number"},
    {"127.0.0.1:1", "127.0.0.1:70000", "must be an IP address and port number"},
    {"", "[timing]\nheartbeat=1\n", "must be a duration"},
    {"", "[timing]\nheartbeat=1fortnight\n", "must be a duration"},
    {"", "[timing]\nheartbeat=1us\n", "is out of range"},
    {"", "[limits]\nledger_bytes=10\n", "must be a size"},
    {"", "[limits]\nconnections=65\n", "is out of range"},
    {"", "[limits]\nconnections=many\n", "must be a whole number"},
    {"", "[placement]\npolicy=best\n", "must be one of random round_robin"},
    {"", "[placement]\nquarantine=maybe\n", "must be yes or no"},
    {"id=agent-1", "id=agent-1\nid=agent-2", "is given twice"},
    {"[agent]", "agent", "test.ini"},
};

} // namespace

TEST_CASE("valid settings are read with their defaults and units")
{
    last_reason why;
    const auto values = read_settings(valid_settings + "[timing]\nheartbeat=250ms\nlease=5s\n", "test.ini",
                                      agent_settings_table(), why);
    REQUIRE(values);
    CHECK(values->duration("timing", "heartbeat") == milliseconds(250));
    CHECK(values->duration("timing", "lease") == milliseconds(5'000));
    CHECK(values->integer("limits", "ledger_bytes") == 48 * 1024 * 1024);
    CHECK(values->integer("limits", "connections") == 64);
}

TEST_CASE("errors in settings are reported with the place in the file and the reason")
{
    for (const settings_case& one : settings_cases) {
        std::string text = valid_settings;
        const std::string replaced = one.m_replaced;
        if (replaced.empty())
            text += one.m_replacement;
        else
            text.replace(text.find(replaced), replaced.size(), one.m_replacement);
        last_reason why;
        CAPTURE(std::string(one.m_replacement));
        CHECK_FALSE(read_settings(text, "test.ini", agent_settings_table(), why));
        CAPTURE(why.text());
        CHECK(why.text().find(one.m_message) != std::string::npos);
    }
}

} // namespace hawthornpin
