// Contents of requests that crashed several backend servers, from the evidence of all fronts. Kept in memory by each control
// process; fronts report their evidence again to one that starts, and the other control processes theirs.
#pragma once

#include "galenawell/claims/crashsuspicions.h"
#include "galenawell/core/clock.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace Galenawell {

class SuspectContents
{
public:
    explicit SuspectContents(CrashSuspicionsOptions options);

    // `at`: when it was found, which is earlier if another process held it.
    void add(const CrashEvidence &evidence, TimePoint at);
    // For content that ran without a crash: only evidence that isn't known yet counts from now on.
    void clear(const ContentDigest &content, TimePoint now);
    // Removes what has expired and returns the suspect contents. The version changes with the list.
    const std::vector<ContentDigest> &list(TimePoint now);
    // The list of the last call of list().
    const std::vector<ContentDigest> &listed() const;
    std::int64_t version() const;
    // What another control process needs to find the same contents suspect.
    std::vector<TimedEvidence> evidence(TimePoint now) const;

private:
    struct ClearedEvidence
    {
        std::set<CrashEvidence> evidence;
        TimePoint clearedAt;
    };

    CrashSuspicionsOptions options;
    CrashSuspicions suspicions;
    // Fronts may report evidence again that was cleared. At most as many entries as suspicions.
    std::map<ContentDigest, ClearedEvidence> cleared;
    std::vector<ContentDigest> current;
    std::int64_t listVersion = 1;
};

} // namespace Galenawell
