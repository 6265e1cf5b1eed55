// Structured log: one JSON object a line on a file descriptor. Volume is bounded by a budget for each kind of event, and
// writing never blocks: what a full pipe doesn't take is dropped and counted.
#pragma once

#include "galenawell/core/clock.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>

namespace Galenawell {

// Kinds have budgets of their own, so that a flood of one doesn't displace the others.
enum class EventKind : std::uint8_t {
    Answer,
    // An answer with gaps, or after the latency objective.
    ImpairedAnswer,
    Refusal,
    // A hedge, a retry, or a failed subrequest.
    Attempt,
    // A change of what the process believes: configuration, members, backend servers, dependencies, start and stop.
    State,
    Log,
    Warning,
    Count,
};

inline constexpr std::size_t eventKindCount = static_cast<std::size_t>(EventKind::Count);

// One line under construction.
class Event
{
public:
    explicit Event(std::string_view name);

    Event &text(std::string_view field, std::string_view value);
    Event &number(std::string_view field, std::int64_t value);
    Event &real(std::string_view field, double value);
    Event &flag(std::string_view field, bool value);
    Event &milliseconds(std::string_view field, Duration value);

    const std::string &line() const;

private:
    void key(std::string_view field);

    std::string json;
};

struct EventLogOptions
{
    int descriptor = 1;
    std::string instance;
    // Lines a second and lines at once, by kind.
    std::array<double, eventKindCount> linesPerSecond{4, 20, 40, 20, 100, 20, 40};
    double burstSeconds = 5;
    // Lines waiting for the descriptor.
    std::size_t maximumBufferedBytes = std::size_t(256) * 1024;
};

class EventLog
{
public:
    explicit EventLog(EventLogOptions options);
    // Writes what the descriptor takes at once.
    ~EventLog();
    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    void write(EventKind kind, const Event &event);
    // True if a line of this kind would be written now; saves making one that would be dropped.
    bool shouldLog(EventKind kind);
    // Writes buffered lines as far as the descriptor takes them without blocking, and a line that counts what was left out.
    void flush();

    std::uint64_t dropped() const;

private:
    struct Budget
    {
        double lines = 0;
        TimePoint refilled;
        std::uint64_t leftOut = 0;
    };

    bool admit(EventKind kind, TimePoint now);
    void refill(Budget &budget, EventKind kind, TimePoint now) const;
    void append(const Event &event);
    void writeBuffered();
    void reportLeftOut();

    EventLogOptions options;
    mutable std::mutex mutex;
    std::array<Budget, eventKindCount> budgets;
    std::deque<std::string> buffered;
    std::size_t bufferedBytes = 0;
    // Bytes of the first buffered line that are already written.
    std::size_t writtenOfFirst = 0;
    std::uint64_t droppedLines = 0;
    TimePoint reportedAt;
};

} // namespace Galenawell
