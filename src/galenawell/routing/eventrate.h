// Recent rate of events: a counter that decays exponentially.
#pragma once

#include "galenawell/core/clock.h"

#include <chrono>
#include <cmath>

namespace Galenawell {

class EventRate
{
public:
    explicit EventRate(std::chrono::milliseconds decayTime)
        : decay(decayTime)
    {
    }

    void record(TimePoint now, double events = 1)
    {
        this->count = this->countAt(now) + events;
        this->countedAt = now;
    }

    double perSecond(TimePoint now) const
    {
        return this->countAt(now) / this->decay.count();
    }

private:
    // In seconds.
    std::chrono::duration<double> decay;
    double count = 0;
    TimePoint countedAt;

    double countAt(TimePoint now) const
    {
        return this->count * std::exp(-std::chrono::duration<double>(now - this->countedAt) / this->decay);
    }
};

} // namespace Galenawell
