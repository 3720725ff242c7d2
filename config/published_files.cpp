// Tables of the published files and their translation to values.

#include "config/published_files.h"

namespace hawthornpin {

namespace {

constexpr double kibibyte = 1024;
constexpr double mebibyte = 1024 * kibibyte;
constexpr double millisecond = 1000;
constexpr double second = 1000 * millisecond;

} // namespace

std::optional<published_kind> kind_of_path(const std::string& path)
{
    if (path.ends_with("service.ini"))
        return published_kind::service;
    if (path.ends_with("team.ini"))
        return published_kind::team;
    return std::nullopt;
}

const settings_table& service_file_table()
{
    static const settings_table table = {
        {"service", "name", setting_kind::name, std::nullopt, 0, 0, "Name of the service in URLs.", {}},
        {"service",
         "owner",
         setting_kind::name,
         std::nullopt,
         0,
         0,
         "Team that answers for the service.",
         {}},
        {"service",
         "favour",
         setting_kind::choice,
         "response",
         0,
         0,
         "What placement favours: `response` time or few `messages`.",
         {"response", "messages"}},
        {"service",
         "repeatable",
         setting_kind::flag,
         "no",
         0,
         0,
         "Whether a job may be run anew after `may_have_run`.",
         {}},
        {"limits",
         "max_tasks",
         setting_kind::integer,
         "770",
         1,
         max_tasks_per_job,
         "Most tasks of one job.",
         {}},
        {"limits",
         "max_payload",
         setting_kind::size,
         "16KiB",
         1,
         mebibyte,
         "Largest payload of one task.",
         {}},
        {"limits", "max_answer", setting_kind::size, "16KiB", 1, mebibyte, "Largest answer of one task.", {}},
        {"limits",
         "task_time",
         setting_kind::duration,
         "10s",
         millisecond,
         600 * second,
         "Longest run of one task.",
         {}},
        {"limits",
         "job_time",
         setting_kind::duration,
         "30s",
         millisecond,
         600 * second,
         "Longest life of one job.",
         {}},
        {"hints",
         "run_time",
         setting_kind::duration,
         "200ms",
         millisecond,
         600 * second,
         "Declared run time of a task, used until runs were observed.",
         {}},
    };
    return table;
}

const settings_table& team_file_table()
{
    constexpr double max_rate = 2'000'000;
    constexpr double max_running = 1'000'000;
    static const settings_table table = {
        {"team", "name", setting_kind::name, std::nullopt, 0, 0, "Name of the team.", {}},
        {"team", "weight", setting_kind::integer, "1", 1, 1000, "Share of contended capacity.", {}},
        {"team",
         "rate",
         setting_kind::decimal,
         "0",
         0,
         max_rate,
         "Task starts a second over all entries; 0 is unlimited.",
         {}},
        {"team",
         "running_limit",
         setting_kind::integer,
         "0",
         0,
         max_running,
         "Tasks running at once in one service; 0 is unlimited.",
         {}},
        {"team",
         "key_sha256",
         setting_kind::digest,
         std::nullopt,
         0,
         0,
         "SHA-256 of the caller's bearer key.",
         {}},
        {"team",
         "previous_key_sha256",
         setting_kind::text,
         "",
         0,
         0,
         "SHA-256 of the key before it, accepted while keys are rotated.",
         {}},
    };
    return table;
}

std::optional<contract> parse_service_file(const std::string& content, const std::string& path,
                                           last_reason& why)
{
    const auto values = read_settings(content, path, service_file_table(), why);
    if (!values)
        return std::nullopt;
    const auto to_ms = [](microseconds span) { return std::chrono::duration_cast<milliseconds>(span); };
    contract_builder builder(values->text("service", "name"), values->text("service", "owner"));
    builder.set_max_tasks(static_cast<int>(values->integer("limits", "max_tasks")))
        .set_sizes(static_cast<std::size_t>(values->integer("limits", "max_payload")),
                   static_cast<std::size_t>(values->integer("limits", "max_answer")))
        .set_time_limits(to_ms(values->duration("limits", "task_time")),
                         to_ms(values->duration("limits", "job_time")))
        .set_declared_run_time(to_ms(values->duration("hints", "run_time")))
        .set_repeatable(values->is_set("service", "repeatable"))
        .set_favour(values->text("service", "favour") == "messages" ? favour::messages : favour::response);
    auto built = builder.build(why);
    if (!built)
        why.set(path + ": " + why.text());
    return built;
}

std::optional<team> parse_team_file(const std::string& content, const std::string& path, last_reason& why)
{
    const auto values = read_settings(content, path, team_file_table(), why);
    if (!values)
        return std::nullopt;
    team_builder builder(values->text("team", "name"));
    builder.set_weight(static_cast<int>(values->integer("team", "weight")))
        .set_rate(values->decimal("team", "rate"))
        .set_running_limit(static_cast<int>(values->integer("team", "running_limit")))
        .set_key_sha256(values->text("team", "key_sha256"), values->text("team", "previous_key_sha256"));
    return builder.build(why);
}

} // namespace hawthornpin
