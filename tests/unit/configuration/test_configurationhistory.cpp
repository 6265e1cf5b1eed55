#include "galenawell/configuration/configurationhistory.h"

#include <criterion/criterion.h>

using namespace Galenawell;

namespace {

ConfigurationProposal proposalOf(std::uint64_t number, const std::string &digest)
{
    return {.number = number, .digest = digest, .content = "content " + digest};
}

} // namespace

// Guards against two operators' changes under one number both taking effect, and against a resend being applied twice.
Test(configurationhistory, one_digest_per_number)
{
    ConfigurationHistory history;
    cr_assert(history.propose(proposalOf(1, "aa")).verdict == ProposalVerdict::Accepted);
    const ProposalOutcome resend = history.propose(proposalOf(1, "aa"));
    cr_assert(resend == (ProposalOutcome{ProposalVerdict::AlreadyAccepted, 1, "aa"}));
    const ProposalOutcome conflict = history.propose(proposalOf(1, "bb"));
    cr_assert(conflict == (ProposalOutcome{ProposalVerdict::NumberTaken, 1, "aa"}));
    cr_assert(history.newestContent() == "content aa");
}

// Guards against a resend of an old change reverting a newer one.
Test(configurationhistory, a_resend_of_an_older_change_reverts_nothing)
{
    ConfigurationHistory history;
    history.propose(proposalOf(1, "aa"));
    history.propose(proposalOf(2, "bb"));
    cr_assert(history.propose(proposalOf(1, "aa")) == (ProposalOutcome{ProposalVerdict::AlreadyAccepted, 2, "aa"}));
    cr_assert(history.newestNumber() == 2);
    cr_assert(history.newestDigest() == "bb");
    cr_assert(history.newestContent() == "content bb");
}

// Guards against gaps in the numbers and against number 0, which is invalid.
Test(configurationhistory, only_the_next_number_is_accepted)
{
    ConfigurationHistory history;
    for (const std::uint64_t number : {std::uint64_t{0}, std::uint64_t{2}, ~std::uint64_t{0}}) {
        cr_assert(history.propose(proposalOf(number, "aa")) == (ProposalOutcome{ProposalVerdict::NumberOutOfOrder, 0, ""}));
    }
    cr_assert(history.newestDigest().empty());
    cr_assert(history.digestOf(0).empty());
}

// Guards against unbounded memory and against a dropped number being accepted again.
Test(configurationhistory, the_oldest_numbers_are_dropped_and_stay_refused)
{
    ConfigurationHistory history;
    for (std::uint64_t number = 1; number <= retainedConfigurations + 2; ++number) {
        history.propose(proposalOf(number, std::to_string(number)));
    }
    cr_assert(history.retainedDigests().size() == retainedConfigurations);
    cr_assert(history.oldestRetainedNumber() == 3);
    cr_assert(history.propose(proposalOf(2, "2")).verdict == ProposalVerdict::NumberOutOfOrder);
    cr_assert(history.propose(proposalOf(3, "3")).verdict == ProposalVerdict::AlreadyAccepted);
}

// Guards against a snapshot from another version breaking the invariants of the class.
Test(configurationhistory, restore_keeps_the_invariants)
{
    const ConfigurationHistory history = ConfigurationHistory::restore(2, "x", {"old", "aa", "bb"});
    cr_assert(history.oldestRetainedNumber() == 1);
    cr_assert(history.digestOf(1) == "aa");
    cr_assert(history.newestDigest() == "bb");
}

// Guards against a late change replacing a newer one, and against a resend being refused, where numbers may skip.
Test(configurationhistory, the_highest_number_wins_and_lower_ones_change_nothing)
{
    ConfigurationHistory history(ConfigurationNumbering::Highest);
    cr_assert(history.propose(proposalOf(7, "aa")).verdict == ProposalVerdict::Accepted);
    cr_assert(history.propose(proposalOf(12, "bb")).verdict == ProposalVerdict::Accepted);
    cr_assert(history.propose(proposalOf(9, "cc")).verdict == ProposalVerdict::AlreadyAccepted);
    cr_assert(history.propose(proposalOf(12, "dd")).verdict == ProposalVerdict::AlreadyAccepted);
    cr_assert(history.newestNumber() == 12);
    cr_assert(history.newestContent() == "content bb");
    cr_assert(history.digestOf(12) == "bb");
    cr_assert(history.digestOf(7).empty());
}
