#include "galenawell/control/frontdirectory.h"

#include <algorithm>
#include <utility>

namespace Galenawell {

FrontDirectory::FrontDirectory(FrontDirectoryOptions directoryOptions)
    : options(directoryOptions)
{
}

Incarnation FrontDirectory::newestRunOf(const InstanceName &front) const
{
    const auto known = this->fronts.find(front);
    return known == this->fronts.end() ? 0 : known->second.report.incarnation;
}

bool FrontDirectory::report(const FrontReport &front, TimePoint now)
{
    Known &known = this->fronts[front.instance];
    if (front.incarnation < known.report.incarnation) {
        return false;
    }
    const bool changed = known.report.accepting != front.accepting || known.report.callerAddress != front.callerAddress;
    known = Known{.report = front, .heardAt = now};
    return changed;
}

std::vector<std::string> FrontDirectory::entryAddresses(const std::string &dataCentre, TimePoint now) const
{
    std::vector<std::string> near;
    std::vector<std::string> far;
    for (const auto &[name, known] : this->fronts) {
        if (known.report.accepting && now - known.heardAt <= this->options.silenceLimit) {
            (known.report.dataCentre == dataCentre ? near : far).push_back(known.report.callerAddress);
        }
    }
    if (near.size() < this->options.leastEntries) {
        near.insert(near.end(), far.begin(), far.end());
    }
    near.resize(std::min(near.size(), this->options.maximumEntries));
    return near;
}

std::size_t FrontDirectory::liveCount(TimePoint now) const
{
    const auto live = std::ranges::count_if(
        this->fronts, [this, now](const auto &entry) { return now - entry.second.heardAt <= this->options.countFor; });
    return std::max<std::size_t>(1, static_cast<std::size_t>(live));
}

bool FrontDirectory::anyHeard(TimePoint now) const
{
    return std::ranges::any_of(this->fronts,
                               [this, now](const auto &entry) { return now - entry.second.heardAt <= this->options.silenceLimit; });
}

void FrontDirectory::expire(TimePoint now)
{
    std::erase_if(this->fronts, [this, now](const auto &entry) { return now - entry.second.heardAt > 4 * this->options.countFor; });
}

} // namespace Galenawell
