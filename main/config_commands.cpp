// The subcommands check and publish.

#include "core/json.h"
#include "core/random.h"
#include "main/command_line.h"
#include "main/publisher.h"

#include <iostream>

namespace hawthornpin {

namespace {

const char* describe(publish_verdict verdict)
{
    switch (verdict) {
    case publish_verdict::accepted:
        return "accepted";
    case publish_verdict::rejected_stale:
        return "rejected: stale";
    case publish_verdict::rejected_invalid:
        return "rejected: invalid";
    case publish_verdict::not_written:
        return "not written";
    case publish_verdict::unchanged:
        return "unchanged";
    case publish_verdict::unknown:
        break;
    }
    return "unknown";
}

exit_code to_exit_code(publish_verdict verdict)
{
    switch (verdict) {
    case publish_verdict::accepted:
    case publish_verdict::unchanged:
        return exit_code::success;
    case publish_verdict::unknown:
        return exit_code::unknown_outcome;
    default:
        return exit_code::refused;
    }
}

exit_code report(const publish_result& result, bool is_json)
{
    if (is_json) {
        json_writer writer;
        writer.begin_object().key("result").text(describe(result.m_verdict)).key("change").text(result.m_id);
        writer.key("version").integer(static_cast<std::int64_t>(result.m_version));
        writer.key("detail").text(result.m_detail).end_object();
        std::cout << writer.to_string() << '\n';
    }
    else {
        std::cout << describe(result.m_verdict) << ": change " << result.m_id;
        if (result.m_version != no_offset)
            std::cout << ", version " << result.m_version;
        if (!result.m_detail.empty())
            std::cout << " (" << result.m_detail << ")";
        std::cout << '\n';
        if (result.m_verdict == publish_verdict::unknown)
            std::cout << "run: hawthornpin publish --resume " << result.m_id << '\n';
    }
    return to_exit_code(result.m_verdict);
}

std::optional<local_files> read_checked_files(const std::string& folder)
{
    last_reason why;
    auto files = collect_files(folder, why);
    if (files && check_files(*files, why))
        return files;
    std::cerr << why.text() << '\n';
    return std::nullopt;
}

} // namespace

exit_code run_check(event_loop& /*loop*/, const command_call& call)
{
    const auto files = read_checked_files(call.m_arguments.front());
    if (!files)
        return exit_code::bad_input;
    std::cout << files->size() << " files are good\n";
    return exit_code::success;
}

exit_code run_publish(event_loop& loop, const command_call& call)
{
    publisher target(
        log_client(call.m_options["log"].as<std::string>(), call.m_options["stream"].as<std::string>()));
    if (call.m_options.count("resume") != 0)
        return report(run_until_complete(loop, target.resume(call.m_options["resume"].as<std::string>())),
                      call.m_is_json);
    if (call.m_arguments.empty()) {
        std::cerr << "Usage: hawthornpin publish FOLDER | --resume ID\n";
        return exit_code::bad_input;
    }
    const auto files = read_checked_files(call.m_arguments.front());
    if (!files)
        return exit_code::bad_input;
    const auto state = run_until_complete(loop, target.read_state());
    if (!state) {
        std::cerr << "the log can't be read; nothing was published\n";
        return exit_code::refused;
    }
    const bool removes_missing = call.m_options.count("remove-missing") != 0;
    const config_change change = plan_change(*state, *files, removes_missing, to_text(generate_ticket_id()));
    return report(run_until_complete(loop, target.publish(change)), call.m_is_json);
}

} // namespace hawthornpin
