#include "galenawell/configuration/configurationhistory.h"

#include <algorithm>
#include <array>
#include <utility>

namespace Galenawell {

ConfigurationHistory::ConfigurationHistory(std::uint64_t retainedNumbers)
    : limit(std::max(retainedNumbers, std::uint64_t{1}))
{
}

ConfigurationHistory::ConfigurationHistory(ConfigurationNumbering numberingRule)
    : rule(numberingRule)
{
}

void ConfigurationHistory::setNumbering(ConfigurationNumbering numberingRule)
{
    this->rule = numberingRule;
}

ConfigurationNumbering ConfigurationHistory::numbering() const
{
    return this->rule;
}

ProposalOutcome ConfigurationHistory::propose(const ConfigurationProposal &proposal)
{
    // Indexed by ConfigurationNumbering.
    static constexpr std::array<Rule, 2> rules{&ConfigurationHistory::proposeConsecutive, &ConfigurationHistory::proposeHighest};
    return (this->*rules.at(static_cast<std::size_t>(this->rule)))(proposal);
}

ProposalOutcome ConfigurationHistory::proposeHighest(const ConfigurationProposal &proposal)
{
    if (proposal.number <= this->newest) {
        return {
            .verdict = ProposalVerdict::AlreadyAccepted, .newestNumber = this->newest, .acceptedDigest = this->digestOf(proposal.number)};
    }
    this->newest = proposal.number;
    this->content = proposal.content;
    this->digests.assign(1, proposal.digest);
    return {.verdict = ProposalVerdict::Accepted, .newestNumber = this->newest, .acceptedDigest = proposal.digest};
}

ProposalOutcome ConfigurationHistory::proposeConsecutive(const ConfigurationProposal &proposal)
{
    if (proposal.number != 0 && proposal.number == this->newest + 1) {
        this->newest = proposal.number;
        this->content = proposal.content;
        this->digests.push_back(proposal.digest);
        if (this->digests.size() > this->limit) {
            this->digests.pop_front();
        }
        return {.verdict = ProposalVerdict::Accepted, .newestNumber = this->newest, .acceptedDigest = proposal.digest};
    }
    ProposalOutcome outcome;
    outcome.newestNumber = this->newest;
    if (!this->isRetained(proposal.number)) {
        outcome.verdict = ProposalVerdict::NumberOutOfOrder;
        return outcome;
    }
    outcome.acceptedDigest = this->digestOf(proposal.number);
    const bool same = outcome.acceptedDigest == proposal.digest;
    outcome.verdict = same ? ProposalVerdict::AlreadyAccepted : ProposalVerdict::NumberTaken;
    return outcome;
}

std::uint64_t ConfigurationHistory::newestNumber() const
{
    return this->newest;
}

const std::string &ConfigurationHistory::newestContent() const
{
    return this->content;
}

const std::string &ConfigurationHistory::newestDigest() const
{
    static const std::string none;
    return this->digests.empty() ? none : this->digests.back();
}

std::string ConfigurationHistory::digestOf(std::uint64_t number) const
{
    if (!this->isRetained(number)) {
        return {};
    }
    return this->digests[number - this->oldestRetainedNumber()];
}

std::uint64_t ConfigurationHistory::oldestRetainedNumber() const
{
    return this->newest - this->digests.size() + 1;
}

const std::deque<std::string> &ConfigurationHistory::retainedDigests() const
{
    return this->digests;
}

ConfigurationHistory ConfigurationHistory::restore(std::uint64_t newestNumber,
                                                   std::string newestContent,
                                                   std::deque<std::string> digests,
                                                   std::uint64_t retainedNumbers)
{
    ConfigurationHistory history(retainedNumbers);
    const std::uint64_t retained = std::min({newestNumber, history.limit, std::uint64_t{digests.size()}});
    digests.erase(digests.begin(), digests.end() - static_cast<std::ptrdiff_t>(retained));
    history.newest = newestNumber;
    history.content = std::move(newestContent);
    history.digests = std::move(digests);
    return history;
}

bool ConfigurationHistory::isRetained(std::uint64_t number) const
{
    return !this->digests.empty() && number >= this->oldestRetainedNumber() && number <= this->newest;
}

} // namespace Galenawell
