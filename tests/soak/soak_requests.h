// Submissions of the callers in a soak test, with callers that stop waiting in different ways.

#pragma once

#include "core/random.h"
#include "platform/http_client.h"

#include <cstdint>
#include <optional>
#include <string>

namespace hawthornpin::soak {

// The id of a job: 16 hexadecimal digits.
std::string draw_job_id(random_source& random);

struct soak_job {
    std::string m_id;
    std::string m_queue;
    std::uint32_t m_tasks = 0;
    std::string m_body;
};

// A job whose tasks last `duration_ms`.
soak_job make_job(const std::string& id, const std::string& queue, std::uint32_t tasks, long long duration_ms,
                  long long estimate_ms);

// A JSON object with a further member, so that it has exactly `size` bytes, if that is enough for both.
std::string pad_object(const std::string& object, std::size_t size);

// The submission of a job at an entry. Without a deadline, Deadline-Ms is not sent.
http_request make_submission(const std::string& entry, const soak_job& job,
                             std::optional<unsigned> deadline_ms);

// Sends half of the request's body, and the rest once `pause` is fulfilled. On a connection of its own, which
// stays open until the answer arrives or the promise is dropped.
kj::Promise<http_response> send_in_halves(const std::string& address, const http_request& request,
                                          kj::Promise<void> pause);

bool is_completed(const http_response& response);

} // namespace hawthornpin::soak
