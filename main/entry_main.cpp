// hawthornpin-entry: the front end behind the load balancer.

#include "main/daemon.h"
#include "main/entry_process.h"
#include "main/platform_process.h"
#include "main/process_settings.h"

#include <csignal>
#include <iostream>

namespace {

using namespace hawthornpin;

exit_code run_entry(const settings& values)
{
    start_logging("hawthornpin-entry", values.text("entry", "id"), values.text("place", "zone"),
                  read_log_level(values));
    set_process_link_delay(values.duration("experiment", "link_delay"));
    event_loop loop;
    entry_process entry(loop, values);
    last_reason why;
    if (!entry.start(why)) {
        std::cerr << why.text() << '\n';
        return exit_code::failure;
    }
    const signal_watch on_terminate(SIGTERM, [&entry] { entry.begin_leaving(); });
    const signal_watch on_interrupt(SIGINT, [&entry] { entry.begin_leaving(); });
    loop.run();
    return exit_code::success;
}

} // namespace

int main(int argument_count, char** arguments)
{
    return run_daemon(argument_count, arguments, "hawthornpin-entry", entry_settings_table(), run_entry,
                      run_platform_entry);
}
