// Decides which requests a front that shuts down still starts, and until when it may answer, so that every request that was
// passed on gets an answer before the process ends.
#pragma once

#include "galenawell/core/clock.h"

#include <chrono>
#include <optional>

namespace Galenawell {

struct DrainingRequest
{
    bool idempotent = false;
    // Within this time the request is expected to be answered.
    std::chrono::milliseconds latencyObjective{0};
    TimePoint deadline;
};

class DrainPolicy
{
public:
    // The process is killed `gracePeriod` after `shutdownAt`.
    DrainPolicy(TimePoint shutdownAt, std::chrono::milliseconds gracePeriod);

    // The listener closes.
    TimePoint acceptUntil() const;
    // Requests that still run then are ended with what is known of them.
    TimePoint answerUntil() const;
    // The process exits, even if an answer couldn't be sent.
    TimePoint exitAt() const;

    // Deadline of a request that is started now; absent if it is unlikely to be answered by answerUntil() and other fronts serve
    // callers better, so that it has to be refused as not run.
    std::optional<TimePoint> deadlineFor(const DrainingRequest &request, TimePoint now) const;

private:
    TimePoint killedAt;
    std::chrono::milliseconds grace;
};

} // namespace Galenawell
