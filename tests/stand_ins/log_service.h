// Stand-in for the platform's log service: streams in memory, with faults on request.

#pragma once

#include "http/api_server.h"

#include <deque>
#include <map>

namespace hawthornpin::stand_ins {

// POST /control {"mode":"up|down|lose_answers","delay_ms":N,"keep":N,"truncate":N} switches faults.
class log_service {
public:
    kj::Promise<api_response> handle(const api_request& request);

private:
    struct stream {
        // Offset of the oldest record that is kept.
        std::uint64_t m_first = 1;
        std::deque<std::string> m_records;
        std::vector<kj::Own<kj::PromiseFulfiller<void>>> m_readers;
    };
    enum class mode { up, down, lose_answers };

    api_response control(const std::string& body);
    api_response append(stream& to, const std::string& body);
    kj::Promise<api_response> read(stream& from, const std::string& query);
    static api_response page(const stream& from, std::uint64_t begin, std::size_t max_records);

    std::map<std::string, stream> m_streams;
    mode m_mode = mode::up;
    unsigned m_delay_ms = 0;
    std::size_t m_max_records = 1'000'000;
};

} // namespace hawthornpin::stand_ins
