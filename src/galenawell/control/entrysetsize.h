// Decides how many fronts of one data centre carry its traffic. With few of them, each sends a backend server enough requests
// to keep its connections open and to know its state; with too many requests each, callers wait for the fronts' processors.
// Answers the load that the fronts report: it grows before they are saturated and shrinks slowly.
#pragma once

#include "galenawell/core/clock.h"

#include <chrono>
#include <cstddef>

namespace Galenawell {

struct EntrySetSizeOptions
{
    // Up to this many fronts, all of them carry traffic.
    std::size_t minimumSize = 8;
    // One in this many fronts carries traffic while none is busy.
    std::size_t frontsPerEntry = 4;
    // Mean delay of the event loops above which the set grows: requests begin to wait for one another.
    std::chrono::microseconds busyDelay{5000};
    // Growth by one half; a set that is too small delays every request, one that is too large only some.
    std::size_t growthDivisor = 2;
    // Callers follow a change within the time for which they cache the directory.
    std::chrono::milliseconds growthInterval{2000};
    std::chrono::milliseconds shrinkInterval{10000};
};

class EntrySetSize
{
public:
    explicit EntrySetSize(EntrySetSizeOptions options);

    // `available` fronts can carry traffic; `delay` is the mean event loop delay of those that do. The result may exceed
    // `available`, so that fronts that become available before the next update are used.
    std::size_t update(std::size_t available, std::chrono::microseconds delay, TimePoint now);

private:
    EntrySetSizeOptions options;
    // Fronts beyond the size for a fleet that isn't busy.
    std::size_t surplus = 0;
    TimePoint changedAt;

    std::size_t idleSize(std::size_t available) const;
};

} // namespace Galenawell
