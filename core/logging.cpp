// log4cxx set-up: the JSON layout with the mapped diagnostic context as the event's fields.

#include "core/logging.h"

#include "core/line_sink.h"

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/mdc.h>

#include <unistd.h>

#include <deque>

namespace hawthornpin {

namespace {

log4cxx::LevelPtr to_library_level(log_level level)
{
    switch (level) {
    case log_level::debug:
        return log4cxx::Level::getDebug();
    case log_level::info:
        return log4cxx::Level::getInfo();
    case log_level::warning:
        return log4cxx::Level::getWarn();
    case log_level::error:
        break;
    }
    return log4cxx::Level::getError();
}

// Lines that a reader has not taken yet; about a thousand events.
constexpr std::size_t max_backlog_bytes = 256 * 1024;

line_sink& standard_output()
{
    static line_sink sink(STDOUT_FILENO, max_backlog_bytes);
    return sink;
}

// Formats events and hands them to the sink, on the caller's thread.
class sink_appender final : public log4cxx::AppenderSkeleton {
public:
    void close() override {}
    bool requiresLayout() const override { return true; }

protected:
    void append(const log4cxx::spi::LoggingEventPtr& event, log4cxx::helpers::Pool& pool) override
    {
        log4cxx::LogString line;
        getLayout()->format(line, event, pool);
        standard_output().offer(std::move(line));
    }
};

} // namespace

void flush_logs()
{
    standard_output().flush();
}

std::uint64_t dropped_log_lines()
{
    return standard_output().dropped();
}

void start_logging(const std::string& program, const std::string& id, const std::string& zone,
                   log_level minimum)
{
    log4cxx::helpers::Pool pool;
    const auto layout = std::make_shared<log4cxx::JSONLayout>();
    const auto appender = std::make_shared<sink_appender>();
    appender->setLayout(layout);
    appender->activateOptions(pool);
    const auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(appender);
    root->setLevel(to_library_level(minimum));
    log4cxx::MDC::put("program", program);
    log4cxx::MDC::put("id", id);
    log4cxx::MDC::put("zone", zone);
}

void log_event(log_level level, const char* event, std::initializer_list<log_field> fields)
{
    static const auto logger = log4cxx::Logger::getLogger("hawthornpin");
    const auto library_level = to_library_level(level);
    if (!logger->isEnabledFor(library_level))
        return;
    std::deque<log4cxx::MDC> scoped_fields;
    for (const log_field& field : fields)
        scoped_fields.emplace_back(field.m_name, field.m_value);
    logger->log(library_level, std::string(event));
}

} // namespace hawthornpin
