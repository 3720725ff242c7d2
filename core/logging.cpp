// log4cxx set-up: a JSON layout that reads an event's fields in place instead of through the library's mapped
// diagnostic context, which copies each of them several times.

#include "core/logging.h"

#include "core/line_sink.h"

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/helpers/cacheddateformat.h>
#include <log4cxx/helpers/iso8601dateformat.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>

#include <unistd.h>

#include <utility>
#include <vector>

namespace hawthornpin {

namespace {

log4cxx::LevelPtr to_log4cxx_level(log_level level)
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

// Buffer for lines that the reader has not consumed yet; holds about a thousand events.
constexpr std::size_t max_backlog_bytes = 256 * 1024;

line_sink& standard_output()
{
    static line_sink sink(STDOUT_FILENO, max_backlog_bytes);
    return sink;
}

bool is_buffering = false;

// Fields of the event that log_event() is writing. Events are formatted on the caller's thread during that
// call.
const std::initializer_list<log_field>* current_fields = nullptr;

// Writes the format of log4cxx::JSONLayout: time, level, logger, message, and the fields under "context_map".
class field_layout final : public log4cxx::JSONLayout {
public:
    explicit field_layout(std::vector<log_field> process_fields) : m_process_fields(std::move(process_fields))
    {
    }

    void format(log4cxx::LogString& line, const log4cxx::spi::LoggingEventPtr& event,
                log4cxx::helpers::Pool& pool) const override
    {
        line.append("{ \"timestamp\": \"");
        m_timestamp_format->format(line, event->getTimeStamp(), pool);
        line.append("\", \"level\": ");
        appendQuotedEscapedString(line, event->getLevel()->toString());
        line.append(", \"logger\": ");
        appendQuotedEscapedString(line, event->getLoggerName());
        line.append(", \"message\": ");
        appendQuotedEscapedString(line, event->getMessage());
        line.append(", \"context_map\": {");
        bool is_first = true;
        for (const log_field& field : m_process_fields)
            append_field(line, field, is_first);
        if (current_fields != nullptr) {
            for (const log_field& field : *current_fields)
                append_field(line, field, is_first);
        }
        line.append(" } }\n");
    }

private:
    void append_field(log4cxx::LogString& line, const log_field& field, bool& is_first) const
    {
        line.append(std::exchange(is_first, false) ? " \"" : ", \"");
        line.append(field.m_name);
        line.append("\": ");
        appendQuotedEscapedString(line, field.m_value);
    }

    // Program, id and zone.
    std::vector<log_field> m_process_fields;
    std::shared_ptr<log4cxx::pattern::CachedDateFormat> m_timestamp_format =
        std::make_shared<log4cxx::pattern::CachedDateFormat>(
            std::make_shared<log4cxx::helpers::ISO8601DateFormat>(), timestamp_cache_us);
    // The formatted date and time are reused for all events of one second.
    static constexpr int timestamp_cache_us = 1'000'000;
};

// Formats events and writes them to the sink on the caller's thread.
class sink_appender final : public log4cxx::AppenderSkeleton {
public:
    void close() override {}
    bool requiresLayout() const override { return true; }

protected:
    void append(const log4cxx::spi::LoggingEventPtr& event, log4cxx::helpers::Pool& pool) override
    {
        log4cxx::LogString line;
        getLayout()->format(line, event, pool);
        if (is_buffering && !event->getLevel()->isGreaterOrEqual(log4cxx::Level::getWarn()))
            standard_output().buffer_line(std::move(line));
        else
            standard_output().write_line(std::move(line));
    }
};

} // namespace

void enable_log_buffering()
{
    is_buffering = true;
}

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
    const auto layout = std::make_shared<field_layout>(
        std::vector<log_field>{{"program", program}, {"id", id}, {"zone", zone}});
    const auto appender = std::make_shared<sink_appender>();
    appender->setLayout(layout);
    appender->activateOptions(pool);
    const auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(appender);
    root->setLevel(to_log4cxx_level(minimum));
}

void log_event(log_level level, const char* event, std::initializer_list<log_field> fields)
{
    static const auto logger = log4cxx::Logger::getLogger("hawthornpin");
    const auto log4cxx_level = to_log4cxx_level(level);
    if (!logger->isEnabledFor(log4cxx_level))
        return;
    current_fields = &fields;
    logger->log(log4cxx_level, std::string(event));
    current_fields = nullptr;
}

} // namespace hawthornpin
