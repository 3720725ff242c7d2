// Option parsing and the table of subcommands.

#include "main/command_line.h"

#include <algorithm>
#include <csignal>
#include <iostream>

namespace hawthornpin {

namespace {

namespace options = boost::program_options;

options::options_description describe_options()
{
    options::options_description description("Options");
    auto add = description.add_options();
    add("help", "show help, also after a subcommand");
    add("json", "print data as JSON");
    add("entry", options::value<std::string>()->default_value("127.0.0.1:8080"),
        "address at which an entry serves callers");
    add("operator", options::value<std::string>(), "a process's operator address (drain, members)");
    add("key", options::value<std::string>(), "the caller's key; default: the variable HAWTHORNPIN_KEY");
    add("log", options::value<std::string>()->default_value("127.0.0.1:9000"),
        "the log service's address (publish)");
    add("stream", options::value<std::string>()->default_value("hawthornpin-config"),
        "the configuration stream");
    add("resume", options::value<std::string>(),
        "report the outcome of the earlier publication with this ID instead of publishing");
    add("remove-missing", "remove files in force that are not in the folder (publish)");
    add("count", options::value<int>()->default_value(1), "number of tickets");
    add("ticket", options::value<std::string>(), "submit under this ticket");
    add("deadline-ms", options::value<int>()->default_value(0),
        "time limit of the job; 0: the limit in the contract");
    add("wait", options::value<int>()->default_value(0), "seconds to wait for the answer (status)");
    return description;
}

const command* find_command(const std::string& name)
{
    const auto& table = command_table();
    const auto found = std::find_if(table.begin(), table.end(),
                                    [&](const command& candidate) { return candidate.m_name == name; });
    return found == table.end() ? nullptr : &*found;
}

void print_help(const command* chosen)
{
    if (chosen != nullptr) {
        std::cout << "Usage: hawthornpin " << chosen->m_name << ' ' << chosen->m_usage << "\n\n"
                  << chosen->m_summary << "\n\n";
    }
    else {
        std::cout << "Usage: hawthornpin SUBCOMMAND [options]\n\nSubcommands:\n";
        for (const command& item : command_table())
            std::cout << "  " << item.m_name << ' ' << item.m_usage << "\n      " << item.m_summary << '\n';
        std::cout << '\n';
    }
    std::cout << describe_options()
              << "\nExit codes: 0 done, 1 failed, 2 bad input, 3 refused (provably not run or not in force), "
                 "4 outcome unknown.\n";
}

} // namespace

const std::vector<command>& command_table()
{
    static const std::vector<command> table = {
        {"check", "FOLDER", "Checks every service.ini and team.ini below the folder.", 1, 1, run_check},
        {"publish", "FOLDER | --resume ID",
         "Publishes the files below the folder and waits until they are in force.", 0, 1, run_publish},
        {"ticket", "SERVICE", "Takes tickets for jobs of a service.", 1, 1, run_ticket},
        {"submit", "SERVICE PAYLOAD...",
         "Submits a job with one task for each payload and prints the whole answer.", 2, 1000, run_submit},
        {"status", "TICKET", "Shows the answer or the state of a job.", 1, 1, run_status},
        {"cancel", "TICKET", "Cancels a job and tells whether anything may have run.", 1, 1, run_cancel},
        {"drain", "--operator ADDRESS", "Makes a process leave gracefully.", 0, 0, run_drain},
        {"members", "--operator ADDRESS", "Lists the members that a process knows.", 0, 0, run_members},
    };
    return table;
}

int run_command_line(int argument_count, char** arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    options::options_description hidden;
    hidden.add_options()("arguments", options::value<std::vector<std::string>>());
    options::options_description all;
    all.add(describe_options()).add(hidden);
    options::positional_options_description positional;
    positional.add("arguments", -1);
    command_call call;
    try {
        options::store(
            options::command_line_parser(argument_count, arguments).options(all).positional(positional).run(),
            call.m_options);
    }
    catch (const options::error& error) {
        std::cerr << "hawthornpin: " << error.what() << '\n';
        return to_status(exit_code::bad_input);
    }
    if (call.m_options.count("arguments") != 0)
        call.m_arguments = call.m_options["arguments"].as<std::vector<std::string>>();
    const command* chosen = call.m_arguments.empty() ? nullptr : find_command(call.m_arguments.front());
    if (call.m_options.count("help") != 0) {
        print_help(chosen);
        return to_status(exit_code::success);
    }
    if (chosen == nullptr) {
        std::cerr << "hawthornpin: a subcommand is needed; see hawthornpin --help\n";
        return to_status(exit_code::bad_input);
    }
    call.m_arguments.erase(call.m_arguments.begin());
    const std::size_t count = call.m_arguments.size();
    if (count < chosen->m_min_arguments || count > chosen->m_max_arguments) {
        std::cerr << "Usage: hawthornpin " << chosen->m_name << ' ' << chosen->m_usage << '\n';
        return to_status(exit_code::bad_input);
    }
    call.m_is_json = call.m_options.count("json") != 0;
    event_loop loop;
    return to_status(chosen->m_run(loop, call));
}

} // namespace hawthornpin
