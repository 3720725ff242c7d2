// Settings, log, signals and the loop of the daemons on the platform.

#include "main/platform_process.h"

#include "core/logging.h"
#include "main/platform_agent.h"
#include "main/platform_entry.h"

#include <csignal>
#include <iostream>

namespace hawthornpin {

namespace {

std::optional<process_place> read_place(last_reason& why)
{
    const auto path = settings_file_path(why);
    return path ? read_process_place(*path, why) : std::nullopt;
}

template <typename Process>
exit_code run_process(const std::string& program)
{
    last_reason why;
    const auto place = read_place(why);
    if (!place) {
        std::cerr << program << ": " << why.text() << '\n';
        return exit_code::bad_input;
    }
    start_logging(program, place->m_node, place->m_zone, log_level::info);
    log_event(log_level::info, "started", {{"address", place->m_peer_address}});
    event_loop loop;
    Process process(loop, *place);
    if (!process.start(why)) {
        log_event(log_level::error, "start_failed", {{"reason", why.text()}});
        return exit_code::failure;
    }
    const signal_watch on_terminate(SIGTERM, [&process] { process.begin_leaving(); });
    const signal_watch on_reload(SIGHUP, [] { log_event(log_level::info, "reload_requested"); });
    loop.run();
    log_event(log_level::info, "stopped");
    return exit_code::success;
}

} // namespace

exit_code run_platform_entry()
{
    return run_process<platform_entry>("hawthornpin-entry");
}

exit_code run_platform_agent()
{
    return run_process<platform_agent>("hawthornpin-agent");
}

} // namespace hawthornpin
