// Compares the reference pages with the tables in the code.

#include "bench/capacity.h"
#include "config/published_files.h"
#include "core/verdict.h"
#include "dispatch/job_scheduler.h"
#include "main/process_settings.h"

#include <doctest/doctest.h>

#include <regex>

namespace hawthornpin {

namespace {

std::string read_page(const std::string& path)
{
    last_reason why;
    const auto content = read_file(std::string(SOURCE_FOLDER) + "/" + path, why);
    INFO(why.text());
    REQUIRE(content);
    return *content;
}

} // namespace

TEST_CASE("the settings pages contain the tables of the code")
{
    const std::string page = read_page("docs/operators/settings.md");
    CHECK(page.find(to_markdown(agent_settings_table())) != std::string::npos);
    CHECK(page.find(to_markdown(entry_settings_table())) != std::string::npos);
    const std::string published = read_page("docs/operators/published-files.md");
    CHECK(published.find(to_markdown(service_file_table())) != std::string::npos);
    CHECK(published.find(to_markdown(team_file_table())) != std::string::npos);
}

TEST_CASE("the counters page has a row for each reason")
{
    const std::string page = read_page("docs/operators/counters.md");
    for (std::size_t index = 1; index < reason_count; ++index) {
        const std::string name(to_text(static_cast<reason>(index)));
        CAPTURE(name);
        CHECK(page.find("\n| " + name + " |") != std::string::npos);
        CHECK(reason_from_text(name) == static_cast<reason>(index));
    }
}

TEST_CASE("every event on the operations page is in the code, and every refusal reason is on the page")
{
    const std::string page = read_page("docs/OPERATIONS.md");
    std::string sources;
    for (const char* file : {"job_home", "platform_agent", "platform_agent_home", "platform_agent_worker",
                             "platform_entry", "platform_entry_callers", "platform_entry_homes",
                             "platform_process", "loop_watch", "evacuation_watch"})
        sources += read_page(std::string("main/") + file + ".cpp");
    sources += read_page("platform/directory_follower.cpp");
    sources += read_page("platform/http_client.cpp");
    sources += read_page("http/server_connection.cpp");
    sources += read_page("http/input_guard.cpp");
    const std::size_t begin = page.find("| event |");
    const std::string events = page.substr(begin, page.find("**Refused", begin) - begin);
    const std::regex name("`([a-z]+_[a-z_]+|started|leaving|stopped)`");
    std::size_t found = 0;
    for (std::sregex_iterator match(events.begin(), events.end(), name), end; match != end; ++match) {
        const std::string event = (*match)[1];
        CAPTURE(event);
        // The table also names states and fields. Fields occur in these sources, but this state's name is
        // returned by to_text() in another file.
        const bool is_state = event == "worker_silent";
        CHECK((is_state || sources.find('"' + event + '"') != std::string::npos));
        ++found;
    }
    CHECK(found > 20);
    for (std::size_t index = 0; index < job_end_reason_count; ++index) {
        const std::string reason_name = to_text(static_cast<job_end_reason>(index));
        CAPTURE(reason_name);
        CHECK(page.find("\n| `" + reason_name + "` |") != std::string::npos);
    }
}

TEST_CASE("the capacity page has the tables computed from its slopes")
{
    last_reason why;
    const auto tables =
        bench::make_capacity_tables(std::string(SOURCE_FOLDER) + "/bench/results/slopes.ini", why);
    REQUIRE(tables);
    CHECK(read_page("docs/CAPACITY.md").find(*tables) != std::string::npos);
}

} // namespace hawthornpin
