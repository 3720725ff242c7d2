// log4cxx set-up: the JSON layout with the mapped diagnostic context as the event's fields.

#include "core/logging.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/mdc.h>

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

} // namespace

void start_logging(const std::string& program, const std::string& id, const std::string& zone,
                   log_level minimum)
{
    log4cxx::helpers::Pool pool;
    const auto layout = std::make_shared<log4cxx::JSONLayout>();
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>();
    appender->setLayout(layout);
    appender->setTarget(log4cxx::ConsoleAppender::getSystemErr());
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
