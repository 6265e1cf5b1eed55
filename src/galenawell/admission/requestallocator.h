// Divides one control process's part of a server's request limit among the fronts by their need. A front may only send what
// it was allocated, so the sum over all fronts stays within the limit however the fronts' needs, number or knowledge change.
#pragma once

#include "galenawell/core/clock.h"
#include "galenawell/core/identifiers.h"
#include "galenawell/routing/requestlimit.h"

#include <chrono>
#include <cstddef>
#include <map>

namespace Galenawell {

struct RequestAllocatorOptions
{
    // What isn't allocated is kept up to some requests and the rate of this time, the longest between two reports of a front.
    std::chrono::milliseconds keepTime{600};
    // A front gets what it needs for this time, until a later report has been answered.
    std::chrono::milliseconds horizon{1000};
    // How long what a front has earned is kept for it.
    std::chrono::milliseconds claimTime{1200};
    // A front that hasn't reported for this long has no part.
    std::chrono::milliseconds reportTimeout{3000};
};

// One control process's part in a limit.
struct AllocatedLimit
{
    double perSecond = 0;
    // Number of control processes that give out an equal part each; 0 if this one gives out none.
    std::size_t grantors = 1;
    double keptRequests = 1;
};

class RequestAllocator
{
public:
    // Begins with nothing to allocate.
    RequestAllocator(RequestAllocatorOptions options, TimePoint now);

    void setLimit(const AllocatedLimit &limit, TimePoint now);
    // Takes back what ended unused, and returns how many requests the front may send. In any time T, all fronts together get at
    // most the kept requests and the rate of T, besides what was taken back.
    unsigned allocate(const InstanceName &front, const RequestDemand &demand, TimePoint now);
    // Fronts that reported a need recently.
    std::size_t sharers() const;

private:
    struct Sharer
    {
        double demand = 0;
        // Requests that the front's part of the rate has earned less those that it got; bounded both ways.
        double credit = 0;
        // What the front needs and didn't get yet, with parts of a request.
        double unserved = 0;
        TimePoint reportedAt;
    };

    void advance(TimePoint now);
    double capacity() const;
    double totalDemand() const;
    // Requests to give the front if there are enough.
    double needOf(const Sharer &sharer, const RequestDemand &demand) const;
    // Whether the sharer may get one more request without taking what another one has earned.
    bool mayTake(const Sharer &sharer, TimePoint now) const;

    RequestAllocatorOptions options;
    AllocatedLimit limit;
    // This process's part of the limit.
    double rate = 0;
    double available = 0;
    TimePoint advancedAt;
    std::map<InstanceName, Sharer> fronts;
};

} // namespace Galenawell
