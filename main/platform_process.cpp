// Settings, logging, signals and the event loop of the daemons on the platform.

#include "main/platform_process.h"

#include "core/logging.h"
#include "http/api_server.h"
#include "main/platform_agent.h"
#include "main/platform_entry.h"

#include <csignal>
#include <functional>
#include <iostream>

namespace hawthornpin {

namespace {

std::optional<node_settings> load_node_settings(last_reason& why)
{
    const auto path = settings_file_path(why);
    return path ? read_node_settings(*path, why) : std::nullopt;
}

// Serves GET /metrics on an address of its own.
class metrics_server {
public:
    // `read` updates the gauges and returns the metrics.
    metrics_server(std::function<metrics&()> read, input_guard& guard)
        : m_server(
              [read = std::move(read)](const api_request& request) -> kj::Promise<api_response> {
                  api_response response;
                  if (request.m_path != "/metrics") {
                      response.m_status = 404;
                      return response;
                  }
                  metrics& counts = read();
                  counts.set_gauge("log_lines_dropped", static_cast<double>(dropped_log_lines()));
                  response.m_content_type = "text/plain; version=0.0.4";
                  response.m_body = counts.to_exposition();
                  return response;
              },
              bodyless_port_limits(), guard)
    {
    }

    bool listen(const std::string& address, last_reason& why) { return m_server.listen(address, why); }

private:
    api_server m_server;
};

template <typename Process>
exit_code run_process(const std::string& program, const platform_options& options)
{
    last_reason why;
    auto settings = load_node_settings(why);
    if (!settings) {
        std::cerr << program << ": " << why.text() << '\n';
        return exit_code::bad_input;
    }
    if (options.m_peer_listen_port != 0)
        settings->m_peer_listen_address = settings->m_ip + ":" + std::to_string(options.m_peer_listen_port);
    start_logging(program, settings->m_node, settings->m_zone, log_level::info);
    log_event(log_level::info, "started", {{"address", settings->m_peer_address}});
    event_loop loop;
    Process process(loop, *settings);
    if (!process.start(why)) {
        log_event(log_level::error, "start_failed", {{"reason", why.text()}});
        return exit_code::failure;
    }
    metrics_server metrics_server([&process]() -> metrics& { return process.collect_metrics(); },
                                  process.http_input());
    const std::string metrics_address = settings->m_ip + ":" + std::to_string(options.m_metrics_port);
    if (options.m_metrics_port != 0 && !metrics_server.listen(metrics_address, why))
        log_event(log_level::warning, "metrics_unavailable", {{"reason", why.text()}});
    const signal_watch on_terminate(SIGTERM, [&process] { process.begin_leaving(); });
    const signal_watch on_reload(SIGHUP, [] { log_event(log_level::info, "reload_requested"); });
    enable_log_buffering();
    loop.run();
    log_event(log_level::info, "stopped");
    flush_logs();
    return exit_code::success;
}

} // namespace

exit_code run_platform_entry(const platform_options& options)
{
    return run_process<platform_entry>("hawthornpin-entry", options);
}

exit_code run_platform_agent(const platform_options& options)
{
    return run_process<platform_agent>("hawthornpin-agent", options);
}

} // namespace hawthornpin
