// Names of a worker's answers in logs and counters.

#include "world/worker_report.h"

namespace hawthornpin {

const char* to_text(start_answer answer)
{
    switch (answer) {
    case start_answer::started:
        return "started";
    case start_answer::fenced:
        return "fenced";
    case start_answer::run_too_old:
        return "run_too_old";
    case start_answer::deadline_passed:
        return "deadline_passed";
    case start_answer::no_room:
        return "no_room";
    case start_answer::other_life:
        return "other_life";
    case start_answer::unhealthy:
        return "unhealthy";
    case start_answer::malformed:
        return "malformed";
    case start_answer::unreachable:
        return "unreachable";
    case start_answer::other_incarnation:
        return "other_incarnation";
    case start_answer::not_sent:
        return "not_sent";
    case start_answer::unexpected:
        return "unexpected";
    case start_answer::disconnected:
        return "disconnected";
    case start_answer::unanswered:
        break;
    }
    return "unanswered";
}

const char* to_text(renewal_status status)
{
    switch (status) {
    case renewal_status::listed:
        return "listed";
    case renewal_status::fenced:
        return "fenced";
    case renewal_status::other_life:
        return "other_life";
    case renewal_status::unreachable:
        return "unreachable";
    case renewal_status::disconnected:
        return "disconnected";
    case renewal_status::unanswered:
        break;
    }
    return "unanswered";
}

} // namespace hawthornpin
