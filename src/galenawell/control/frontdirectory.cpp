#include "galenawell/control/frontdirectory.h"

#include <algorithm>
#include <set>
#include <span>
#include <utility>
#include <xxhash.h>

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
    tracked.report = front;
    tracked.reportedAt = now;
    tracked.rank = XXH3_64bits(front.instance.data(), front.instance.size());
    return changed;
}

bool FrontDirectory::isRecent(const TrackedFront &front, TimePoint now) const
{
    return now - front.reportedAt <= front.report.reportInterval + this->options.reportTimeout;
}

std::vector<const FrontDirectory::TrackedFront *> FrontDirectory::candidates(const std::string &dataCentre, TimePoint now) const
{
    std::vector<const TrackedFront *> found;
    for (const auto &[name, tracked] : this->fronts) {
        if (tracked.report.accepting && tracked.report.dataCentre == dataCentre && this->isRecent(tracked, now)) {
            found.push_back(&tracked);
        }
    }
    std::ranges::sort(found, {}, &TrackedFront::rank);
    return found;
}

std::size_t FrontDirectory::entryLimit(const std::string &dataCentre) const
{
    const auto limit = this->entryLimits.find(dataCentre);
    return limit == this->entryLimits.end() ? this->options.entrySet.minimumSize : limit->second;
}

std::vector<EntrySetChange> FrontDirectory::updateEntries(TimePoint now)
{
    std::vector<EntrySetChange> changes;
    std::set<std::string> dataCentres;
    for (auto &[name, tracked] : this->fronts) {
        dataCentres.insert(tracked.report.dataCentre);
    }
    std::set<const TrackedFront *> entries;
    for (const std::string &dataCentre : dataCentres) {
        const std::vector<const TrackedFront *> ranked = this->candidates(dataCentre, now);
        std::chrono::microseconds delay{0};
        std::size_t carrying = 0;
        for (const TrackedFront *front : ranked) {
            if (front->entry) {
                delay += front->report.loopDelay;
                ++carrying;
            }
        }
        EntrySetSize &size = this->sizes.try_emplace(dataCentre, this->options.entrySet).first->second;
        delay /= static_cast<std::int64_t>(std::max<std::size_t>(carrying, 1));
        const std::size_t limit = size.update(ranked.size(), delay, now);
        if (std::exchange(this->entryLimits[dataCentre], limit) != limit) {
            changes.push_back({.dataCentre = dataCentre, .entries = limit, .available = ranked.size(), .loopDelay = delay});
        }
        entries.insert(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(std::min(limit, ranked.size())));
    }
    for (auto &[name, tracked] : this->fronts) {
        tracked.entry = entries.contains(&tracked);
        if (tracked.entry) {
            tracked.lastEntryAt = now;
        }
    }
    return changes;
}

std::vector<std::string> FrontDirectory::entryAddresses(const std::string &dataCentre, TimePoint now) const
{
    std::vector<std::string> addresses;
    const auto add = [&addresses](const std::vector<const TrackedFront *> &ranked, std::size_t limit) {
        const std::size_t before = addresses.size();
        for (const TrackedFront *front : std::span(ranked).first(std::min(limit, ranked.size()))) {
            addresses.push_back(front->report.callerAddress);
        }
        std::sort(addresses.begin() + static_cast<std::ptrdiff_t>(before), addresses.end());
    };
    add(this->candidates(dataCentre, now), this->entryLimit(dataCentre));
    if (addresses.size() < this->options.minimumEntries) {
        std::set<std::string> others;
        for (const auto &[name, tracked] : this->fronts) {
            others.insert(tracked.report.dataCentre);
        }
        others.erase(dataCentre);
        for (const std::string &other : others) {
            add(this->candidates(other, now), this->entryLimit(other));
        }
    }
    addresses.resize(std::min(addresses.size(), this->options.maximumEntries));
    return addresses;
}

bool FrontDirectory::isEntry(const InstanceName &front) const
{
    const auto tracked = this->fronts.find(front);
    return tracked != this->fronts.end() && tracked->second.entry;
}

std::size_t FrontDirectory::liveCount(TimePoint now) const
{
    const auto live = std::ranges::count_if(
        this->fronts, [this, now](const auto &entry) { return now - entry.second.reportedAt <= this->options.liveTimeout; });
    return std::max<std::size_t>(1, static_cast<std::size_t>(live));
}

std::optional<std::size_t> FrontDirectory::entryCount(TimePoint now) const
{
    if (now - this->options.startedAt < this->options.entryRetention) {
        return std::nullopt;
    }
    const auto entries = std::ranges::count_if(this->fronts, [this, now](const auto &entry) {
        return entry.second.lastEntryAt != TimePoint() && now - entry.second.lastEntryAt <= this->options.entryRetention;
    });
    return std::max<std::size_t>(1, static_cast<std::size_t>(entries));
}

bool FrontDirectory::hasRecentReport(TimePoint now) const
{
    return std::ranges::any_of(this->fronts, [this, now](const auto &entry) { return this->isRecent(entry.second, now); });
}

void FrontDirectory::expire(TimePoint now)
{
    const Duration retention = std::max<Duration>(4 * this->options.liveTimeout, this->options.entryRetention);
    std::erase_if(this->fronts, [&](const auto &entry) { return now - entry.second.reportedAt > retention; });
}

} // namespace Galenawell
