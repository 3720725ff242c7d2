// hawthornpin-agent: the process beside one target.

#include "main/agent_process.h"
#include "main/daemon.h"
#include "main/platform_process.h"
#include "main/process_settings.h"

#include <csignal>
#include <iostream>

namespace {

using namespace hawthornpin;

exit_code run_agent(const settings& values)
{
    start_logging("hawthornpin-agent", values.text("agent", "id"), values.text("place", "zone"),
                  read_log_level(values));
    set_process_link_delay(values.duration("experiment", "link_delay"));
    event_loop loop;
    agent_process agent(loop, values);
    last_reason why;
    if (!agent.start(why)) {
        std::cerr << why.text() << '\n';
        return exit_code::failure;
    }
    const signal_watch on_terminate(SIGTERM, [&agent] { agent.begin_leaving(); });
    const signal_watch on_interrupt(SIGINT, [&agent] { agent.begin_leaving(); });
    loop.run();
    return exit_code::success;
}

} // namespace

int main(int argument_count, char** arguments)
{
    return run_daemon(argument_count, arguments, "hawthornpin-agent", agent_settings_table(), run_agent,
                      run_platform_agent);
}
