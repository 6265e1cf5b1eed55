// Decides which control process sends a front its control view, and when the front asks another one for it. A state machine
// without sockets or clock reads.
#pragma once

#include "galenawell/core/clock.h"
#include "galenawell/core/identifiers.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Galenawell {

struct ViewSourcesOptions
{
    // A newer view that the source doesn't send within this time is requested from the control processes that have it.
    std::chrono::milliseconds sourceTimeout{250};
    // Pause between two such requests.
    std::chrono::milliseconds requestInterval{250};
};

struct ViewCandidate
{
    InstanceName control;
    std::string dataCentre;
};

class ViewSources
{
public:
    explicit ViewSources(ViewSourcesOptions sourceOptions = {});

    // Sets source and witness from the control processes in contact, best first. True if the source changed.
    bool choose(const std::vector<ViewCandidate> &candidates);
    // Revision of the newest view of a control process, as stated in its reply.
    void onReport(const InstanceName &control, std::uint64_t revision, TimePoint now);
    void onInstalled(std::uint64_t revision);

    const InstanceName &source() const;
    bool wantsView(const InstanceName &control, TimePoint now) const;
    // The witness is to reply at once when it has a revision above this one; absent for other control processes.
    std::optional<std::uint64_t> notifyAbove(const InstanceName &control) const;
    // Time since a revision newer than the installed one was first reported; absent if there is none.
    std::optional<Duration> behindFor(TimePoint now) const;
    // The control process to request the view from now, if the source is late. Limits the rate of such requests.
    std::optional<InstanceName> nextRequest(TimePoint now);
    std::uint64_t newestKnown() const;

private:
    struct KnownRevision
    {
        std::uint64_t revision = 0;
        TimePoint knownAt;
    };

    bool late(TimePoint now) const;

    ViewSourcesOptions options;
    // Sends the views. Views are the same in all control processes and large, so only one sends them while it isn't late.
    InstanceName sourceName;
    // Tells of newer views without sending them, so that a source that answers but is behind the others is noticed.
    InstanceName witnessName;
    // By the control processes in contact.
    std::map<InstanceName, std::uint64_t> reportedRevisions;
    std::uint64_t installed = 0;
    std::uint64_t newest = 0;
    // Revisions above the installed one, ascending, with the time when each was first reported. The first one decides how
    // late the source is, however many follow it.
    std::deque<KnownRevision> missing;
    TimePoint nextRequestAt;
    InstanceName lastRequested;
};

} // namespace Galenawell
