// Evidence that a request's content crashes backend servers, and the quarantine that follows repeated evidence.
#pragma once

#include "galenawell/core/clock.h"
#include "galenawell/core/identifiers.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Galenawell {

using ContentDigest = std::string;

// The parts are kept apart, so that moving bytes from one to the next changes the digest.
ContentDigest digestOfContent(const std::vector<std::string_view> &parts);

struct CrashEvidence
{
    ContentDigest digest;
    // Replica whose connection was lost while it ran the content.
    ReplicaKey replica;
    Incarnation replicaIncarnation = 0;

    // False positive of the linter: it takes the zero in a defaulted comparison for a pointer.
    friend auto operator<=>(const CrashEvidence &, const CrashEvidence &) = default; // NOLINT(modernize-use-nullptr)
};

struct TimedEvidence
{
    CrashEvidence evidence;
    // Of the newest evidence against the same content.
    TimePoint at;
};

enum class Suspicion : std::uint8_t {
    None,
    // One piece of evidence. The next attempt waits for the other fronts and is the only suspect on its replica.
    Suspect,
    // Refused by every front until the quarantine ends.
    Quarantined,
};

struct CrashSuspicionsOptions
{
    std::size_t quarantineAfter = 2;
    std::chrono::milliseconds quarantine{std::chrono::minutes(10)};
    // Time after which evidence below quarantineAfter expires.
    std::chrono::milliseconds suspectTime{std::chrono::minutes(2)};
    std::size_t maximumEntries = 10'000;
    // Evidence kept per content. Further evidence has no effect once it is quarantined.
    std::size_t maximumEvidence = 16;
};

class CrashSuspicions
{
public:
    explicit CrashSuspicions(CrashSuspicionsOptions options);

    // Records evidence of this or another front. A duplicate doesn't prolong the suspicion. True if it was new and should
    // be forwarded.
    bool add(const CrashEvidence &evidence, TimePoint now);
    Suspicion check(const ContentDigest &digest, TimePoint now) const;
    // For content that ran without a crash: removes its evidence unless it is quarantined.
    void clear(const ContentDigest &digest);
    // Removes the evidence of the content also if it is quarantined, and returns it.
    std::set<CrashEvidence> remove(const ContentDigest &digest);
    std::vector<ContentDigest> quarantined(TimePoint now) const;
    // At most as many pieces, those of the newest suspicions first.
    std::vector<TimedEvidence> quarantinedEvidence(TimePoint now, std::size_t limit) const;
    void expire(TimePoint now);

    // Reserves the replica for one suspect, so that a crash is attributed to one content. False if it is reserved already.
    bool reserve(const ReplicaKey &replica, const ContentDigest &digest);
    void release(const ReplicaKey &replica, const ContentDigest &digest);

    // For a front that joins.
    std::vector<CrashEvidence> all() const;
    void reconfigure(const CrashSuspicionsOptions &newOptions);

private:
    struct Entry
    {
        std::set<CrashEvidence> evidence;
        TimePoint lastEvidenceAt;
    };

    bool isQuarantined(const Entry &entry) const;
    bool hasExpired(const Entry &entry, TimePoint now) const;
    void evictDownTo(std::size_t limit);

    CrashSuspicionsOptions options;
    // At most maximumEntries. The oldest entry is evicted first, quarantined ones last.
    std::map<ContentDigest, Entry> entries;
    std::map<ReplicaKey, ContentDigest> reserved;
};

} // namespace Galenawell
