// Reading of the platform's settings file.

#include "platform/node_settings.h"

#include <doctest/doctest.h>

#include <glib/gstdio.h>

#include <cstdio>

namespace hawthornpin {

namespace {

constexpr const char* good_settings = R"(
node = "side-1"
ip = "10.1.0.14"
zone = "z"
region = "r"
port_range = [7720,7735]
seeds = ["10.1.0.13:8166","10.2.0.30:8166"]
app = "10.1.0.14:8165"
service = "svc"
a_new_field = { x = 1 }
[listen_addrs]
control = "10.1.0.14:8166"
[platform]
address = "10.200.1.7:8169"
[bounds]
max_hold_ms = 1000
stop_ms = 50.0
grace_s = 6
retransmit_ms = 1300
config_apply_ms = 2000
)";

// A file with the given text that is removed on destruction.
class temporary_file {
public:
    explicit temporary_file(const std::string& text)
    {
        const int descriptor = g_file_open_tmp("hawthornpin-XXXXXX", &m_path, nullptr);
        REQUIRE(descriptor >= 0);
        g_close(descriptor, nullptr);
        g_file_set_contents(m_path, text.data(), static_cast<gssize>(text.size()), nullptr);
    }
    ~temporary_file()
    {
        std::remove(m_path);
        g_free(m_path);
    }
    temporary_file(const temporary_file&) = delete;
    temporary_file& operator=(const temporary_file&) = delete;

    std::string path() const { return m_path; }

private:
    char* m_path = nullptr;
};

} // namespace

TEST_CASE("the settings are read; unknown fields are ignored")
{
    const temporary_file file(good_settings);
    last_reason why;
    const auto settings = read_node_settings(file.path(), why);
    INFO(why.text());
    REQUIRE(settings);
    CHECK(settings->m_peer_address == "10.1.0.14:7720");
    CHECK(settings->m_seed_addresses == std::vector<std::string>{"10.1.0.13:7720", "10.2.0.30:7720"});
    CHECK(settings->m_worker_address == "10.1.0.14:8165");
    CHECK(settings->m_shutdown_grace == milliseconds(6'000));
    CHECK(settings->m_max_stop_time == milliseconds(50));
    CHECK(settings->m_caller_address.empty());
    CHECK_FALSE(settings->m_memory_mb);
    CHECK_FALSE(settings->m_max_descriptors);
}

TEST_CASE("limits of the process are optional, but a wrong one is named")
{
    last_reason why;
    const temporary_file good(std::string(good_settings) + "[limits]\nmemory_mb = 120\nmax_fds = 3075\n");
    const auto settings = read_node_settings(good.path(), why);
    INFO(why.text());
    REQUIRE(settings);
    CHECK(settings->m_memory_mb == 120);
    CHECK(settings->m_max_descriptors == 3'075);
    for (const char* wrong : {"memory_mb = \"120\"", "memory_mb = 0", "max_fds = -1"}) {
        CAPTURE(wrong);
        const temporary_file file(std::string(good_settings) + "[limits]\n" + wrong + "\n");
        CHECK_FALSE(read_node_settings(file.path(), why));
        CHECK(why.text().find("limits.m") != std::string::npos);
    }
}

TEST_CASE("a missing, wrong-typed or unreadable setting is named")
{
    struct fault_case {
        const char* m_remove;
        const char* m_insert;
        const char* m_named;
    };
    constexpr fault_case cases[] = {
        {"node = \"side-1\"", "", "node"},
        {"ip = \"10.1.0.14\"", "ip = 7", "ip"},
        {"port_range = [7720,7735]", "port_range = []", "port_range"},
        {"grace_s = 6", "grace_s = \"6\"", "bounds.grace_s"},
        {"address = \"10.200.1.7:8169\"", "", "platform.address"},
        {"zone = \"z\"", "zone = ", "zone"},
    };
    for (const fault_case& row : cases) {
        CAPTURE(row.m_remove);
        std::string text = good_settings;
        const std::string removed = row.m_remove;
        text.replace(text.find(removed), removed.size(), row.m_insert);
        const temporary_file file(text);
        last_reason why;
        CHECK_FALSE(read_node_settings(file.path(), why));
        CHECK(why.text().find(file.path()) != std::string::npos);
        if (std::string(row.m_insert) != "zone = ")
            CHECK(why.text().find(row.m_named) != std::string::npos);
    }
    last_reason why;
    CHECK_FALSE(read_node_settings("no such file", why));
}

// Guards against evacuation bounds that are ignored because of a wrong type, or assumed where none are set.
TEST_CASE("the bounds of evacuations are optional, and named if they have the wrong type")
{
    last_reason why;
    const temporary_file without(good_settings);
    const auto none = read_node_settings(without.path(), why);
    REQUIRE(none);
    CHECK_FALSE(none->m_evacuate_within);
    const temporary_file with(std::string(good_settings) + "evacuate_ms = 5000\n");
    const auto settings = read_node_settings(with.path(), why);
    REQUIRE(settings);
    CHECK(settings->m_evacuate_within == milliseconds(5'000));
    CHECK(settings->m_max_evacuation_stretch == milliseconds(6'000));
    const temporary_file both(std::string(good_settings) + "evacuate_ms = 500.0\nmax_stretch_ms = 700\n");
    CHECK(read_node_settings(both.path(), why)->m_max_evacuation_stretch == milliseconds(700));
    const temporary_file wrong(std::string(good_settings) + "evacuate_ms = \"5000\"\n");
    CHECK_FALSE(read_node_settings(wrong.path(), why));
    CHECK(why.text().find("bounds.evacuate_ms") != std::string::npos);
}

} // namespace hawthornpin
