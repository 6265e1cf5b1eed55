#include "galenawell/telemetry/log.h"

#include "galenawell/telemetry/eventlog.h"

#include <log4cplus/appender.h>
#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>

namespace Galenawell {

namespace {

log4cplus::Logger loggerFor(const std::string &part)
{
    return log4cplus::Logger::getInstance(LOG4CPLUS_STRING_TO_TSTRING(part));
}

// Forwards messages to the event log, so that a process has one rate-limited output.
class EventAppender : public log4cplus::Appender
{
public:
    explicit EventAppender(EventLog &eventLog)
        : events(eventLog)
    {
    }

    ~EventAppender() override
    {
        this->destructorImpl();
    }

    void close() override
    {
    }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override
    {
        const bool warningOrAbove = event.getLogLevel() >= log4cplus::WARN_LOG_LEVEL;
        this->events.write(warningOrAbove ? EventKind::Warning : EventKind::Log,
                           Event("log")
                               .text("level", log4cplus::getLogLevelManager().toString(event.getLogLevel()))
                               .text("part", event.getLoggerName())
                               .text("message", event.getMessage()));
    }

private:
    EventLog &events;
};

void setAppender(const log4cplus::SharedAppenderPtr &appender, const std::string &level)
{
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(log4cplus::getLogLevelManager().fromString(LOG4CPLUS_STRING_TO_TSTRING(level)));
}

} // namespace

Log::Log(std::string_view partName)
    : part(partName)
{
}

void Log::debug(const std::string &message) const
{
    LOG4CPLUS_DEBUG(loggerFor(this->part), LOG4CPLUS_STRING_TO_TSTRING(message));
}

void Log::info(const std::string &message) const
{
    LOG4CPLUS_INFO(loggerFor(this->part), LOG4CPLUS_STRING_TO_TSTRING(message));
}

void Log::warn(const std::string &message) const
{
    LOG4CPLUS_WARN(loggerFor(this->part), LOG4CPLUS_STRING_TO_TSTRING(message));
}

void Log::error(const std::string &message) const
{
    LOG4CPLUS_ERROR(loggerFor(this->part), LOG4CPLUS_STRING_TO_TSTRING(message));
}

void startLogging(const std::string &level)
{
    // Static, so that destructors of other static objects may still log.
    static log4cplus::Initializer initializer;
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(true, true));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(LOG4CPLUS_TEXT("%D{%Y-%m-%dT%H:%M:%S.%q} %-5p %c: %m%n")));
    setAppender(appender, level);
}

void startLogging(const std::string &level, EventLog &events)
{
    static log4cplus::Initializer initializer;
    setAppender(log4cplus::SharedAppenderPtr(new EventAppender(events)), level);
}

} // namespace Galenawell
