// Submits one small job at an entry until it is completed, as the platform's callers do.

#pragma once

#include "core/event_loop.h"
#include "core/random.h"
#include "tests/soak/soak_requests.h"
#include "tests/soak/soak_verifier.h"

#include <functional>
#include <string>

namespace hawthornpin::soak {

class ordinary_job {
public:
    ordinary_job(std::string entry, random_source& random, soak_verifier& verifier);

    // Fulfilled with whether the job was completed within `limit_ms`. A submission that is refused as not
    // run, or has no answer, is repeated. `on_answer` is called when a submission is answered.
    kj::Promise<bool> complete_within(unsigned limit_ms, std::function<void()> on_answer);
    std::size_t submissions() const { return m_submissions; }
    bool is_answered() const { return m_is_answered; }

private:
    kj::Promise<bool> submit();

    std::string m_entry;
    soak_job m_job;
    soak_verifier& m_verifier;
    std::function<void()> m_on_answer;
    std::size_t m_submissions = 0;
    bool m_is_answered = false;
};

} // namespace hawthornpin::soak
