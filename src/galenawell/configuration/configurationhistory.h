// History of accepted configurations: the digest of each number, and the newest content. Part of the replicated state.
#pragma once

#include <cstdint>
#include <deque>
#include <string>

namespace Galenawell {

// Covers 7 days at 28,000 changes a day.
inline constexpr std::uint64_t retainedConfigurations = 200'000;

struct ConfigurationProposal
{
    std::uint64_t number = 0;
    std::string digest;
    // Canonical JSON text of the merged folder.
    std::string content;
};

enum class ProposalVerdict : std::uint8_t {
    Accepted,
    // A resend of an accepted change; it isn't applied again.
    AlreadyAccepted,
    NumberTaken,
    NumberOutOfOrder,
};

struct ProposalOutcome
{
    ProposalVerdict verdict = ProposalVerdict::NumberOutOfOrder;
    std::uint64_t newestNumber = 0;
    // Digest accepted under the proposal's number; empty if it is no longer retained.
    std::string acceptedDigest;

    friend bool operator==(const ProposalOutcome &, const ProposalOutcome &) = default;
};

enum class ConfigurationNumbering : std::uint8_t {
    // Only the number after the newest is accepted.
    Consecutive,
    // Any number above the newest is accepted; a lower one is acknowledged without effect.
    Highest,
};

class ConfigurationHistory
{
public:
    ConfigurationHistory() = default;
    // Retains the given number of configurations, at least one. Only tests use less than the default.
    explicit ConfigurationHistory(std::uint64_t retainedNumbers);
    explicit ConfigurationHistory(ConfigurationNumbering numberingRule);

    // Deterministic: every member of the log computes the same outcome.
    ProposalOutcome propose(const ConfigurationProposal &proposal);

    std::uint64_t newestNumber() const;
    const std::string &newestContent() const;
    const std::string &newestDigest() const;
    // Empty if the number was never accepted or is no longer retained.
    std::string digestOf(std::uint64_t number) const;

    std::uint64_t oldestRetainedNumber() const;
    const std::deque<std::string> &retainedDigests() const;

    // Rebuilds the history from a state snapshot. Digests beyond the limit are dropped, the oldest first.
    static ConfigurationHistory restore(std::uint64_t newestNumber,
                                        std::string newestContent,
                                        std::deque<std::string> digests,
                                        std::uint64_t retainedNumbers = retainedConfigurations);
    // All members of the log must use the same rule.
    void setNumbering(ConfigurationNumbering numberingRule);
    ConfigurationNumbering numbering() const;

private:
    using Rule = ProposalOutcome (ConfigurationHistory::*)(const ConfigurationProposal &proposal);

    ProposalOutcome proposeConsecutive(const ConfigurationProposal &proposal);
    ProposalOutcome proposeHighest(const ConfigurationProposal &proposal);
    bool isRetained(std::uint64_t number) const;

    ConfigurationNumbering rule = ConfigurationNumbering::Consecutive;

    // Digests of consecutive numbers, ending with `newest`; at most `limit`. Only the newest one with Highest numbering.
    std::deque<std::string> digests;
    std::uint64_t newest = 0;
    std::uint64_t limit = retainedConfigurations;
    std::string content;
};

} // namespace Galenawell
