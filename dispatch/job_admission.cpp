// Critical paths, expected waits and the admission rule.

#include "dispatch/job_admission.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace hawthornpin {

namespace {

// Upper bound of the expected wait, and its value when nothing is known of the workers: agents are discovered
// within this time after a start.
constexpr milliseconds max_expected_wait{1'000};

constexpr int lowest_priority = std::numeric_limits<int>::max();

bool is_supported(const work_request& request)
{
    if (!request.m_is_best_effort || request.m_repeat_count > 0)
        return false;
    return std::none_of(request.m_steps.begin(), request.m_steps.end(), [](const job_step& step) {
        return step.m_is_gang || step.m_is_long_running || step.m_is_filling;
    });
}

// Feasibility of the job, which is that of its least feasible step.
feasibility check_steps(const job_scheduler& scheduler, const live_job& job, instant now)
{
    feasibility result = feasibility::feasible;
    for (const job_step& step : job.m_request.m_steps) {
        placement_request request;
        request.m_service = job.m_queue.m_service;
        request.m_needs = step.m_per_task;
        request.m_required_label = step.m_required_label;
        const feasibility checked = check_feasibility(scheduler.m_agents, request, now);
        if (checked == feasibility::infeasible)
            return checked;
        if (checked == feasibility::unknown)
            result = checked;
    }
    return result;
}

// Processor demand, in thousandths of a core, of the ready tasks that are placed before a task with this
// priority and latest start.
std::int64_t demand_ahead(const job_scheduler& scheduler, const std::string& service, int priority,
                          instant latest_start)
{
    std::int64_t demand = 0;
    for (const ready_key& key : scheduler.m_ready) {
        if (key.m_is_late ||
            std::pair(key.m_priority, key.m_latest_start) > std::pair(priority, latest_start))
            break;
        const live_job& job = scheduler.m_jobs.at(key.m_job);
        if (job.m_queue.m_service == service)
            demand += job.m_request.m_steps[key.m_step].m_per_task.m_cpu_milli;
    }
    return demand;
}

// Share of the busy processors of a service that is released per millisecond, estimated from this home's
// runs.
double relative_release_rate(const job_scheduler& scheduler, const std::string& service)
{
    double busy = 0;
    double rate = 0;
    for (const auto& [id, job] : scheduler.m_jobs) {
        if (job.m_queue.m_service != service)
            continue;
        for (std::size_t index = 0; index < job.m_steps.size(); ++index) {
            const live_step& step = job.m_steps[index];
            const auto ordered =
                std::count_if(step.m_tasks.begin(), step.m_tasks.end(),
                              [](const live_task& task) { return task.m_phase == live_task_phase::ordered; });
            const auto cpu =
                static_cast<double>(ordered * job.m_request.m_steps[index].m_per_task.m_cpu_milli);
            busy += cpu;
            rate += cpu / static_cast<double>(std::max<std::int64_t>(1, step.m_estimate.count()));
        }
    }
    return busy > 0 ? rate / busy : 0;
}

// Expected time until there is room for `demand`, which is placed after the demand `ahead` that waits at this
// home, and after jobs of a higher priority that arrive meanwhile. As much is assumed to wait at each of the
// other homes, because jobs are spread over them evenly.
milliseconds estimate_wait_for_room(const job_scheduler& scheduler, const std::string& service, int priority,
                                    std::int64_t ahead, std::int64_t demand, instant now)
{
    const service_load load = measure_service(scheduler.m_agents, service, now);
    const std::int64_t shortage = scheduler.m_homes_per_agent * ahead + demand - load.m_free_milli;
    if (shortage <= 0)
        return milliseconds(0);
    const auto meter = scheduler.m_demand.find(service);
    const double arriving = meter == scheduler.m_demand.end() ? 0 : rate_above(meter->second, priority, now);
    // A low priority is left a share, because both rates are estimates of what varies much.
    constexpr double least_share = 0.1;
    const double released =
        relative_release_rate(scheduler, service) * static_cast<double>(load.m_busy_milli);
    const double rate = std::max(released - arriving, least_share * released);
    if (rate <= 0)
        return max_expected_wait;
    const double wait = static_cast<double>(shortage) / rate;
    return std::min(max_expected_wait, milliseconds(static_cast<std::int64_t>(wait)));
}

// Whether a task of the job could start now with nothing waiting before it. Such a job is admitted whatever
// its slack: no caller is refused while a worker is free.
bool has_immediate_room(const job_scheduler& scheduler, const live_job& job, instant now)
{
    const bool is_queue_empty =
        demand_ahead(scheduler, job.m_queue.m_service, lowest_priority, instant::max()) == 0;
    return is_queue_empty &&
           has_room(scheduler.m_agents, job.m_queue.m_service, job.m_request.m_steps.front().m_per_task, now);
}

} // namespace

void compute_critical_paths(live_job& job)
{
    milliseconds longest{0};
    for (std::size_t index = job.m_steps.size(); index-- > 0;) {
        live_step& step = job.m_steps[index];
        milliseconds after{0};
        for (std::size_t later = index + 1; later < job.m_steps.size(); ++later) {
            const auto& depends_on = job.m_request.m_steps[later].m_depends_on;
            if (std::find(depends_on.begin(), depends_on.end(), index) != depends_on.end())
                after = std::max(after, job.m_steps[later].m_critical_path);
        }
        step.m_critical_path = step.m_estimate + after;
        longest = std::max(longest, step.m_critical_path);
    }
    const auto stretched =
        milliseconds(static_cast<std::int64_t>(static_cast<double>(longest.count()) * job.m_queue.m_stretch));
    job.m_on_time_deadline = job.m_arrived + stretched + job.m_queue.m_latency_target;
}

std::optional<admission_refusal> check_job_feasibility(const job_scheduler& scheduler, const live_job& job,
                                                       instant now)
{
    if (!is_supported(job.m_request))
        return admission_refusal{job_end::refused, job_end_reason::unsupported, max_expected_wait};
    const feasibility checked = check_steps(scheduler, job, now);
    if (checked == feasibility::infeasible && scheduler.m_knows_all_agents)
        return admission_refusal{job_end::failed, job_end_reason::never_fits, milliseconds(0)};
    if (checked != feasibility::feasible)
        return admission_refusal{job_end::refused, job_end_reason::no_worker, max_expected_wait};
    return std::nullopt;
}

std::optional<admission_refusal> check_admission(const job_scheduler& scheduler, const live_job& job,
                                                 instant now)
{
    if (const auto refusal = check_job_feasibility(scheduler, job, now))
        return refusal;
    if (job.m_caller_deadline < now + scheduler.m_limits.m_min_caller_timeout)
        return admission_refusal{job_end::refused, job_end_reason::caller_deadline, milliseconds(0)};
    const std::string& service = job.m_queue.m_service;
    const auto slack = std::chrono::duration_cast<milliseconds>(job.m_on_time_deadline - now -
                                                                job.m_steps.front().m_critical_path);
    const std::int64_t ahead = demand_ahead(scheduler, service, job.m_queue.m_priority, now + slack);
    const milliseconds wait = estimate_wait_for_room(scheduler, service, job.m_queue.m_priority, ahead,
                                                     initial_demand(job.m_request), now);
    const bool is_shared = scheduler.m_homes_per_agent > 1;
    const double share = is_shared ? scheduler.m_limits.m_admitted_slack_share_of_shared
                                   : scheduler.m_limits.m_admitted_slack_share;
    const auto bound = milliseconds(static_cast<std::int64_t>(static_cast<double>(slack.count()) * share));
    if (wait <= bound || has_immediate_room(scheduler, job, now))
        return std::nullopt;
    return admission_refusal{job_end::refused, job_end_reason::overload, wait};
}

std::int64_t initial_demand(const work_request& request)
{
    std::int64_t demand = 0;
    for (const job_step& step : request.m_steps) {
        if (step.m_depends_on.empty())
            demand += step.m_per_task.m_cpu_milli * step.m_task_count;
    }
    return demand;
}

double declared_work(const work_request& request)
{
    double work = 0;
    for (const job_step& step : request.m_steps)
        work += static_cast<double>(step.m_per_task.m_cpu_milli) * step.m_task_count * step.m_estimate_ms;
    return work;
}

std::int64_t free_for_new_jobs(const job_scheduler& scheduler, instant now)
{
    std::int64_t free = 0;
    for (const auto& [id, agent] : scheduler.m_agents.m_agents) {
        if (is_presumed_available(scheduler.m_agents, agent, now))
            free += free_for_orders(agent).m_cpu_milli;
    }
    for (const ready_key& key : scheduler.m_ready)
        free -= scheduler.m_jobs.at(key.m_job).m_request.m_steps[key.m_step].m_per_task.m_cpu_milli;
    return free;
}

bool can_try_another_home(const job_answer_event& answer, std::size_t homes_tried)
{
    constexpr std::size_t max_homes_tried = 3;
    if (answer.m_end != job_end::refused || homes_tried >= max_homes_tried)
        return false;
    switch (answer.m_reason) {
    case job_end_reason::overload:
    case job_end_reason::no_worker:
    case job_end_reason::shutting_down:
        return true;
    case job_end_reason::hand_in_late:
        // More likely due to this entry's own delay than to the home's if it happens twice.
        return homes_tried == 1;
    default:
        return false;
    }
}

instant latest_useful_start(const live_job& job)
{
    // Tolerated error of the estimate, as a share of the critical path.
    constexpr double estimate_tolerance = 0.25;
    const auto critical_path = job.m_steps.front().m_critical_path;
    const auto tolerance = milliseconds(
        static_cast<std::int64_t>(static_cast<double>(critical_path.count()) * estimate_tolerance));
    return job.m_on_time_deadline - critical_path + tolerance;
}

milliseconds expected_wait(const job_scheduler& scheduler, const std::string& service, instant now)
{
    return estimate_wait_for_room(scheduler, service, lowest_priority,
                                  demand_ahead(scheduler, service, lowest_priority, instant::max()), 0, now);
}

} // namespace hawthornpin
