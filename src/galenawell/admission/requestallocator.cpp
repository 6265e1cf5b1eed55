#include "galenawell/admission/requestallocator.h"

#include <algorithm>
#include <cmath>

namespace Galenawell {

namespace {

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

RequestAllocator::RequestAllocator(RequestAllocatorOptions allocatorOptions, TimePoint now)
    : options(allocatorOptions)
    , advancedAt(now)
{
}

double RequestAllocator::capacity() const
{
    return this->limit.grantors == 0 ? 0 : this->limit.keptRequests + this->rate * seconds(this->options.keepTime);
}

double RequestAllocator::totalDemand() const
{
    double total = 0;
    for (const auto &[name, sharer] : this->fronts) {
        total += sharer.demand;
    }
    return total;
}

void RequestAllocator::setLimit(const AllocatedLimit &newLimit, TimePoint now)
{
    this->advance(now);
    this->limit = newLimit;
    this->rate = newLimit.grantors == 0 ? 0 : newLimit.perSecond / static_cast<double>(newLimit.grantors);
    this->available = std::min(this->available, this->capacity());
}

void RequestAllocator::advance(TimePoint now)
{
    const double passed = std::max(0.0, seconds(now - this->advancedAt));
    this->advancedAt = std::max(this->advancedAt, now);
    this->available = std::min(this->capacity(), this->available + this->rate * passed);
    std::erase_if(this->fronts, [&](const auto &entry) { return now - entry.second.reportedAt > this->options.reportTimeout; });
    const double total = this->totalDemand();
    for (auto &[name, sharer] : this->fronts) {
        const double part = total > 0 ? this->rate * sharer.demand / total : 0;
        const double bound = std::max(1.0, part);
        sharer.credit = std::clamp(sharer.credit + part * passed, -bound, bound);
    }
}

double RequestAllocator::needOf(const Sharer &sharer, const RequestDemand &demand) const
{
    const auto grantors = static_cast<double>(std::max<std::size_t>(this->limit.grantors, 1));
    const double expected = sharer.demand * seconds(this->options.horizon);
    if (this->totalDemand() > this->limit.perSecond) {
        // What one front holds in reserve is missing at the others, so it gets what it will use.
        return std::max(0.0, expected - demand.left) / grantors;
    }
    // Room for a burst. Every grantor may give one request, since what isn't used comes back.
    const double reserve = sharer.demand > 0 ? 1 + std::sqrt(expected) : 0;
    return std::ceil(std::max(0.0, expected + reserve - demand.left) / grantors);
}

bool RequestAllocator::mayTake(const Sharer &sharer, TimePoint now) const
{
    if (sharer.credit >= 1) {
        return true;
    }
    double claims = 0;
    for (const auto &[name, other] : this->fronts) {
        const bool isClaim = &other != &sharer && other.unserved >= 1 && now - other.reportedAt <= this->options.claimTime;
        claims += isClaim ? std::floor(std::max(0.0, std::min(other.credit, other.unserved))) : 0;
    }
    return this->available >= 1 + claims;
}

unsigned RequestAllocator::allocate(const InstanceName &front, const RequestDemand &demand, TimePoint now)
{
    this->advance(now);
    Sharer &sharer = this->fronts[front];
    sharer.demand = demand.perSecond;
    sharer.reportedAt = now;
    sharer.credit += demand.unused;
    this->available = std::min(this->capacity(), this->available + demand.unused);
    // A need that wasn't served remains the front's, but isn't counted again with the next report.
    const double need = this->needOf(sharer, demand);
    sharer.unserved = std::min(sharer.unserved + need, 1 + need);
    unsigned allocated = 0;
    while (sharer.unserved >= 1 && this->available >= 1 && this->mayTake(sharer, now)) {
        sharer.unserved -= 1;
        sharer.credit -= 1;
        this->available -= 1;
        ++allocated;
    }
    return allocated;
}

std::size_t RequestAllocator::sharers() const
{
    return this->fronts.size();
}

} // namespace Galenawell
