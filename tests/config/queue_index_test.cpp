// Tests of the lookup of queues by host and longest prefix.

#include "config/queue_index.h"

#include <doctest/doctest.h>

namespace hawthornpin {

namespace {

queue_contract make_queue(const std::string& host, const std::string& prefix)
{
    queue_contract queue;
    queue.m_name = host + prefix;
    queue.m_host = host;
    queue.m_path_prefix = prefix;
    return queue;
}

} // namespace

TEST_CASE("among thousands of queues the one of the host with the longest prefix is found")
{
    service_directory directory;
    for (int index = 0; index < 5'000; ++index)
        directory.m_queues.push_back(make_queue("h", "/q" + std::to_string(index) + "/"));
    directory.m_queues.push_back(make_queue("h", "/q42/deep/"));
    directory.m_queues.push_back(make_queue("other", "/q42/deeper/"));
    const queue_index queues(directory);
    CHECK(queues.find("h:8080", "/q42/id")->m_name == "h/q42/");
    CHECK(queues.find("h", "/q42/deep/id")->m_name == "h/q42/deep/");
    CHECK(queues.find("h", "/q42/deeper/id")->m_name == "h/q42/");
    CHECK(queues.find("h", "/q4") == nullptr);
    CHECK(queues.find("h", "") == nullptr);
    CHECK(queues.find("", "/q42/id") == nullptr);
    CHECK(queue_index({}).find("h", "/q42/id") == nullptr);
}

TEST_CASE("an empty prefix matches every path of its host")
{
    service_directory directory;
    directory.m_queues = {make_queue("h", ""), make_queue("h", "/a/")};
    const queue_index queues(directory);
    CHECK(queues.find("h", "/b/1")->m_name == "h");
    CHECK(queues.find("h", "/a/1")->m_name == "h/a/");
}

} // namespace hawthornpin
