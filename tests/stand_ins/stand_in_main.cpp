// hawthornpin-stand-in: serves the stand-in of the log service or of a target on one loopback address.

#include "tests/stand_ins/log_service.h"
#include "tests/stand_ins/target.h"

#include <csignal>
#include <iostream>

using namespace hawthornpin;

int main(int argument_count, char** arguments)
{
    if (argument_count < 3) {
        std::cerr << "Usage: hawthornpin-stand-in log|target ADDRESS [SLOTS]\n";
        return 2;
    }
    const std::string role = arguments[1];
    constexpr int default_slots = 8;
    const int slots = argument_count > 3 ? std::atoi(arguments[3]) : default_slots;
    event_loop loop;
    stand_ins::log_service log;
    stand_ins::target target(slots);
    const auto handler = [&](const api_request& request) {
        return role == "log" ? log.handle(request) : target.handle(request);
    };
    api_server server(handler, api_limits());
    last_reason why;
    if (!server.listen(arguments[2], why)) {
        std::cerr << why.text() << '\n';
        return 1;
    }
    const signal_watch on_terminate(SIGTERM, [&loop] { loop.stop(); });
    const signal_watch on_interrupt(SIGINT, [&loop] { loop.stop(); });
    loop.run();
    return 0;
}
