// The caller interface of an entry: tickets, submission, answers and cancellation.

#pragma once

#include "admission/limits.h"
#include "config/config_state.h"
#include "core/event_loop.h"
#include "core/metrics.h"
#include "http/caller_messages.h"
#include "membership/member_table.h"
#include "routing/placement.h"
#include "rpc/link.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace hawthornpin {

// Retry delay that is sent to a caller when a home can't be reached.
inline constexpr milliseconds unreachable_retry_after{1'000};
// Time beyond the job's budget after which an entry stops waiting for its home.
inline constexpr milliseconds home_grace{2'000};

// Components of the entry that the caller interface uses.
struct caller_context {
    const process_clock* m_clock = nullptr;
    const config_state* m_config = nullptr;
    const member_table* m_members = nullptr;
    link_pool* m_links = nullptr;
    metrics* m_metrics = nullptr;
    ticket_keys m_keys;
    milliseconds m_ticket_lifetime{0};
    place m_own_place;
    placement_settings m_placement;
    // The number of entries that share the teams' rates, this one included.
    std::function<int()> m_count_entries;
};

// Handles callers' requests. Its state is load views, rate and retry budgets, which are rebuilt after a
// restart.
class caller_api {
public:
    explicit caller_api(caller_context context);

    kj::Promise<api_response> handle(const api_request& request);

    // Updates the load views from the member table.
    void refresh_members();

private:
    // The entry's state for one service.
    struct service_view {
        load_view m_loads;
        placement_state m_placement;
        retry_budget m_retries;
    };
    struct submit_reply {
        job_answer m_answer;
        load_report m_report;
        bool m_is_pending = false;
    };
    // A submission in progress, the number of its attempts, and when the entry stops waiting for its home.
    struct pending_submit {
        std::string m_ticket_text;
        submission m_job;
        int m_attempts = 0;
        instant m_answer_deadline;
    };
    using submit_pointer = std::shared_ptr<pending_submit>;

    const team* find_team(const std::string& authorization) const;
    service_view& find_or_add_view(const std::string& service);
    // Whether a ticket's job is submitted at once or at an unknown later time.
    enum class ticket_use { now, later };
    std::optional<ticket> mint(const std::string& service, const task_needs& needs, int tasks, ticket_use use,
                               reason& why);
    std::optional<outcome> check_rate(const team& caller, std::size_t tasks, milliseconds& retry_after);
    api_response refuse(reason why, milliseconds retry_after = milliseconds(0));
    api_response refuse_with(const outcome& refusal, milliseconds retry_after = milliseconds(0));

    kj::Promise<api_response> handle_tickets(const api_request& request, const contract& service);
    kj::Promise<api_response> handle_post_job(const api_request& request, const contract& service,
                                              const team& caller);
    kj::Promise<api_response> handle_ticket(const api_request& request, const std::string& text,
                                            const team& caller);
    kj::Promise<api_response> handle_put(const api_request& request, const std::string& text,
                                         const ticket& known, const team& caller);
    kj::Promise<api_response> handle_get(const api_request& request, const std::string& text,
                                         const ticket& known);
    kj::Promise<api_response> handle_delete(const std::string& text, const ticket& known);
    kj::Promise<job_answer> submit_with_new_ticket(job_request job, const contract& service, std::string team,
                                                   std::string digest, int attempt);

    // The address of a ticket's home; empty with a refusal if the home can't be called.
    std::optional<std::string> find_home(const ticket& known, outcome& refusal) const;
    kj::Promise<job_answer> submit(submit_pointer pending);
    job_answer apply_submit_reply(const pending_submit& pending, const submit_reply& reply);

    caller_context m_context;
    std::map<std::string, service_view> m_services;
    std::map<std::string, token_bucket> m_rates;
    // The member table's change count at the last refresh_members().
    std::uint64_t m_seen_changes = 0;
    // Identifies this incarnation of the entry to homes, which count the tasks that it sent.
    std::string m_sender;
    random_source m_random;
};

} // namespace hawthornpin
