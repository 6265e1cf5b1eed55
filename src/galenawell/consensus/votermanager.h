// Decides, for the leader of the log, which membership change comes next: measures how long each other member has been silent
// and asks the voter plan. Owns no clock; times are arguments.
#pragma once

#include "galenawell/consensus/rafttypes.h"
#include "galenawell/consensus/voterplan.h"

#include <chrono>
#include <map>
#include <optional>

namespace Galenawell {

// What a leader knows of the members at one moment.
struct LeaderObservation
{
    MemberId leader = 0;
    Term term = 0;
    LogIndex commitIndex = 0;
    Membership membership;
    std::map<MemberId, LogIndex> matchIndexes;
    // Absent for members that have sent nothing to this process.
    std::map<MemberId, TimePoint> lastMessageAt;
};

struct VoterManagerOptions
{
    std::size_t targetVoterCount = 3;
    // A longer gap between two observations means that the leader itself didn't run; it counts as a silence of this length.
    std::chrono::milliseconds maximumObservationGap{500};
};

class VoterManager
{
public:
    explicit VoterManager(VoterManagerOptions options);

    // To be called regularly while this process leads.
    std::optional<Membership> nextStep(const LeaderObservation &observation, TimePoint now);

private:
    struct Activity
    {
        Member member;
        std::optional<TimePoint> lastMessageAt;
        // Counts from the observation that first listed the member as it is now, so it never includes time before that.
        std::chrono::milliseconds silence{0};
        // Whether it has sent a message since all members of its instance were listed.
        bool heardSinceListed = false;
    };

    void observe(const LeaderObservation &observation, TimePoint now);

    VoterManagerOptions options;
    // Evidence of an earlier term is void, since followers don't exchange messages.
    Term observedTerm = 0;
    TimePoint observedAt;
    std::map<MemberId, Activity> activities;
};

} // namespace Galenawell
