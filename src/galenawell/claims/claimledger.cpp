#include "galenawell/claims/claimledger.h"

#include <algorithm>
#include <charconv>

namespace Galenawell {

namespace {

constexpr std::size_t issueTimeDigits = 13;

bool isDigit(char character)
{
    return character >= '0' && character <= '9';
}

bool isRandomCharacter(char character)
{
    const bool letter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    return letter || isDigit(character) || character == '-' || character == '_' || character == '.';
}

ClaimDecision existing(const Claim &claim)
{
    return {.verdict = ClaimVerdict::Existing, .state = claim.state, .answer = claim.answer};
}

bool isFinal(ClaimState current, ClaimState wanted)
{
    if (current == ClaimState::Running) {
        return false;
    }
    return current != ClaimState::Unknown || wanted != ClaimState::Ran;
}

} // namespace

std::optional<WallTime> issueTimeOf(const RequestId &id)
{
    const bool lengthFits = id.size() > issueTimeDigits + 1 && id.size() <= issueTimeDigits + 1 + maximumRandomPart;
    if (!lengthFits || id[issueTimeDigits] != '-') {
        return std::nullopt;
    }
    const auto dash = id.begin() + issueTimeDigits;
    if (!std::all_of(id.begin(), dash, isDigit) || !std::all_of(dash + 1, id.end(), isRandomCharacter)) {
        return std::nullopt;
    }
    std::int64_t milliseconds = 0;
    std::from_chars(id.data(), id.data() + issueTimeDigits, milliseconds);
    return WallTime(std::chrono::milliseconds(milliseconds));
}

ClaimDecision ClaimLedger::claim(const Claim &request, WallTime logTime)
{
    const std::optional<WallTime> issued = issueTimeOf(request.id);
    if (!issued.has_value()) {
        return {.verdict = ClaimVerdict::MalformedId, .state = ClaimState::Unknown, .answer = {}};
    }
    if (*issued <= this->expiryWatermark) {
        return {.verdict = ClaimVerdict::Expired, .state = ClaimState::Unknown, .answer = {}};
    }
    const auto found = this->byId.find(request.id);
    if (found != this->byId.end()) {
        const Claim &claim = found->second;
        if (claim.contentDigest != request.contentDigest || claim.service != request.service) {
            return {.verdict = ClaimVerdict::ContentDiffers, .state = claim.state, .answer = {}};
        }
        // A resent claim; the reply to the first copy may have been lost.
        if (claim.owner == request.owner && claim.state == ClaimState::Running) {
            return {.verdict = ClaimVerdict::Granted, .state = ClaimState::Running, .answer = {}};
        }
        return existing(claim);
    }
    const bool logHasTime = logTime != WallTime{};
    if (logHasTime && *issued > logTime + maximumIssueLead) {
        return {.verdict = ClaimVerdict::MalformedId, .state = ClaimState::Unknown, .answer = {}};
    }
    Claim granted = request;
    granted.state = ClaimState::Running;
    granted.answer.clear();
    this->running.emplace(granted.deadline, granted.id);
    this->byId.emplace(request.id, std::move(granted));
    return {.verdict = ClaimVerdict::Granted, .state = ClaimState::Running, .answer = {}};
}

RecordVerdict ClaimLedger::record(const RequestId &id, const ClaimOwner &owner, ClaimState state, const std::string &answer)
{
    const auto found = this->byId.find(id);
    if (found == this->byId.end()) {
        return RecordVerdict::NotFound;
    }
    Claim &claim = found->second;
    if (claim.owner != owner) {
        return RecordVerdict::NotOwner;
    }
    if (claim.state == state && claim.answer == answer) {
        return RecordVerdict::AlreadyRecorded;
    }
    if (isFinal(claim.state, state)) {
        return RecordVerdict::Final;
    }
    this->running.erase({claim.deadline, id});
    claim.state = state;
    claim.answer = answer;
    return RecordVerdict::Recorded;
}

std::size_t ClaimLedger::closeOverdue(WallTime logTime, std::chrono::milliseconds grace)
{
    std::size_t closed = 0;
    while (!this->running.empty() && this->running.begin()->first < logTime - grace) {
        const auto first = this->running.begin();
        this->byId.at(first->second).state = ClaimState::Unknown;
        this->running.erase(first);
        ++closed;
    }
    return closed;
}

void ClaimLedger::advanceWatermark(WallTime watermark)
{
    if (watermark <= this->expiryWatermark) {
        return;
    }
    this->expiryWatermark = watermark;
    // Ids sort by issue time, so the expired claims come first.
    while (!this->byId.empty() && this->expired(this->byId.begin()->first)) {
        const Claim &claim = this->byId.begin()->second;
        this->running.erase({claim.deadline, claim.id});
        this->byId.erase(this->byId.begin());
    }
}

const Claim *ClaimLedger::find(const RequestId &id) const
{
    const auto found = this->byId.find(id);
    return found == this->byId.end() ? nullptr : &found->second;
}

bool ClaimLedger::expired(const RequestId &id) const
{
    const std::optional<WallTime> issued = issueTimeOf(id);
    return issued.has_value() && *issued <= this->expiryWatermark;
}

std::size_t ClaimLedger::size() const
{
    return this->byId.size();
}

WallTime ClaimLedger::watermark() const
{
    return this->expiryWatermark;
}

const std::map<RequestId, Claim> &ClaimLedger::claims() const
{
    return this->byId;
}

ClaimLedger ClaimLedger::restore(std::map<RequestId, Claim> claims, WallTime watermark)
{
    ClaimLedger ledger;
    ledger.byId = std::move(claims);
    ledger.expiryWatermark = watermark;
    for (const auto &[id, claim] : ledger.byId) {
        if (claim.state == ClaimState::Running) {
            ledger.running.emplace(claim.deadline, id);
        }
    }
    return ledger;
}

} // namespace Galenawell
