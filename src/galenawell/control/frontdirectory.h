// The fronts that a control process has heard of, and which of them callers are sent to.
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
    // Takes requests of new callers.
    bool accepting = false;
};

struct FrontDirectoryOptions
{
    // A front that wasn't heard for this long is left out of answers.
    std::chrono::milliseconds silenceLimit{1600};
    // A front that wasn't heard for this long no longer counts for shares of limits.
    std::chrono::milliseconds countFor{4000};
    std::size_t maximumEntries = 64;
    // Fewer fronts than this in the caller's data centre are filled up with others, so that the loss of one isn't felt.
    std::size_t leastEntries = 2;
};

class FrontDirectory
{
public:
    explicit FrontDirectory(FrontDirectoryOptions options);

    // True if callers would now get another answer.
    // 0 for an unknown front.
    Incarnation newestRunOf(const InstanceName &front) const;
    bool report(const FrontReport &front, TimePoint now);
    // Caller addresses, those of the caller's data centre alone if there are enough of them.
    std::vector<std::string> entryAddresses(const std::string &dataCentre, TimePoint now) const;
    // Fronts that count for shares; at least 1.
    std::size_t liveCount(TimePoint now) const;
    // Whether some front was heard within the silence limit, taking requests or not.
    bool anyHeard(TimePoint now) const;
    void expire(TimePoint now);

private:
    struct Known
    {
        FrontReport report;
        TimePoint heardAt;
    };

    FrontDirectoryOptions options;
    std::map<InstanceName, Known> fronts;
};

} // namespace Galenawell
