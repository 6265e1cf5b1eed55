// Tracks the fronts that report to a control process, and selects the entry addresses that callers are given. All control
// processes select the same fronts without asking one another, because the order depends only on the names of the fronts.
#pragma once

#include "galenawell/control/entrysetsize.h"
#include "galenawell/core/clock.h"
#include "galenawell/core/identifiers.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
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
    // Time until the next report is expected.
    std::chrono::milliseconds reportInterval{500};
    // Recent mean time for which the front's event loop is late.
    std::chrono::microseconds loopDelay{0};
};

struct FrontDirectoryOptions
{
    // A front whose report is late by this much isn't listed to callers.
    std::chrono::milliseconds reportTimeout{1100};
    // A front without a report for this long no longer counts when limits are divided among fronts.
    std::chrono::milliseconds liveTimeout{4000};
    std::size_t maximumEntries = 64;
    // Fronts of other data centres are added below this number, so that the failure of one front leaves an entry.
    std::size_t minimumEntries = 2;
    // How long a front counts as an entry after it was last one: it may not have heard of the change, and callers keep a
    // directory answer for up to three times the cache duration.
    std::chrono::milliseconds entryRetention{10000};
    EntrySetSizeOptions entrySet{};
    // When the reports began.
    TimePoint startedAt{};
};

struct EntrySetChange
{
    std::string dataCentre;
    std::size_t entries = 0;
    // Fronts that could be entries.
    std::size_t available = 0;
    // Mean event loop delay of the entries before.
    std::chrono::microseconds loopDelay{0};
};

class FrontDirectory
{
public:
    explicit FrontDirectory(FrontDirectoryOptions options);

    // 0 for an unknown front.
    Incarnation newestIncarnation(const InstanceName &front) const;
    // Whether the caller address or `accepting` of the front changed.
    bool report(const FrontReport &front, TimePoint now);
    // Adapts the number of entries of each data centre to the reported load. To be called several times a second. Returns the
    // data centres whose number changed.
    std::vector<EntrySetChange> updateEntries(TimePoint now);
    // Caller addresses in the caller's data centre, and those of other data centres if there are fewer than minimumEntries.
    std::vector<std::string> entryAddresses(const std::string &dataCentre, TimePoint now) const;
    // Whether callers are given the front, as of the last update.
    bool isEntry(const InstanceName &front) const;
    // Fronts that share the limits; at least 1.
    std::size_t liveCount(TimePoint now) const;
    // Fronts that are entries, or were recently; at least 1. Unknown until reports were received for the retention time.
    std::optional<std::size_t> entryCount(TimePoint now) const;
    // Whether any front, accepting or not, reported within its reporting interval.
    bool hasRecentReport(TimePoint now) const;
    void expire(TimePoint now);

private:
    struct TrackedFront
    {
        FrontReport report;
        TimePoint reportedAt;
        // Position in the order in which fronts of a data centre become entries.
        std::uint64_t rank = 0;
        bool entry = false;
        // When it was last an entry; unset for never.
        TimePoint lastEntryAt;
    };

    FrontDirectoryOptions options;
    std::map<InstanceName, TrackedFront> fronts;
    std::map<std::string, EntrySetSize> sizes;
    // Entries of each data centre, as of the last update.
    std::map<std::string, std::size_t> entryLimits;

    bool isRecent(const TrackedFront &front, TimePoint now) const;
    // Fronts of the data centre that callers can be given, by rank.
    std::vector<const TrackedFront *> candidates(const std::string &dataCentre, TimePoint now) const;
    std::size_t entryLimit(const std::string &dataCentre) const;
};

} // namespace Galenawell
