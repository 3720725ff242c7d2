// Reads the process's own resource usage.

#include "main/process_gauges.h"

#include "core/glib_stream.h"
#include "core/reactor.h"
#include "http/server_stream.h"

#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

namespace hawthornpin {

namespace {

double to_seconds(const timeval& value)
{
    constexpr double microseconds_per_second = 1e6;
    return static_cast<double>(value.tv_sec) + static_cast<double>(value.tv_usec) / microseconds_per_second;
}

double read_resident_bytes()
{
    std::ifstream file("/proc/self/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(::sysconf(_SC_PAGESIZE));
}

} // namespace

void update_process_gauges(metrics& counts)
{
    rusage usage{};
    ::getrusage(RUSAGE_SELF, &usage);
    counts.set_gauge("process_cpu_seconds", to_seconds(usage.ru_utime) + to_seconds(usage.ru_stime));
    counts.set_gauge("process_resident_bytes", read_resident_bytes());
    counts.set_gauge("event_loop_iterations", static_cast<double>(reactor::instance().iterations()));
    counts.set_gauge("http_connections", server_stream::count_open());
    const stream_totals& totals = process_stream_totals();
    counts.set_gauge("rpc_bytes_in", static_cast<double>(totals.m_bytes_in));
    counts.set_gauge("rpc_bytes_out", static_cast<double>(totals.m_bytes_out));
    counts.set_gauge("rpc_writes", static_cast<double>(totals.m_messages_out));
}

} // namespace hawthornpin
