// Decoding of the platform's message bodies: what is read, what is skipped, and what makes a body unreadable.

#include "platform/call_paths.h"
#include "platform/message_decoding.h"

#include "config/queue_index.h"

#include <doctest/doctest.h>

namespace hawthornpin {

namespace {

struct decoding_case {
    const char* m_body;
    bool m_is_readable;
};

std::string big_endian(std::uint64_t value, std::size_t bytes)
{
    std::string text;
    for (std::size_t byte = bytes; byte > 0; --byte)
        text.push_back(static_cast<char>(value >> (8 * (byte - 1))));
    return text;
}

} // namespace

TEST_CASE("a worker's report is rejected if a required field is missing or invalid")
{
    constexpr decoding_case cases[] = {
        {R"({"service":"s","address":"10.0.0.1:1","state":"ready","capacity":{"cpu":1},"seq":1})", true},
        {R"({"service":"s","address":"10.0.0.1:1","state":"draining","capacity":{},"seq":1,"new":[{}]})",
         true},
        {R"({"service":"s","address":"10.0.0.1:1","state":"sleeping","capacity":{},"seq":1})", false},
        {R"({"service":7,"address":"10.0.0.1:1","state":"ready","capacity":{},"seq":1})", false},
        {R"({"service":"s","address":"10.0.0.1:1","state":"ready","capacity":[],"seq":1})", false},
        {R"({"service":"s","address":"10.0.0.1:1","state":"ready","capacity":{},"seq":"1"})", false},
        {R"({"service":"s","address":"10.0.0.1:1","state":"ready","capacity":{}})", false},
        {R"({"service":"s","address":"10.0.0.1:99999","state":"ready","capacity":{},"seq":1})", false},
        {R"({"service":"s","address":"10.0.0.1:-1","state":"ready","capacity":{},"seq":1})", false},
        {R"({"service":"s","address":"10.0.0.1:4294967376","state":"ready","capacity":{},"seq":1})", false},
        {R"({"service":"s","address":"","state":"ready","capacity":{},"seq":1})", false},
        {R"({"service":"s","address":"10.0.0.1:1","state":"ready","capacity":{"cpu":-1},"seq":1})", false},
        {R"({"service":"s","address":"10.0.0.1:1","state":"ready","capacity":{"cpu":9000000000000000000},"seq":1})",
         false},
        {R"({"service":"s","address":"10.0.0.1:1","state":"ready","capacity":{},"seq":9223372036854775807})",
         false},
        {R"({"service":"s","address":"10.0.0.1:1","state":"ready","capacity":{},"seq":1,"born":"5"})", false},
        {R"({"service":"s","address":"10.0.0.1:1","state":"ready","capacity":{},"seq":1,"born":-5})", false},
        {R"({"service":"s","address":"10.0.0.1:1","state":"ready","capacity":{},"seq":1,
             "x":[[[[[[[[[[]]]]]]]]]]})",
         false},
        {R"({"service":"s","address":"10.0.0.1:1","state":"ready","capacity":{},"seq":1)", false},
        {"\xff\xfe", false},
        {"[]", false},
        {"", false},
    };
    for (const decoding_case& row : cases) {
        CAPTURE(row.m_body);
        last_reason why;
        CHECK(decode_worker_report("i-1", row.m_body, why).has_value() == row.m_is_readable);
        CHECK(why.text().empty() == row.m_is_readable);
    }
}

TEST_CASE("a worker's report keeps its fields")
{
    last_reason why;
    const auto report = decode_worker_report(
        "i-1",
        R"({"service":"s","address":"10.0.0.1:1","zone":"z","state":"draining","remaining_ms":900,"born":5,
            "capacity":{"cpu":16000,"mem_mb":64,"gpu":2},"labels":["a","r1"],"seq":4})",
        why);
    REQUIRE(report);
    CHECK(report->m_identity == worker_incarnation{"i-1", 5});
    CHECK(report->m_capacity == resources{16'000, 64, 2});
    CHECK(report->m_labels == std::vector<std::string>{"a", "r1"});
    CHECK(report->m_is_draining);
    CHECK(report->m_remaining == milliseconds(900));
}

TEST_CASE("omitted fields of a job are read as zero")
{
    last_reason why;
    const auto job = decode_work_request("5c0e7a21d94b36f8",
                                         R"({"spec":"x","best_effort":true,"phases":[{"count":2,"cpu":500},
                                             {"count":1,"depends_on":[0],"anti_affinity":1,"gang":true}]})",
                                         why);
    REQUIRE(job);
    CHECK(job->m_is_best_effort);
    CHECK(job->m_steps.at(0).m_per_task == resources{500, 0, 0});
    CHECK(job->m_steps.at(1).m_depends_on == std::vector<std::uint32_t>{0});
    CHECK(job->m_steps.at(1).m_is_gang);
}

TEST_CASE(
    "a job without tasks, with a negative resource or with a step that depends on a later one is rejected")
{
    constexpr const char* cases[] = {
        R"({"spec":"x"})",
        R"({"spec":"x","phases":[]})",
        R"({"spec":"x","phases":[{"cpu":500}]})",
        R"({"spec":"x","phases":[{"count":1,"depends_on":[0]}]})",
        R"({"spec":"x","phases":[{"count":1,"cpu":-5}]})",
        R"({"spec":"x","phases":[{"count":-1}]})",
        R"({"spec":)",
    };
    for (const char* body : cases) {
        CAPTURE(body);
        last_reason why;
        CHECK_FALSE(decode_work_request("id", body, why));
        CHECK_FALSE(why.text().empty());
    }
}

TEST_CASE("a run listing skips rows that can't be decoded and keeps the others")
{
    last_reason why;
    const auto listing = decode_run_listing(
        R"({"clock_ms":9,"born":3,"running":[["j.0.1.17",2,"",41],["bad",1,"",1],[7],"x"],
            "finished":[[58,"j.0.1.9",1,"done",""],[59,"j.0.1.9",1,"melted",""],[60,"j.0.x.9",1,"done",""]]})",
        why);
    REQUIRE(listing);
    CHECK(listing->m_started_unix_ms == 3);
    CHECK(listing->m_running == std::vector<listed_run>{{{{"j", 0, 1, 17}, 2}, 41}});
    CHECK(listing->m_ended == std::vector<listed_end>{{58, {{"j", 0, 1, 9}, 1}, run_end::done}});
    CHECK_FALSE(decode_run_listing(R"({"running":[]})", why));
}

TEST_CASE("a task id is parsed from its text, and other texts are rejected")
{
    const task_id task{"5c0e7a21d94b36f8", 0, 1, 17};
    CHECK(to_text(task) == "5c0e7a21d94b36f8.0.1.17");
    CHECK(task_id_from_text(to_text(task)) == task);
    for (const char* text : {"", "j", "j.0.1", "j.0.1.2.3", ".0.1.2", "j.0.1.", "j.0.-1.2", "j.0.1.2x"}) {
        CAPTURE(text);
        CHECK_FALSE(task_id_from_text(text));
    }
}

TEST_CASE("a configuration is decoded; a route without path prefix or service is skipped")
{
    last_reason why;
    const auto directory = decode_directory(
        R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/p/","service":"s","stretch":1.6,
            "priority":2,"max_attempts":3,"target_latency_ms":60},{"name":"broken","host":"h"}],
            "services":[{"name":"s","enforces_capacity":true}],"limits":{"max_body_bytes":100}})",
        why);
    REQUIRE(directory);
    REQUIRE(directory->m_queues.size() == 1);
    CHECK(directory->m_queues[0].m_max_attempts == 3);
    CHECK(directory->m_queues[0].m_latency_target == milliseconds(60));
    CHECK(directory->m_services.at("s").m_enforces_capacity);
    CHECK(directory->m_max_body_bytes == 100);
    CHECK_FALSE(decode_directory(R"({"routes":[]})", why));
}

TEST_CASE("a queue is found by host and longest prefix")
{
    service_directory directory;
    directory.m_queues = {
        {"short", "h", "/p/", "s"}, {"long", "h", "/p/q/", "s"}, {"other", "g", "/p/", "s"}};
    const queue_index queues(directory);
    CHECK(queues.find("h", "/p/q/1")->m_name == "long");
    CHECK(queues.find("h:80", "/p/1")->m_name == "short");
    CHECK(queues.find("h", "/x/1") == nullptr);
    CHECK(queues.find("f", "/p/1") == nullptr);
}

TEST_CASE("a log batch is decoded record by record; invalid framing is rejected")
{
    last_reason why;
    const std::string head = big_endian(12, 8) + big_endian(0, 8);
    const std::string first = encode_keyed_record("config", "text");
    // A record of another writer: a key longer than the record.
    const std::string foreign = big_endian(2, 4) + "\x09x";
    const auto batch = decode_log_batch(head + first + foreign + encode_keyed_record("k", ""), 9, why);
    REQUIRE(batch);
    CHECK(batch->m_end_offset == 12);
    CHECK(batch->m_records == std::vector<keyed_record>{{9, "config", "text"}, {11, "k", ""}});
    CHECK(decode_log_batch(head, 9, why)->m_records.empty());
    CHECK_FALSE(decode_log_batch(head + first.substr(0, first.size() - 1), 9, why));
    CHECK_FALSE(decode_log_batch(head + std::string(2, '\0'), 9, why));
    CHECK_FALSE(decode_log_batch("short", 9, why));
}

TEST_CASE("a page of newest records is decoded with its end offset")
{
    last_reason why;
    const auto page = decode_newest_page(
        R"({"items":[{"key":"config","value":"dGV4dA==","offset":4}],"has_more":true,"end_offset":6})", why);
    REQUIRE(page);
    CHECK(page->m_records == std::vector<keyed_record>{{4, "config", "text"}});
    CHECK(page->m_has_more);
    CHECK(page->m_end_offset == 6);
    CHECK_FALSE(decode_newest_page(R"({"items":[]})", why));
}

TEST_CASE("an odd record of another writer does not hide the others on its page")
{
    const std::string deep = std::string(100'000, '[') + std::string(100'000, ']');
    const std::string odd_items[] = {
        R"({"key":"odd","value":)" + deep + "}",
        R"({"key":"odd","value":"x","extra":{"key":)" + deep + "}}",
        R"({"key":"odd","key":"odd","value":"x"})",
        R"({"key":"odd","value":"x","extra":{"a":{"b":1,"b":2},"a":3}})",
        R"({"key":"od\u0000d","value":"x"})",
        "{\"key\":\"od\xff\",\"value\":\"x\"}",
        R"({"key":"odd","value":"x","offset":99999999999999999999999})",
        R"({"key":7,"value":[]})",
        R"([])",
        R"(null)",
        R"({"key":"odd \"[{","value":"]}"})",
    };
    for (const std::string& odd : odd_items) {
        CAPTURE(odd.substr(0, 60));
        last_reason why;
        const auto page =
            decode_newest_page(R"({"items":[{"key":"first","value":"dGV4dA==","offset":4},)" + odd +
                                   R"(,{"key":"config","value":"dGV4dA==","offset":6}],"end_offset":7})",
                               why);
        REQUIRE(page);
        CHECK(page->m_end_offset == 7);
        CHECK(page->m_records.front() == keyed_record{4, "first", "text"});
        CHECK(page->m_records.back() == keyed_record{6, "config", "text"});
        CHECK(page->m_records.size() <= 3);
    }
}

TEST_CASE("a configuration with numbers out of range keeps the limits, or is rejected")
{
    last_reason why;
    CHECK_FALSE(decode_directory(R"({"version":99999999999999999999,"routes":[]})", why));
    CHECK_FALSE(decode_directory(R"({"version":-1,"routes":[]})", why));
    for (const char* limit : {"-1", "0", "null", "\"9\""}) {
        CAPTURE(limit);
        const auto directory =
            decode_directory(std::string(R"({"version":1,"limits":{"max_body_bytes":)") + limit + "}}", why);
        REQUIRE(directory);
        CHECK(directory->m_max_body_bytes == service_directory().m_max_body_bytes);
    }
}

TEST_CASE("calls of workers and readiness probes are recognized by their paths")
{
    const auto report = decode_worker_call("POST", "/hawthornpin/instances/i-7/heartbeat");
    REQUIRE(report);
    CHECK(report->m_call == worker_call::report);
    CHECK(report->m_worker == "i-7");
    CHECK(decode_worker_call("POST", "/hawthornpin/instances/i-7/deregister")->m_call ==
          worker_call::deregister);
    CHECK_FALSE(decode_worker_call("GET", "/hawthornpin/instances/i-7/heartbeat"));
    CHECK_FALSE(decode_worker_call("POST", "/hawthornpin/instances//heartbeat"));
    CHECK_FALSE(decode_worker_call("POST", "/other"));
    CHECK(is_readiness_probe("GET", "/hawthornpin/ready"));
    CHECK(is_job_id("5c0e7a21d94b36f8"));
    CHECK_FALSE(is_job_id("5c0e7a21d94b36f"));
    CHECK_FALSE(is_job_id("5c0e7a21d94b36fg"));
}

TEST_CASE("evacuations are decoded from the operator's records")
{
    CHECK(decode_evacuation({1, "evacuate/z1", "{}"}) == evacuation_record{"z1", true});
    CHECK(decode_evacuation({1, "evacuate/z1", ""}) == evacuation_record{"z1", false});
    // A value that is not understood still evacuates the zone.
    CHECK(decode_evacuation({1, "evacuate/r/z 1", "?"}) == evacuation_record{"r/z 1", true});
    CHECK_FALSE(decode_evacuation({1, "evacuate/", "{}"}));
    CHECK_FALSE(decode_evacuation({1, "config", "{}"}));
}

// Guards against a follower that never gets behind a record of another writer at the end of the log.
TEST_CASE("the offset after a batch of records counts those that can't be decoded")
{
    const std::string header = std::string(7, '\0') + static_cast<char>(9) + std::string(8, '\0');
    // A record of two bytes whose key would be longer than the record.
    const std::string unframed = std::string(3, '\0') + "\2\7x";
    last_reason why;
    const auto batch = decode_log_batch(header + encode_keyed_record("k", "v") + unframed, 7, why);
    REQUIRE(batch);
    CHECK(batch->m_records.size() == 1);
    CHECK(batch->m_next_offset == 9);
    CHECK(batch->m_end_offset == 9);
    CHECK(decode_log_batch(header, 7, why)->m_next_offset == 7);
}

} // namespace hawthornpin
