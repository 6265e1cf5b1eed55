// Mean interval between the first subrequests of a front to a service. A front that sends rarely must keep an observed
// problem of a replica for longer, or each of its subrequests would be delayed by the same stall.
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
    // In microseconds; 0 before the first subrequest or interval.
    std::atomic<std::int64_t> lastSendAt{0};
    std::atomic<std::int64_t> averageInterval{0};
};

// Time for which an overdue subrequest worsens the score of its replica: two send intervals, within bounds.
Duration overduePenaltyDuration(std::chrono::microseconds interval);

} // namespace Galenawell
