// Structured log: one JSON object a line on a file descriptor. Each kind of event has a rate limit. Writing never blocks:
// lines that a full pipe doesn't accept are dropped and counted.
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

// Each kind has its own rate limit, so that a flood of one doesn't displace the others.
enum class EventKind : std::uint8_t {
    Answer,
    // An answer with incomplete coverage, or later than the latency objective.
    ImpairedAnswer,
    Refusal,
    // A hedge, a retry, or a failed subrequest.
    Attempt,
    // A state change: configuration, members, backend servers, dependencies, start and stop.
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
    // Sustained rate by kind.
    std::array<double, eventKindCount> linesPerSecond{4, 20, 40, 20, 100, 20, 40};
    // Lines of this many seconds may be written at once.
    double burstSeconds = 5;
    // Lines waiting for the descriptor.
    std::size_t maximumBufferedBytes = std::size_t(256) * 1024;
};

class EventLog
{
public:
    explicit EventLog(EventLogOptions options);
    // Flushes without blocking.
    ~EventLog();
    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    void write(EventKind kind, const Event &event);
    // True if a line of this kind is within its rate limit now; otherwise counts it as dropped. Saves building the line.
    bool shouldLog(EventKind kind);
    // Writes buffered lines as far as the descriptor accepts them without blocking, and the count of dropped lines.
    void flush();

    std::uint64_t dropped() const;

private:
    struct TokenBucket
    {
        double tokens = 0;
        TimePoint refilledAt;
        std::uint64_t rateLimitedLines = 0;
    };

    bool admit(EventKind kind, TimePoint now);
    void refill(TokenBucket &bucket, EventKind kind, TimePoint now) const;
    void append(const Event &event);
    void writeBuffered();
    void reportDroppedLines();

    EventLogOptions options;
    mutable std::mutex mutex;
    std::array<TokenBucket, eventKindCount> buckets;
    std::deque<std::string> buffered;
    std::size_t bufferedBytes = 0;
    // Bytes of the first buffered line that are already written.
    std::size_t writtenBytesOfFirst = 0;
    std::uint64_t droppedLines = 0;
    TimePoint lastReportAt;
};

} // namespace Galenawell
