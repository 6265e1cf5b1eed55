// Logs by log4cplus. Each part of the program has a fixed prefix.
#pragma once

#include <string>
#include <string_view>

namespace Galenawell {

class EventLog;

class Log
{
public:
    // The prefix of one part, such as "control" or "front".
    explicit Log(std::string_view part);

    void debug(const std::string &sentence) const;
    void info(const std::string &sentence) const;
    void warn(const std::string &sentence) const;
    void error(const std::string &sentence) const;

private:
    std::string part;
};

// Sends logs of the level and above to an event log, as lines of kind "log". Called once, before any log.
void startLogging(const std::string &level, EventLog &events);

// Sends logs of the level and above to standard error. Called once, before any log.
void startLogging(const std::string &level);

} // namespace Galenawell
