// Stand-in for the platform's store in a soak test: keyed topics, reads that wait for records, and faults.

#pragma once

#include "core/event_loop.h"
#include "http/api_server.h"

#include <map>
#include <string>
#include <vector>

namespace hawthornpin::soak {

enum class store_mode { up, refusing, unresponsive, losing_answers };

class soak_store {
public:
    soak_store();

    bool listen(const std::string& address, last_reason& why) { return m_server.listen(address, why); }
    void set_mode(store_mode mode) { m_mode = mode; }
    // Whether it answers the operator.
    bool is_up() const { return m_mode == store_mode::up; }

    // Appends a record, as the operator does. A record without a value deletes its key.
    void append(const std::string& topic, const std::string& key, const std::string& value);

private:
    struct stored_record {
        std::string m_key;
        std::string m_value;
    };

    kj::Promise<api_response> handle(const api_request& request);
    kj::Promise<api_response> answer(const api_request& request);
    kj::Promise<api_response> read(const std::string& topic, std::size_t from, unsigned wait_ms);
    api_response read_newest(const std::string& topic) const;
    api_response accept(const std::string& topic, const std::string& body);

    store_mode m_mode = store_mode::up;
    std::map<std::string, std::vector<stored_record>> m_topics;
    api_server m_server;
};

} // namespace hawthornpin::soak
