// How often a front sends first subrequests to a service. A front that sends rarely must remember longer what it saw of a
// replica, or each of its subrequests meets the same trouble anew.
#pragma once

#include "galenawell/core/clock.h"

#include <atomic>
#include <chrono>
#include <cstdint>

namespace Galenawell {

class SendInterval
{
public:
    void recordSend(TimePoint now);
    // Zero before the second subrequest.
    std::chrono::microseconds mean() const;

private:
    // Time point and average in microseconds; 0 before the first.
    std::atomic<std::int64_t> lastAt{0};
    std::atomic<std::int64_t> average{0};
};

// How long a replica with an overdue subrequest is passed over: until the front would have sent it a few more.
Duration overduePenaltyDuration(std::chrono::microseconds interval);

} // namespace Galenawell
