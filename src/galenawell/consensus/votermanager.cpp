#include "galenawell/consensus/votermanager.h"

#include "galenawell/core/clock.h"

#include <algorithm>
#include <set>

namespace Galenawell {

VoterManager::VoterManager(VoterManagerOptions managerOptions)
    : options(managerOptions)
{
}

void VoterManager::observe(const LeaderObservation &observation, TimePoint now)
{
    if (this->observedTerm != observation.term) {
        this->observedTerm = observation.term;
        this->observedAt = now;
        this->activities.clear();
    }
    const std::chrono::milliseconds gap = std::min(toMilliseconds(now - this->observedAt), this->options.maximumObservationGap);
    this->observedAt = now;
    std::map<MemberId, Activity> current;
    std::set<InstanceName> changedInstances;
    for (const Member &member : observation.membership.members) {
        const auto message = observation.lastMessageAt.find(member.id);
        const std::optional<TimePoint> lastMessageAt
            = message == observation.lastMessageAt.end() ? std::nullopt : std::optional(message->second);
        Activity activity{.member = member, .lastMessageAt = lastMessageAt};
        // A member that was promoted or moved counts as listed anew.
        if (const auto known = this->activities.find(member.id); known != this->activities.end() && known->second.member == member) {
            const bool heard = lastMessageAt != known->second.lastMessageAt;
            activity.silence = heard ? std::chrono::milliseconds(0) : known->second.silence + gap;
            activity.heardSinceListed = heard || known->second.heardSinceListed;
        } else {
            changedInstances.insert(member.instance);
        }
        current.emplace(member.id, activity);
    }
    for (auto &[id, activity] : current) {
        // Messages from before say nothing about which identity of the instance runs now.
        if (changedInstances.contains(activity.member.instance)) {
            activity.heardSinceListed = false;
        }
    }
    this->activities = std::move(current);
}

std::optional<Membership> VoterManager::nextStep(const LeaderObservation &observation, TimePoint now)
{
    this->observe(observation, now);
    std::map<MemberId, MemberProgress> progress;
    for (const auto &[id, activity] : this->activities) {
        const auto matched = observation.matchIndexes.find(id);
        progress[id] = MemberProgress{.caughtUp = matched != observation.matchIndexes.end() && matched->second >= observation.commitIndex,
                                      .heard = activity.heardSinceListed,
                                      .timeSinceLastReply = activity.silence};
    }
    return nextVoterStep(observation.membership,
                         progress,
                         VoterPlanOptions{.leader = observation.leader, .targetVoterCount = this->options.targetVoterCount});
}

} // namespace Galenawell
