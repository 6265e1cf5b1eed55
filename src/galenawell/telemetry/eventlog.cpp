#include "galenawell/telemetry/eventlog.h"

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace Galenawell {

namespace {

// In the order of EventKind.
constexpr std::array<std::string_view, eventKindCount>
    kindNames{"answer", "impaired_answer", "refusal", "attempt", "state", "log", "warning"};

// A pipe that polls as writable takes this many bytes without blocking (PIPE_BUF).
constexpr std::size_t atomicWriteBytes = 4096;
constexpr std::chrono::seconds reportInterval{5};
constexpr unsigned char firstPrintable = 0x20;

void appendEscaped(std::string &json, std::string_view value)
{
    json += '"';
    for (const char character : value) {
        const auto byte = static_cast<unsigned char>(character);
        if (character == '"' || character == '\\') {
            json += '\\';
            json += character;
        } else if (byte < firstPrintable || byte >= 0x7f) {
            std::array<char, 8> escaped{};
            std::snprintf(escaped.data(), escaped.size(), "\\u%04x", byte);
            json += escaped.data();
        } else {
            json += character;
        }
    }
    json += '"';
}

} // namespace

Event::Event(std::string_view name)
{
    this->json = "{\"time\":";
    this->json += std::to_string(wallNow().time_since_epoch().count());
    this->text("event", name);
}

void Event::key(std::string_view field)
{
    this->json += ",\"";
    this->json += field;
    this->json += "\":";
}

Event &Event::text(std::string_view field, std::string_view value)
{
    this->key(field);
    appendEscaped(this->json, value);
    return *this;
}

Event &Event::number(std::string_view field, std::int64_t value)
{
    this->key(field);
    this->json += std::to_string(value);
    return *this;
}

Event &Event::real(std::string_view field, double value)
{
    this->key(field);
    std::array<char, 32> digits{};
    std::snprintf(digits.data(), digits.size(), "%.3f", value);
    this->json += digits.data();
    return *this;
}

Event &Event::flag(std::string_view field, bool value)
{
    this->key(field);
    this->json += value ? "true" : "false";
    return *this;
}

Event &Event::milliseconds(std::string_view field, Duration value)
{
    return this->real(field, std::chrono::duration<double, std::milli>(value).count());
}

const std::string &Event::line() const
{
    return this->json;
}

EventLog::EventLog(EventLogOptions logOptions)
    : options(std::move(logOptions))
    , lastReportAt(MonotonicClock::now())
{
    for (std::size_t index = 0; index < eventKindCount; ++index) {
        this->buckets.at(index) = TokenBucket{.tokens = this->options.linesPerSecond.at(index) * this->options.burstSeconds,
                                              .refilledAt = this->lastReportAt,
                                              .rateLimitedLines = 0};
    }
}

EventLog::~EventLog()
{
    this->flush();
}

void EventLog::refill(TokenBucket &bucket, EventKind kind, TimePoint now) const
{
    const double rate = this->options.linesPerSecond.at(static_cast<std::size_t>(kind));
    const std::chrono::duration<double> passed = now - bucket.refilledAt;
    bucket.tokens = std::min(rate * this->options.burstSeconds, bucket.tokens + rate * passed.count());
    bucket.refilledAt = now;
}

bool EventLog::admit(EventKind kind, TimePoint now)
{
    TokenBucket &bucket = this->buckets.at(static_cast<std::size_t>(kind));
    this->refill(bucket, kind, now);
    if (bucket.tokens < 1) {
        ++bucket.rateLimitedLines;
        return false;
    }
    return true;
}

bool EventLog::shouldLog(EventKind kind)
{
    const std::lock_guard lock(this->mutex);
    return this->admit(kind, MonotonicClock::now());
}

void EventLog::write(EventKind kind, const Event &event)
{
    const std::lock_guard lock(this->mutex);
    if (!this->admit(kind, MonotonicClock::now())) {
        return;
    }
    this->buckets.at(static_cast<std::size_t>(kind)).tokens -= 1;
    this->append(event);
}

void EventLog::append(const Event &event)
{
    std::string line = event.line();
    line += ",\"instance\":";
    appendEscaped(line, this->options.instance);
    line += "}\n";
    if (this->bufferedBytes + line.size() > this->options.maximumBufferedBytes) {
        ++this->droppedLines;
        return;
    }
    this->bufferedBytes += line.size();
    this->buffered.push_back(std::move(line));
}

void EventLog::flush()
{
    const std::lock_guard lock(this->mutex);
    this->reportDroppedLines();
    this->writeBuffered();
}

void EventLog::reportDroppedLines()
{
    const TimePoint now = MonotonicClock::now();
    const bool anyRateLimited = std::ranges::any_of(this->buckets, [](const TokenBucket &bucket) { return bucket.rateLimitedLines > 0; });
    if (!anyRateLimited || now - this->lastReportAt < reportInterval) {
        return;
    }
    this->lastReportAt = now;
    Event event("lines_left_out");
    for (std::size_t index = 0; index < eventKindCount; ++index) {
        if (this->buckets.at(index).rateLimitedLines > 0) {
            event.number(kindNames.at(index), static_cast<std::int64_t>(std::exchange(this->buckets.at(index).rateLimitedLines, 0)));
        }
    }
    event.number("pipe_full", static_cast<std::int64_t>(this->droppedLines));
    this->append(event);
}

void EventLog::writeBuffered()
{
    while (!this->buffered.empty()) {
        pollfd ready{.fd = this->options.descriptor, .events = POLLOUT, .revents = 0};
        if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
            return;
        }
        std::string chunk = this->buffered.front().substr(this->writtenBytesOfFirst, atomicWriteBytes);
        for (std::size_t next = 1; next < this->buffered.size(); ++next) {
            if (chunk.size() + this->buffered[next].size() > atomicWriteBytes) {
                break;
            }
            chunk += this->buffered[next];
        }
        const ssize_t written = ::write(this->options.descriptor, chunk.data(), chunk.size());
        if (written <= 0) {
            return;
        }
        auto remaining = static_cast<std::size_t>(written);
        while (remaining > 0) {
            const std::size_t ofFirst = std::min(remaining, this->buffered.front().size() - this->writtenBytesOfFirst);
            this->writtenBytesOfFirst += ofFirst;
            remaining -= ofFirst;
            if (this->writtenBytesOfFirst == this->buffered.front().size()) {
                this->bufferedBytes -= this->writtenBytesOfFirst;
                this->buffered.pop_front();
                this->writtenBytesOfFirst = 0;
            }
        }
    }
}

std::uint64_t EventLog::dropped() const
{
    const std::lock_guard lock(this->mutex);
    return this->droppedLines;
}

} // namespace Galenawell
