// Options of the daemons by Boost.Program_options.

#include "main/daemon.h"

#include <boost/program_options.hpp>

#include <csignal>
#include <iostream>

namespace hawthornpin {

namespace {

namespace options = boost::program_options;

options::options_description describe_options()
{
    options::options_description description("Options");
    auto add = description.add_options();
    add("help", "show this help");
    add("version", "show the version");
    add("settings", options::value<std::string>(), "the settings file (INI)");
    add("platform", "run with the settings that the users' platform provides");
    add("metrics-port", options::value<unsigned>()->default_value(0),
        "with --platform: serve the metrics on this port of the node's address");
    add("peer-listen-port", options::value<unsigned>()->default_value(0),
        "with --platform: listen for peers on this port; the advertised port is forwarded to it");
    add("check-settings", "check the settings file and exit with status 0 if it is valid, 2 if not");
    add("settings-reference", "print a table of all settings");
    return description;
}

int run_with_settings(const options::variables_map& values, const settings_table& table,
                      const daemon_body& body)
{
    if (values.count("settings") == 0) {
        std::cerr << "--settings FILE is needed\n";
        return to_status(exit_code::bad_input);
    }
    last_reason why;
    const auto checked = read_settings_file(values["settings"].as<std::string>(), table, why);
    if (!checked) {
        std::cerr << why.text() << '\n';
        return to_status(exit_code::bad_input);
    }
    if (values.count("check-settings") != 0) {
        std::cout << "settings are good\n";
        return to_status(exit_code::success);
    }
    return to_status(body(*checked));
}

} // namespace

int run_daemon(int argument_count, char** arguments, const std::string& program, const settings_table& table,
               const daemon_body& body, const platform_body& on_platform)
{
    std::signal(SIGPIPE, SIG_IGN);
    const auto description = describe_options();
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argument_count, arguments, description), values);
    }
    catch (const options::error& error) {
        std::cerr << program << ": " << error.what() << '\n';
        return to_status(exit_code::bad_input);
    }
    if (values.count("help") != 0) {
        std::cout << "Usage: " << program << " --settings FILE\n" << description;
        return to_status(exit_code::success);
    }
    if (values.count("version") != 0) {
        std::cout << program << " 0.1.0\n";
        return to_status(exit_code::success);
    }
    if (values.count("settings-reference") != 0) {
        std::cout << to_markdown(table);
        return to_status(exit_code::success);
    }
    if (values.count("platform") != 0)
        return to_status(
            on_platform({values["metrics-port"].as<unsigned>(), values["peer-listen-port"].as<unsigned>()}));
    return run_with_settings(values, table, body);
}

} // namespace hawthornpin
