// The accepted configurations: which number belongs to which digest, and the newest content. Part of the replicated state.
#pragma once

#include <cstdint>
#include <deque>
#include <string>

namespace Galenawell {

// Numbers that are remembered: 7 days of 28,000 changes a day.
inline constexpr std::uint64_t rememberedConfigurations = 200'000;

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
    // Digest accepted under the proposal's number, if it is remembered.
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
    // Remembers the given number of configurations, at least one; smaller than the default in tests only.
    explicit ConfigurationHistory(std::uint64_t rememberedNumbers);
    explicit ConfigurationHistory(ConfigurationNumbering numberingRule);

    // Deterministic: every replica gives the same outcome.
    ProposalOutcome propose(const ConfigurationProposal &proposal);

    std::uint64_t newestNumber() const;
    const std::string &newestContent() const;
    const std::string &newestDigest() const;
    // Empty if the number was never accepted or is no longer remembered.
    std::string digestOf(std::uint64_t number) const;

    std::uint64_t oldestRememberedNumber() const;
    const std::deque<std::string> &rememberedDigests() const;

    // Rebuilds the history from a state snapshot. Digests beyond the limit are dropped, the oldest first.
    static ConfigurationHistory restore(std::uint64_t newestNumber,
                                        std::string newestContent,
                                        std::deque<std::string> digests,
                                        std::uint64_t rememberedNumbers = rememberedConfigurations);
    // All members of a log use the same rule.
    void setNumbering(ConfigurationNumbering numberingRule);
    ConfigurationNumbering numbering() const;

private:
    using Rule = ProposalOutcome (ConfigurationHistory::*)(const ConfigurationProposal &proposal);

    ProposalOutcome proposeConsecutive(const ConfigurationProposal &proposal);
    ProposalOutcome proposeHighest(const ConfigurationProposal &proposal);
    bool isRemembered(std::uint64_t number) const;

    ConfigurationNumbering rule = ConfigurationNumbering::Consecutive;

    // Digests of consecutive numbers; the last belongs to newest. Never more than the limit; with uneven numbers only one.
    std::deque<std::string> digests;
    std::uint64_t newest = 0;
    std::uint64_t limit = rememberedConfigurations;
    std::string content;
};

} // namespace Galenawell
