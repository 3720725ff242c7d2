// Stand-in for the platform's store: keyed logs with one partition, in memory.

#pragma once

#include "support.hh"

namespace review {

class store {
public:
    explicit store(const std::string& address);

    bool start() { return m_server.start(); }
    // Appends a record as the operator does. The return is the acknowledgement.
    void append(const std::string& topic, const std::string& key, const std::string& value);
    // From now on nothing passes on connections that are open at this moment; new ones work.
    void silence_open_connections();

private:
    struct stored_record {
        std::string m_key;
        std::string m_value;
    };

    std::string handle(const http_message& request, connection& from);
    std::string answer(const http_message& request);
    std::string read(const std::string& topic, std::size_t offset, long long wait_ms);
    std::string read_newest(const std::string& topic);
    bool is_silent(const connection& from) const;

    std::mutex m_mutex;
    std::map<std::string, std::vector<stored_record>> m_topics;
    std::atomic<long long> m_silent_before{-1};
    http_server m_server;
};

} // namespace review
