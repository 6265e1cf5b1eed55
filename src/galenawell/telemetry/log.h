// Logging with log4cplus. Each component has its own logger.
#pragma once

#include <string>
#include <string_view>

namespace Galenawell {

class EventLog;

class Log
{
public:
    // Name of the component's logger, such as "control" or "front".
    explicit Log(std::string_view part);

    void debug(const std::string &message) const;
    void info(const std::string &message) const;
    void warn(const std::string &message) const;
    void error(const std::string &message) const;

private:
    std::string part;
};

// Sends messages of the level and above to an event log, as "log" events. Called once, before any message.
void startLogging(const std::string &level, EventLog &events);

// Sends messages of the level and above to standard error. Called once, before any message.
void startLogging(const std::string &level);

} // namespace Galenawell
