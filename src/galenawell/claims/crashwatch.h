// A front's part in detecting requests that crash backend servers: collects lost connections, keeps those whose server then
// ended as evidence for the control processes, and knows the contents that these found suspect.
#pragma once

#include "galenawell/claims/crashsuspicions.h"
#include "galenawell/core/clock.h"
#include "galenawell/core/identifiers.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Galenawell {

struct CrashWatchOptions
{
    // A loss without a sign that the server ended is forgotten after this time.
    std::chrono::milliseconds confirmationTime{10000};
    // How long confirmed evidence is reported to control processes that start.
    std::chrono::milliseconds evidenceTime{std::chrono::minutes(10)};
    std::size_t maximumLosses = 512;
    std::size_t maximumEvidence = 128;
    std::size_t maximumCleared = 64;
};

// What the front tells the control processes. `number` rises with each change.
struct CrashReport
{
    std::uint64_t number = 0;
    std::vector<CrashEvidence> evidence;
    // Suspect contents that have run without a crash.
    std::vector<ContentDigest> cleared;
};

class CrashWatch
{
public:
    CrashWatch() = default;
    explicit CrashWatch(CrashWatchOptions options);

    // The connection of a request was lost, or silent until its timeout, while the server may have run it.
    void onLost(const CrashEvidence &loss, TimePoint now);
    // The server replied to a request sent at `sentAt`, so it hasn't ended since losses before that.
    void onReply(const ReplicaKey &server, Incarnation incarnation, TimePoint sentAt);
    // No process listens at the address, or one that isn't the expected server. Returns the number of new pieces of evidence.
    std::size_t onServerEnded(const std::string &address, TimePoint now);
    // Incarnations of the registered servers by address. A server whose loss is recorded has ended if it is gone or newer.
    std::size_t onRegistered(const std::map<std::string, Incarnation> &servers, TimePoint now);
    // The content ran without a crash, which ends all suspicion of it.
    void onSuccess(const ContentDigest &content, TimePoint now);

    // False if nothing is recorded or suspect, so that callers needn't compute digests.
    bool active() const;
    bool isSuspect(const ContentDigest &content) const;
    std::size_t suspectCount() const;
    // Replaces the contents that one control process found suspect.
    void setSuspects(const InstanceName &control, const std::vector<ContentDigest> &contents);

    // What was added after the report with this number.
    CrashReport report(std::uint64_t after = 0) const;
    std::uint64_t reportNumber() const;
    void expire(TimePoint now);

private:
    struct Timed
    {
        CrashEvidence evidence;
        TimePoint at;
        // Of the first report with this evidence; 0 for a loss.
        std::uint64_t report = 0;
    };

    struct Cleared
    {
        ContentDigest content;
        TimePoint at;
        std::uint64_t report = 0;
    };

    // Moves the losses that match to the evidence.
    template<typename Matches>
    std::size_t confirm(Matches matches, TimePoint now);
    bool isKnown(const CrashEvidence &evidence) const;

    CrashWatchOptions options;
    // Oldest first, like the other lists; the oldest entry is dropped at the limit.
    std::deque<Timed> losses;
    std::deque<Timed> evidence;
    std::deque<Cleared> cleared;
    std::map<InstanceName, std::set<ContentDigest>> suspects;
    std::uint64_t number = 0;
};

} // namespace Galenawell
