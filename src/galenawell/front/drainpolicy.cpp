#include "galenawell/front/drainpolicy.h"

#include <algorithm>

namespace Galenawell {

namespace {

// Parts of the grace period that are reserved for closing connections, sending answers and exiting.
constexpr std::chrono::milliseconds acceptReserve{900};
constexpr std::chrono::milliseconds answerReserve{600};
constexpr std::chrono::milliseconds exitReserve{300};
// A shorter grace period shortens the reserves in proportion.
constexpr std::chrono::milliseconds shortestFullGrace{3000};

// The outcome of a request that isn't idempotent stays unknown if it is ended early, so it needs time to spare.
constexpr int nonIdempotentFactor = 2;
// An idempotent request can be sent again, so it is worth a try in a short time.
constexpr std::chrono::milliseconds shortestTry{250};

std::chrono::milliseconds scaled(std::chrono::milliseconds reserve, std::chrono::milliseconds grace)
{
    return std::min(reserve, reserve * grace.count() / shortestFullGrace.count());
}

} // namespace

DrainPolicy::DrainPolicy(TimePoint shutdownAt, std::chrono::milliseconds gracePeriod)
    : killedAt(shutdownAt + gracePeriod)
    , grace(gracePeriod)
{
}

TimePoint DrainPolicy::acceptUntil() const
{
    return this->killedAt - scaled(acceptReserve, this->grace);
}

TimePoint DrainPolicy::answerUntil() const
{
    return this->killedAt - scaled(answerReserve, this->grace);
}

TimePoint DrainPolicy::exitAt() const
{
    return this->killedAt - scaled(exitReserve, this->grace);
}

std::optional<TimePoint> DrainPolicy::deadlineFor(const DrainingRequest &request, TimePoint now) const
{
    const TimePoint end = this->answerUntil();
    if (request.deadline <= end) {
        return request.deadline;
    }
    const std::chrono::milliseconds needed
        = request.idempotent ? std::min(request.latencyObjective, shortestTry) : nonIdempotentFactor * request.latencyObjective;
    if (now + needed > end) {
        return std::nullopt;
    }
    return end;
}

} // namespace Galenawell
