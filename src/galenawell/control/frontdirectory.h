// Tracks the fronts that report to a control process, and selects the entry addresses that callers are given.
#pragma once

#include "galenawell/core/clock.h"
#include "galenawell/core/identifiers.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace Galenawell {

struct FrontReport
{
    InstanceName instance;
    Incarnation incarnation = 0;
    // "IP:port" for callers.
    std::string callerAddress;
    std::string dataCentre;
    // Whether it accepts requests of new callers.
    bool accepting = false;
};

struct FrontDirectoryOptions
{
    // A front without a report for this long isn't listed to callers.
    std::chrono::milliseconds reportTimeout{1600};
    // A front without a report for this long no longer counts when limits are divided among fronts.
    std::chrono::milliseconds liveTimeout{4000};
    std::size_t maximumEntries = 64;
    // Fronts of other data centres are added below this number, so that the failure of one front leaves an entry.
    std::size_t minimumEntries = 2;
};

class FrontDirectory
{
public:
    explicit FrontDirectory(FrontDirectoryOptions options);

    // 0 for an unknown front.
    Incarnation newestIncarnation(const InstanceName &front) const;
    // Whether the caller address or `accepting` of the front changed.
    bool report(const FrontReport &front, TimePoint now);
    // Caller addresses in the caller's data centre, and those of other data centres if there are fewer than minimumEntries.
    std::vector<std::string> entryAddresses(const std::string &dataCentre, TimePoint now) const;
    // Fronts that share the limits; at least 1.
    std::size_t liveCount(TimePoint now) const;
    // Whether any front, accepting or not, reported within reportTimeout.
    bool hasRecentReport(TimePoint now) const;
    void expire(TimePoint now);

private:
    struct TrackedFront
    {
        FrontReport report;
        TimePoint reportedAt;
    };

    FrontDirectoryOptions options;
    std::map<InstanceName, TrackedFront> fronts;
};

} // namespace Galenawell
