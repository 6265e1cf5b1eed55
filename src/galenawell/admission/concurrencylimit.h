// Adaptive concurrency limit: additive increase while latency stays near its minimum, multiplicative decrease when latency
// rises or requests fail.
#pragma once

#include "galenawell/core/clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Galenawell {

enum class LimitAlgorithm : std::uint8_t {
    AdditiveIncrease,
    // Scales the limit by minimum latency / current latency. Only for the comparison in docs/admission.md.
    LatencyGradient,
    // Stays at the initial value.
    Fixed,
};

struct ConcurrencyLimitOptions
{
    std::size_t minimum = 2;
    std::size_t maximum = 256;
    std::size_t initial = 16;
    LimitAlgorithm algorithm = LimitAlgorithm::AdditiveIncrease;
};

struct CompletedRequest
{
    std::chrono::microseconds serviceTime{0};
    bool succeeded = true;
    // Requests in flight just before this one ended, including it.
    std::size_t running = 0;
    // Whether requests were waiting for the limit.
    bool requestsWaiting = false;
};

class ConcurrencyLimit
{
public:
    ConcurrencyLimit(ConcurrencyLimitOptions initialOptions, TimePoint now);

    // The limit grows only while requests wait for it, and shrinks only while at least half of it is used.
    void record(const CompletedRequest &completed, TimePoint now);

    std::size_t current() const;
    // Moving average of the service time of successful requests; zero before the first.
    std::chrono::microseconds expectedServiceTime() const;

    void setBounds(std::size_t minimum, std::size_t maximum);

private:
    // The minimum latency is regularly measured again at a lowered limit. This takes two windows: in the first, the requests
    // end that were started under the higher limit.
    enum class Probe : std::uint8_t {
        Idle,
        Settling,
        Measuring,
    };

    // Limit and median latency at the start of consecutive slow windows, or when a lower limit last had reduced the latency.
    struct Slowdown
    {
        double limit;
        std::chrono::microseconds median;
    };

    using Step = void (ConcurrencyLimit::*)(double latencyRatio);

    void updateServiceTime(std::chrono::microseconds serviceTime);
    bool windowComplete(TimePoint now) const;
    void closeWindow(TimePoint now);
    void evaluateMedian(std::chrono::microseconds median, TimePoint now);
    // Distinguishes queueing from slower servers: a lower limit reduces the latency only in the former case. True if the
    // higher latency was accepted as the new minimum.
    bool acceptSlowerService(std::chrono::microseconds median, TimePoint now);
    void setMinimumLatency(std::chrono::microseconds median, TimePoint now);
    void advanceProbe(std::chrono::microseconds median, TimePoint now);
    void startProbe();
    void stepAdditively(double latencyRatio);
    void stepByGradient(double latencyRatio);
    void decrease();
    void setLimit(double wanted);
    std::chrono::microseconds windowMedian();

    ConcurrencyLimitOptions options;
    Step step = nullptr;
    // Always within [minimum, maximum].
    double limit;
    double limitBeforeProbe = 0;
    Probe probe = Probe::Idle;
    std::chrono::microseconds smoothedServiceTime{0};
    // Lowest median latency of a window since the last probe; zero before the first window.
    std::chrono::microseconds minimumLatency{0};
    TimePoint minimumMeasuredAt;
    std::optional<Slowdown> slowdown;

    // Requests of the current window, which began at the last decision about the limit.
    std::vector<std::chrono::microseconds> successes;
    std::size_t failures = 0;
    std::size_t maximumRunning = 0;
    bool requestsWaited = false;
    TimePoint windowStart;
};

} // namespace Galenawell
