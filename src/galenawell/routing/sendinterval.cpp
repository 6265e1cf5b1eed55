#include "galenawell/routing/sendinterval.h"

#include <algorithm>

namespace Galenawell {

namespace {

// Weight of a new interval in the average: 1/8.
constexpr std::int64_t averageDivisor = 8;
// A quiet hour counts as this much.
constexpr std::chrono::microseconds longestInterval = std::chrono::seconds(2);

// Longer than a server's usual pause, and short enough to find it sound again soon after.
constexpr std::chrono::milliseconds shortestDoubt{400};
constexpr std::chrono::milliseconds longestDoubt{2000};
constexpr int doubtedSends = 2;

std::int64_t toMicroseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
}

} // namespace

void SendInterval::recordSend(TimePoint now)
{
    // Two threads at once may lose one sample of the two; the average needs no more.
    const std::int64_t ticks = toMicroseconds(now.time_since_epoch());
    const std::int64_t before = this->lastAt.exchange(ticks, std::memory_order_relaxed);
    if (before == 0) {
        return;
    }
    const std::int64_t sample = std::clamp<std::int64_t>(ticks - before, 0, longestInterval.count());
    const std::int64_t known = this->average.load(std::memory_order_relaxed);
    const std::int64_t next = known == 0 ? sample : known + (sample - known) / averageDivisor;
    this->average.store(std::max<std::int64_t>(next, 1), std::memory_order_relaxed);
}

std::chrono::microseconds SendInterval::mean() const
{
    return std::chrono::microseconds(this->average.load(std::memory_order_relaxed));
}

Duration overduePenaltyDuration(std::chrono::microseconds interval)
{
    return std::clamp<Duration>(interval * doubtedSends, shortestDoubt, longestDoubt);
}

} // namespace Galenawell
