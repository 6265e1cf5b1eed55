#include "galenawell/claims/crashsuspicions.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace Galenawell {

ContentDigest digestOfContent(const std::vector<std::string_view> &parts)
{
    std::string text;
    for (const std::string_view part : parts) {
        text += std::to_string(part.size()) + ":";
        text += part;
    }
    XXH128_canonical_t canonical;
    XXH128_canonicalFromHash(&canonical, XXH3_128bits(text.data(), text.size()));
    return {reinterpret_cast<const char *>(canonical.digest), sizeof(canonical.digest)};
}

CrashSuspicions::CrashSuspicions(CrashSuspicionsOptions newOptions)
    : options(newOptions)
{
}

bool CrashSuspicions::add(const CrashEvidence &evidence, TimePoint now)
{
    const auto found = this->entries.find(evidence.digest);
    if (found != this->entries.end() && this->hasExpired(found->second, now)) {
        this->entries.erase(found);
    }
    if (!this->entries.contains(evidence.digest)) {
        this->evictDownTo(std::max<std::size_t>(this->options.maximumEntries, 1) - 1);
    }
    Entry &entry = this->entries[evidence.digest];
    const bool isFull = entry.evidence.size() >= this->options.maximumEvidence;
    if (isFull || !entry.evidence.insert(evidence).second) {
        return false;
    }
    // Evidence that another process held may be older than what is known.
    entry.lastEvidenceAt = std::max(entry.lastEvidenceAt, now);
    return true;
}

Suspicion CrashSuspicions::check(const ContentDigest &digest, TimePoint now) const
{
    const auto found = this->entries.find(digest);
    if (found == this->entries.end() || this->hasExpired(found->second, now)) {
        return Suspicion::None;
    }
    return this->isQuarantined(found->second) ? Suspicion::Quarantined : Suspicion::Suspect;
}

void CrashSuspicions::clear(const ContentDigest &digest)
{
    const auto found = this->entries.find(digest);
    if (found != this->entries.end() && !this->isQuarantined(found->second)) {
        this->entries.erase(found);
    }
}

std::set<CrashEvidence> CrashSuspicions::remove(const ContentDigest &digest)
{
    const auto found = this->entries.find(digest);
    if (found == this->entries.end()) {
        return {};
    }
    std::set<CrashEvidence> evidence = std::move(found->second.evidence);
    this->entries.erase(found);
    return evidence;
}

std::vector<ContentDigest> CrashSuspicions::quarantined(TimePoint now) const
{
    std::vector<ContentDigest> digests;
    for (const auto &[digest, entry] : this->entries) {
        if (this->isQuarantined(entry) && !this->hasExpired(entry, now)) {
            digests.push_back(digest);
        }
    }
    return digests;
}

std::vector<TimedEvidence> CrashSuspicions::quarantinedEvidence(TimePoint now, std::size_t limit) const
{
    std::vector<TimedEvidence> result;
    for (const auto &[digest, entry] : this->entries) {
        if (!this->isQuarantined(entry) || this->hasExpired(entry, now)) {
            continue;
        }
        std::size_t left = this->options.quarantineAfter;
        for (const CrashEvidence &evidence : entry.evidence) {
            if (left-- == 0) {
                break;
            }
            result.push_back({.evidence = evidence, .at = entry.lastEvidenceAt});
        }
    }
    std::ranges::stable_sort(result, std::greater<>(), &TimedEvidence::at);
    result.resize(std::min(result.size(), limit));
    return result;
}

void CrashSuspicions::expire(TimePoint now)
{
    std::erase_if(this->entries, [this, now](const auto &entry) { return this->hasExpired(entry.second, now); });
}

bool CrashSuspicions::reserve(const ReplicaKey &replica, const ContentDigest &digest)
{
    return this->reserved.emplace(replica, digest).second;
}

void CrashSuspicions::release(const ReplicaKey &replica, const ContentDigest &digest)
{
    const auto found = this->reserved.find(replica);
    if (found != this->reserved.end() && found->second == digest) {
        this->reserved.erase(found);
    }
}

std::vector<CrashEvidence> CrashSuspicions::all() const
{
    std::vector<CrashEvidence> evidence;
    for (const auto &[digest, entry] : this->entries) {
        evidence.insert(evidence.end(), entry.evidence.begin(), entry.evidence.end());
    }
    return evidence;
}

void CrashSuspicions::reconfigure(const CrashSuspicionsOptions &newOptions)
{
    this->options = newOptions;
    this->evictDownTo(newOptions.maximumEntries);
}

bool CrashSuspicions::isQuarantined(const Entry &entry) const
{
    return entry.evidence.size() >= this->options.quarantineAfter;
}

bool CrashSuspicions::hasExpired(const Entry &entry, TimePoint now) const
{
    const auto lifetime = this->isQuarantined(entry) ? this->options.quarantine : this->options.suspectTime;
    return now - entry.lastEvidenceAt >= lifetime;
}

void CrashSuspicions::evictDownTo(std::size_t limit)
{
    while (this->entries.size() > limit) {
        const auto oldest = std::ranges::min_element(this->entries, {}, [this](const auto &entry) {
            return std::pair(this->isQuarantined(entry.second), entry.second.lastEvidenceAt);
        });
        this->entries.erase(oldest);
    }
}

} // namespace Galenawell
