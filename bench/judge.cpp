// Reads start counts and tickets, and compares them.

#include "bench/judge.h"

#include "core/event_loop.h"
#include "core/json.h"
#include "core/ticket.h"
#include "platform/http_client.h"

#include <fstream>
#include <map>

namespace hawthornpin::bench {

namespace {

using start_counts = std::map<grant_id, int>;

bool add_starts(event_loop& loop, const std::string& target, start_counts& counts)
{
    http_client client(1);
    const auto response =
        run_until_complete(loop, client.send({"GET", "http://" + target + "/starts", "", {}}));
    reason why = reason::none;
    const auto document = json_document::parse(response.m_body, why);
    const auto starts = document ? document->root().object("starts") : std::nullopt;
    if (!starts)
        return false;
    for (const std::string& name : starts->names()) {
        if (const auto id = grant_id_from_text(name))
            counts[*id] += static_cast<int>(starts->integer(name.c_str()).value_or(0));
    }
    return true;
}

std::size_t count_started(const start_counts& counts, const ticket_id& ticket)
{
    std::size_t started = 0;
    for (auto item = counts.lower_bound({ticket, 0}); item != counts.end() && item->first.m_ticket == ticket;
         ++item)
        ++started;
    return started;
}

} // namespace

verification_result verify_run(const std::vector<std::string>& targets, const std::string& tickets_path,
                               const std::string& ticket_key)
{
    verification_result result;
    start_counts counts;
    event_loop loop;
    for (const std::string& target : targets)
        result.m_unreachable_targets += add_starts(loop, target, counts) ? 0 : 1;
    result.m_started_tasks = counts.size();
    for (const auto& [id, count] : counts)
        result.m_double_starts += count > 1 ? 1 : 0;
    std::ifstream file(tickets_path);
    std::string text;
    std::string verdict;
    std::size_t width = 0;
    while (file >> text >> verdict >> width) {
        reason why = reason::none;
        const auto decoded = decode_ticket(text, {ticket_key, ""}, why);
        if (!decoded)
            continue;
        ++result.m_tickets;
        const std::size_t started = count_started(counts, decoded->m_id);
        result.m_broken_not_run += verdict == "not_run" && started > 0 ? 1 : 0;
        result.m_incomplete += verdict == "complete" && started != width ? 1 : 0;
    }
    return result;
}

} // namespace hawthornpin::bench
