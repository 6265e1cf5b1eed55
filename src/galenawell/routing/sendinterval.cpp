#include "galenawell/routing/sendinterval.h"

#include <algorithm>

namespace Galenawell {

namespace {

// A new interval has the weight 1/8 in the moving average.
constexpr std::int64_t intervalDivisor = 8;
// Longer intervals count as this, so that an idle period doesn't dominate the average.
constexpr std::chrono::microseconds maximumInterval = std::chrono::seconds(2);

// Longer than a usual pause of a server, but short, so that it is used again soon after the pause.
constexpr std::chrono::milliseconds minimumOverduePenalty{400};
constexpr std::chrono::milliseconds maximumOverduePenalty{2000};
constexpr int penalizedSends = 2;

std::int64_t toMicroseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
}

} // namespace

void SendInterval::recordSend(TimePoint now)
{
    // A concurrent update may lose one sample, which is acceptable for an average.
    const std::int64_t nowMicroseconds = toMicroseconds(now.time_since_epoch());
    const std::int64_t previous = this->lastSendAt.exchange(nowMicroseconds, std::memory_order_relaxed);
    if (previous == 0) {
        return;
    }
    const std::int64_t sample = std::clamp<std::int64_t>(nowMicroseconds - previous, 0, maximumInterval.count());
    const std::int64_t previousAverage = this->averageInterval.load(std::memory_order_relaxed);
    const std::int64_t next = previousAverage == 0 ? sample : previousAverage + (sample - previousAverage) / intervalDivisor;
    this->averageInterval.store(std::max<std::int64_t>(next, 1), std::memory_order_relaxed);
}

std::chrono::microseconds SendInterval::mean() const
{
    return std::chrono::microseconds(this->averageInterval.load(std::memory_order_relaxed));
}

Duration overduePenaltyDuration(std::chrono::microseconds interval)
{
    return std::clamp<Duration>(interval * penalizedSends, minimumOverduePenalty, maximumOverduePenalty);
}

} // namespace Galenawell
