// Tables of keys of the published files, and conversion of the files to contracts and teams.

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
        plain_setting(setting_kind::name, "service", "name", std::nullopt, "Name of the service in URLs."),
        plain_setting(setting_kind::name, "service", "owner", std::nullopt,
                      "Team that is responsible for the service."),
        choice_setting("service", "favour", "response", {"response", "messages"},
                       "What placement favours: short `response` time or few `messages`."),
        plain_setting(setting_kind::flag, "service", "repeatable", "no",
                      "Whether a job may be run again after the verdict `may_have_run`."),
        ranged_setting(setting_kind::integer, "limits", "max_tasks", "770", 1, max_tasks_per_job,
                       "Maximum number of tasks in one job."),
        ranged_setting(setting_kind::size, "limits", "max_payload", "16KiB", 1, mebibyte,
                       "Largest payload of one task."),
        ranged_setting(setting_kind::size, "limits", "max_answer", "16KiB", 1, mebibyte,
                       "Largest answer of one task."),
        ranged_setting(setting_kind::duration, "limits", "task_time", "10s", millisecond, 600 * second,
                       "Maximum run time of one task."),
        ranged_setting(setting_kind::duration, "limits", "job_time", "30s", millisecond, 600 * second,
                       "Maximum lifetime of one job."),
        ranged_setting(setting_kind::duration, "hints", "run_time", "200ms", millisecond, 600 * second,
                       "Declared run time of a task, used until run times have been observed."),
    };
    return table;
}

const settings_table& team_file_table()
{
    constexpr double max_rate = 2'000'000;
    constexpr double max_running = 1'000'000;
    static const settings_table table = {
        plain_setting(setting_kind::name, "team", "name", std::nullopt, "Name of the team."),
        ranged_setting(setting_kind::integer, "team", "weight", "1", 1, 1000, "Share of contended capacity."),
        ranged_setting(setting_kind::decimal, "team", "rate", "0", 0, max_rate,
                       "Maximum number of task starts per second over all entries; 0 is unlimited."),
        ranged_setting(setting_kind::integer, "team", "running_limit", "0", 0, max_running,
                       "Maximum number of tasks running at once in one service; 0 is unlimited."),
        plain_setting(setting_kind::digest, "team", "key_sha256", std::nullopt,
                      "SHA-256 of the caller's bearer key."),
        plain_setting(setting_kind::text, "team", "previous_key_sha256", "",
                      "SHA-256 of the previous key, accepted while keys are rotated."),
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
        .set_repeatable(values->is_enabled("service", "repeatable"))
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
