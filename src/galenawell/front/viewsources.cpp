#include "galenawell/front/viewsources.h"

#include <algorithm>
#include <tuple>

namespace Galenawell {

namespace {

// Beyond this many missing revisions the newest ones share one entry.
constexpr std::size_t maximumMissingEntries = 64;

} // namespace

ViewSources::ViewSources(ViewSourcesOptions sourceOptions)
    : options(sourceOptions)
{
}

bool ViewSources::choose(const std::vector<ViewCandidate> &candidates)
{
    const InstanceName previous = this->sourceName;
    this->sourceName.clear();
    this->witnessName.clear();
    if (!candidates.empty()) {
        const ViewCandidate &best = candidates.front();
        this->sourceName = best.control;
        // One outage of a data centre shouldn't silence both.
        const auto elsewhere
            = std::ranges::find_if(candidates, [&best](const ViewCandidate &candidate) { return candidate.dataCentre != best.dataCentre; });
        if (elsewhere != candidates.end()) {
            this->witnessName = elsewhere->control;
        } else if (candidates.size() > 1) {
            this->witnessName = candidates[1].control;
        }
    }
    std::erase_if(this->reportedRevisions, [&candidates](const auto &reported) {
        return std::ranges::find(candidates, reported.first, &ViewCandidate::control) == candidates.end();
    });
    return this->sourceName != previous;
}

void ViewSources::onReport(const InstanceName &control, std::uint64_t revision, TimePoint now)
{
    this->reportedRevisions[control] = revision;
    if (revision <= std::max(this->newest, this->installed)) {
        return;
    }
    this->newest = revision;
    if (this->missing.size() >= maximumMissingEntries) {
        this->missing.back().revision = revision;
        return;
    }
    this->missing.push_back({.revision = revision, .knownAt = now});
}

void ViewSources::onInstalled(std::uint64_t revision)
{
    this->installed = std::max(this->installed, revision);
    while (!this->missing.empty() && this->missing.front().revision <= this->installed) {
        this->missing.pop_front();
    }
}

const InstanceName &ViewSources::source() const
{
    return this->sourceName;
}

std::uint64_t ViewSources::newestKnown() const
{
    return std::max(this->newest, this->installed);
}

std::optional<Duration> ViewSources::behindFor(TimePoint now) const
{
    if (this->missing.empty()) {
        return std::nullopt;
    }
    return now - this->missing.front().knownAt;
}

bool ViewSources::late(TimePoint now) const
{
    const std::optional<Duration> behind = this->behindFor(now);
    return behind && *behind > this->options.sourceTimeout;
}

bool ViewSources::wantsView(const InstanceName &control, TimePoint now) const
{
    return this->installed == 0 || this->sourceName.empty() || control == this->sourceName || this->late(now);
}

std::optional<std::uint64_t> ViewSources::notifyAbove(const InstanceName &control) const
{
    if (control != this->witnessName) {
        return std::nullopt;
    }
    return this->newestKnown();
}

std::optional<InstanceName> ViewSources::nextRequest(TimePoint now)
{
    // Before the first view every control process is asked for it anyway.
    if (this->installed == 0 || !this->late(now) || now < this->nextRequestAt) {
        return std::nullopt;
    }
    const InstanceName *best = nullptr;
    std::tuple<bool, bool, std::uint64_t> bestRank;
    for (const auto &[control, revision] : this->reportedRevisions) {
        const std::tuple rank(control != this->sourceName, control != this->lastRequested, revision);
        if (revision > this->installed && (best == nullptr || rank > bestRank)) {
            best = &control;
            bestRank = rank;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    this->nextRequestAt = now + this->options.requestInterval;
    this->lastRequested = *best;
    return this->lastRequested;
}

} // namespace Galenawell
