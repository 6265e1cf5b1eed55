// Tracks whether the control leader or a majority of the fronts confirms that the control view of a front is the newest.
// A front whose last confirmation is older than the limit must not serve.
#pragma once

#include "galenawell/core/clock.h"
#include "galenawell/core/identifiers.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

namespace Galenawell {

struct ConfirmationOptions
{
    InstanceName self;
    // Fronts in the settings, including this one.
    std::size_t configuredFronts = 1;
    std::chrono::milliseconds limit{3000};
};

class ConfirmationTracker
{
public:
    explicit ConfirmationTracker(ConfirmationOptions options);

    // Ignores a revision that is not newer than the held one.
    void updateHeldRevision(std::uint64_t revision);
    // The control leader confirmed that the revision is the newest. The limit counts from when the request was sent.
    void recordControlConfirmation(std::uint64_t revision, TimePoint requestedAt);
    // Records the reportedRevision of another front.
    void recordFrontRevision(const InstanceName &front, std::uint64_t revision, TimePoint requestedAt);

    bool confirmed(TimePoint now);
    // The revision to report to other fronts; 0 until a view was confirmed since the process started. A restarted front may
    // hold an older view than before, so it must not count towards a majority until then.
    std::uint64_t reportedRevision() const;
    // The front with the newest revision reported within the limit, if newer than the held one. Older reports are ignored: a
    // silent front can't send its view and would hide a live front with a newer one.
    std::optional<InstanceName> frontWithNewerView(TimePoint now) const;

private:
    struct RevisionReport
    {
        std::uint64_t revision = 0;
        TimePoint requestedAt;
    };

    bool confirmedByFronts(TimePoint now) const;

    ConfirmationOptions options;
    std::uint64_t heldRevision = 0;
    bool everConfirmed = false;
    // When the request was sent whose reply last confirmed the held revision.
    std::optional<TimePoint> controlConfirmedAt;
    std::map<InstanceName, RevisionReport> fronts;
};

} // namespace Galenawell
