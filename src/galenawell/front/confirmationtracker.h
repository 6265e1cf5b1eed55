// Decides whether the control view that a front holds is still confirmed as the newest: by the control leader, or by a
// majority of the fronts. Without either for the limit, the front must not serve.
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
    // All fronts in the settings, this one included.
    std::size_t configuredFronts = 1;
    std::chrono::milliseconds limit{3000};
};

class ConfirmationTracker
{
public:
    explicit ConfirmationTracker(ConfirmationOptions options);

    // This front now has the view of the revision; views only get newer.
    void holdView(std::uint64_t revision);
    // The control leader confirmed that the revision is the newest. `requestedAt` is when the question was sent.
    void confirmedByControl(std::uint64_t revision, TimePoint requestedAt);
    // Another front stated the revision that it holds as a confirmed holder; 0 for none. `requestedAt` as above.
    void heardFromFront(const InstanceName &front, std::uint64_t revision, TimePoint requestedAt);

    bool confirmed(TimePoint now);
    // The revision to state to other fronts: 0 until the view was confirmed once in this life of the process. A restarted
    // front may hold an older view than before, so it must not count towards a majority until then.
    std::uint64_t statedRevision() const;
    // The front that stated the newest revision within the limit, if that is newer than the held one. A silent front is left
    // out: it can't hand over its view, and would hide a live front with a less recent one.
    std::optional<InstanceName> frontWithNewerView(TimePoint now) const;

private:
    struct Heard
    {
        std::uint64_t revision = 0;
        TimePoint at;
    };

    bool confirmedByFronts(TimePoint now) const;

    ConfirmationOptions options;
    std::uint64_t held = 0;
    bool holder = false;
    // The last confirmation by the control leader, of exactly the held revision.
    std::optional<TimePoint> controlConfirmed;
    std::map<InstanceName, Heard> fronts;
};

} // namespace Galenawell
