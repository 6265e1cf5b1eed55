#include "galenawell/control/entrysetsize.h"

#include <algorithm>

namespace Galenawell {

namespace {

// The set shrinks only if the fronts that remain stay well below the delay at which it grows.
constexpr int shrinkDelayDivisor = 4;
// Part of the surplus that is given up at a time.
constexpr std::size_t shrinkDivisor = 4;

std::size_t dividedRoundingUp(std::size_t value, std::size_t divisor)
{
    return (value + divisor - 1) / divisor;
}

} // namespace

EntrySetSize::EntrySetSize(EntrySetSizeOptions sizeOptions)
    : options(sizeOptions)
{
}

std::size_t EntrySetSize::idleSize(std::size_t available) const
{
    return std::max(this->options.minimumSize, dividedRoundingUp(available, this->options.frontsPerEntry));
}

std::size_t EntrySetSize::update(std::size_t available, std::chrono::microseconds delay, TimePoint now)
{
    const std::size_t idle = this->idleSize(available);
    const std::size_t maximumSurplus = available - std::min(available, idle);
    this->surplus = std::min(this->surplus, maximumSurplus);
    const std::size_t size = idle + this->surplus;
    const bool calm = delay * shrinkDelayDivisor < this->options.busyDelay;
    if (delay > this->options.busyDelay && size < available && now - this->changedAt >= this->options.growthInterval) {
        this->surplus = std::min(maximumSurplus, this->surplus + dividedRoundingUp(size, this->options.growthDivisor));
        this->changedAt = now;
    } else if (calm && this->surplus > 0 && now - this->changedAt >= this->options.shrinkInterval) {
        this->surplus -= dividedRoundingUp(this->surplus, shrinkDivisor);
        this->changedAt = now;
    }
    return idle + this->surplus;
}

} // namespace Galenawell
