#include "galenawell/configuration/configurationhistory.h"

#include <criterion/criterion.h>
#include <map>
#include <rapidcheck.h>

using namespace Galenawell;

namespace {

// Reference implementation of the same rules on a map.
class ReferenceHistory
{
public:
    explicit ReferenceHistory(std::uint64_t retainedNumbers)
        : limit(retainedNumbers)
    {
    }

    ProposalOutcome propose(const ConfigurationProposal &proposal)
    {
        const std::uint64_t newest = this->accepted.empty() ? 0 : this->accepted.rbegin()->first;
        const auto found = this->accepted.find(proposal.number);
        if (found != this->accepted.end()) {
            const bool same = found->second.digest == proposal.digest;
            return {same ? ProposalVerdict::AlreadyAccepted : ProposalVerdict::NumberTaken, newest, found->second.digest};
        }
        if (proposal.number != newest + 1) {
            return {ProposalVerdict::NumberOutOfOrder, newest, ""};
        }
        this->accepted[proposal.number] = proposal;
        if (this->accepted.size() > this->limit) {
            this->accepted.erase(this->accepted.begin());
        }
        return {ProposalVerdict::Accepted, proposal.number, proposal.digest};
    }

    std::map<std::uint64_t, ConfigurationProposal> accepted;
    std::uint64_t limit;
};

// Numbers around the newest and the oldest retained one; few digests, so that resends and conflicts occur.
ConfigurationProposal proposalNear(const ConfigurationHistory &history)
{
    const std::uint64_t center = *rc::gen::element(history.newestNumber(), history.newestNumber(), history.oldestRetainedNumber());
    const std::uint64_t distance = *rc::gen::inRange<std::uint64_t>(0, 6);
    const std::uint64_t number = center + 3 > distance ? center + 3 - distance : 0;
    const std::string digest = *rc::gen::element<std::string>("aa", "bb");
    const std::string content = *rc::gen::element<std::string>("{}", "{\"x\":1}", "{\"x\":2}");
    return {.number = number, .digest = digest, .content = content};
}

void requireSameState(const ConfigurationHistory &history, const ReferenceHistory &reference)
{
    RC_ASSERT(history.retainedDigests().size() == reference.accepted.size());
    if (reference.accepted.empty()) {
        RC_ASSERT(history.newestNumber() == 0U);
        return;
    }
    const auto &[number, newest] = *reference.accepted.rbegin();
    RC_ASSERT(history.newestNumber() == number);
    RC_ASSERT(history.newestContent() == newest.content);
    RC_ASSERT(history.newestDigest() == newest.digest);
    RC_ASSERT(history.oldestRetainedNumber() == reference.accepted.begin()->first);
}

void requireSameDigests(const ConfigurationHistory &history, const ReferenceHistory &reference)
{
    const std::uint64_t newest = history.newestNumber();
    for (std::uint64_t number = newest > 50 ? newest - 50 : 0; number <= newest + 2; ++number) {
        const auto found = reference.accepted.find(number);
        RC_ASSERT(history.digestOf(number) == (found == reference.accepted.end() ? "" : found->second.digest));
    }
}

// Restores the history from its own snapshot, as a restarted control process does.
ConfigurationHistory restored(const ConfigurationHistory &history, std::uint64_t limit)
{
    return ConfigurationHistory::restore(history.newestNumber(), history.newestContent(), history.retainedDigests(), limit);
}

void compareSteps(ConfigurationHistory &history, ReferenceHistory &reference)
{
    const int steps = *rc::gen::inRange(1, 120);
    for (int step = 0; step < steps; ++step) {
        const ConfigurationProposal proposal = proposalNear(history);
        RC_ASSERT(history.propose(proposal) == reference.propose(proposal));
        if (*rc::gen::inRange(0, 10) == 0) {
            history = restored(history, reference.limit);
        }
        requireSameState(history, reference);
    }
    requireSameDigests(history, reference);
}

} // namespace

// Guards against any sequence of submissions, resends and restarts that accepts a number twice, reverts a change or skips one.
Test(configurationhistory_differential, agrees_with_a_map)
{
    const bool agrees = rc::check([] {
        ReferenceHistory reference(retainedConfigurations);
        ConfigurationHistory history;
        compareSteps(history, reference);
    });
    cr_assert(agrees);
}

// Guards against index errors when the oldest numbers are dropped. Small limits reach that case often.
Test(configurationhistory_differential, agrees_with_a_map_at_the_limit)
{
    const bool agrees = rc::check([] {
        const std::uint64_t limit = *rc::gen::inRange<std::uint64_t>(1, 12);
        ReferenceHistory reference(limit);
        ConfigurationHistory history(limit);
        compareSteps(history, reference);
    });
    cr_assert(agrees);
}
