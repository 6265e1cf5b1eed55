#include "galenawell/claims/suspectcontents.h"

#include <algorithm>
#include <utility>

namespace Galenawell {

namespace {

// Some hundred bytes each, in one message.
constexpr std::size_t maximumToldEvidence = 2048;

} // namespace

SuspectContents::SuspectContents(CrashSuspicionsOptions suspicionOptions)
    : options(suspicionOptions)
    , suspicions(suspicionOptions)
{
}

void SuspectContents::add(const CrashEvidence &evidence, TimePoint at)
{
    const auto known = this->cleared.find(evidence.digest);
    if (known == this->cleared.end() || !known->second.evidence.contains(evidence)) {
        this->suspicions.add(evidence, at);
    }
}

void SuspectContents::clear(const ContentDigest &content, TimePoint now)
{
    std::set<CrashEvidence> removed = this->suspicions.remove(content);
    if (removed.empty()) {
        return;
    }
    ClearedEvidence &entry = this->cleared[content];
    entry.evidence.merge(removed);
    entry.clearedAt = now;
    if (this->cleared.size() > this->options.maximumEntries) {
        this->cleared.erase(std::ranges::min_element(this->cleared, {}, [](const auto &candidate) { return candidate.second.clearedAt; }));
    }
}

const std::vector<ContentDigest> &SuspectContents::list(TimePoint now)
{
    this->suspicions.expire(now);
    std::erase_if(this->cleared, [this, now](const auto &entry) { return now - entry.second.clearedAt >= this->options.quarantine; });
    std::vector<ContentDigest> suspects = this->suspicions.quarantined(now);
    if (suspects != this->current) {
        this->current = std::move(suspects);
        ++this->listVersion;
    }
    return this->current;
}

const std::vector<ContentDigest> &SuspectContents::listed() const
{
    return this->current;
}

std::int64_t SuspectContents::version() const
{
    return this->listVersion;
}

std::vector<TimedEvidence> SuspectContents::evidence(TimePoint now) const
{
    return this->suspicions.quarantinedEvidence(now, maximumToldEvidence);
}

} // namespace Galenawell
