#include "galenawell/control/frontdirectory.h"

#include <algorithm>
#include <utility>

namespace Galenawell {

FrontDirectory::FrontDirectory(FrontDirectoryOptions directoryOptions)
    : options(directoryOptions)
{
}

Incarnation FrontDirectory::newestIncarnation(const InstanceName &front) const
{
    const auto tracked = this->fronts.find(front);
    return tracked == this->fronts.end() ? 0 : tracked->second.report.incarnation;
}

bool FrontDirectory::report(const FrontReport &front, TimePoint now)
{
    TrackedFront &tracked = this->fronts[front.instance];
    if (front.incarnation < tracked.report.incarnation) {
        return false;
    }
    const bool changed = tracked.report.accepting != front.accepting || tracked.report.callerAddress != front.callerAddress;
    tracked = TrackedFront{.report = front, .reportedAt = now};
    return changed;
}

std::vector<std::string> FrontDirectory::entryAddresses(const std::string &dataCentre, TimePoint now) const
{
    std::vector<std::string> local;
    std::vector<std::string> remote;
    for (const auto &[name, tracked] : this->fronts) {
        if (tracked.report.accepting && now - tracked.reportedAt <= this->options.reportTimeout) {
            (tracked.report.dataCentre == dataCentre ? local : remote).push_back(tracked.report.callerAddress);
        }
    }
    if (local.size() < this->options.minimumEntries) {
        local.insert(local.end(), remote.begin(), remote.end());
    }
    local.resize(std::min(local.size(), this->options.maximumEntries));
    return local;
}

std::size_t FrontDirectory::liveCount(TimePoint now) const
{
    const auto live = std::ranges::count_if(
        this->fronts, [this, now](const auto &entry) { return now - entry.second.reportedAt <= this->options.liveTimeout; });
    return std::max<std::size_t>(1, static_cast<std::size_t>(live));
}

bool FrontDirectory::hasRecentReport(TimePoint now) const
{
    return std::ranges::any_of(this->fronts,
                               [this, now](const auto &entry) { return now - entry.second.reportedAt <= this->options.reportTimeout; });
}

void FrontDirectory::expire(TimePoint now)
{
    std::erase_if(this->fronts, [this, now](const auto &entry) { return now - entry.second.reportedAt > 4 * this->options.liveTimeout; });
}

} // namespace Galenawell
