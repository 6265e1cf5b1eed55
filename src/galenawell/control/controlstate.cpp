#include "galenawell/control/controlstate.h"

#include "galenawell/control/controlrecords.h"

#include <algorithm>
#include <deque>
#include <iterator>
#include <utility>

namespace Galenawell {

namespace {

constexpr std::size_t retainedEpochs = 2;

// Whether the numbers and digests can't come from a ConfigurationHistory.
bool isInvalidHistory(const Wire::ControlStateRecord &record)
{
    const bool tooManyDigests = record.digests.size() > retainedConfigurations;
    const bool moreDigestsThanNumbers = record.newestNumber < 0 || record.digests.size() > static_cast<std::uint64_t>(record.newestNumber);
    const bool missingDigests = record.newestNumber > 0 && record.digests.empty();
    const auto isInvalidDigest = [](const std::string &digest) { return digest.empty() || digest.size() > Detail::maximumNameBytes; };
    return tooManyDigests || moreDigestsThanNumbers || missingDigests || std::ranges::any_of(record.digests, isInvalidDigest);
}

Result<std::map<RequestId, Claim>> readClaims(Detail::RecordReader &reader, std::int64_t count, WallTime watermark)
{
    std::map<RequestId, Claim> claims;
    for (std::int64_t index = 0; index < count; ++index) {
        Result<Wire::ClaimRecord> record = reader.read<Wire::ClaimRecord>();
        if (!record) {
            return record.error();
        }
        Result<Claim> claim = Detail::fromRecord(std::move(record.value()));
        if (!claim) {
            return claim.error();
        }
        const std::optional<WallTime> issued = issueTimeOf(claim.value().id);
        if (!issued.has_value() || *issued <= watermark) {
            return Detail::malformed("an expired claim or an invalid claim id");
        }
        if (!claims.empty() && claims.rbegin()->first >= claim.value().id) {
            return Detail::malformed("claims out of order");
        }
        RequestId id = claim.value().id;
        claims.emplace_hint(claims.end(), std::move(id), std::move(claim.value()));
    }
    return claims;
}

} // namespace

std::string encodeControlView(const ControlView &view)
{
    Wire::ControlViewRecord record;
    record.revision = static_cast<std::int64_t>(view.revision);
    record.configurationNumber = static_cast<std::int64_t>(view.configurationNumber);
    record.configurationDigest = view.configurationDigest;
    record.configurationContent = view.configurationContent;
    record.partitionMaps = Detail::toRecords(view.partitionMaps);
    Detail::RecordWriter writer;
    writer.write(record);
    return writer.take();
}

Result<ControlView> decodeControlView(std::string_view bytes)
{
    if (bytes.size() > maximumFrameBytes) {
        return Detail::malformed("more than 4 MiB");
    }
    Detail::RecordReader reader(bytes);
    Result<Wire::ControlViewRecord> record = reader.read<Wire::ControlViewRecord>();
    if (!record) {
        return record.error();
    }
    if (!reader.atEnd()) {
        return Detail::malformed("trailing bytes");
    }
    if (record.value().configurationDigest.size() > Detail::maximumNameBytes) {
        return Detail::malformed("a digest that is too long");
    }
    Result<Detail::PartitionMaps> maps = Detail::fromRecords(std::move(record.value().partitionMaps));
    if (!maps) {
        return maps.error();
    }
    return ControlView{.revision = static_cast<std::uint64_t>(record.value().revision),
                       .configurationNumber = static_cast<std::uint64_t>(record.value().configurationNumber),
                       .configurationDigest = std::move(record.value().configurationDigest),
                       .configurationContent = std::move(record.value().configurationContent),
                       .partitionMaps = std::move(maps.value())};
}

ControlState::ControlState(ConfigurationNumbering numbering)
    : configurations(numbering)
{
    this->publishView(0);
}

ControlResult ControlState::apply(const ControlCommand &command, std::uint64_t index)
{
    if (const auto *configuration = std::get_if<ProposeConfiguration>(&command)) {
        return this->applyConfiguration(*configuration, index);
    }
    if (const auto *map = std::get_if<RecordPartitionMap>(&command)) {
        return this->applyPartitionMap(*map, index);
    }
    if (const auto *claim = std::get_if<ClaimRequest>(&command)) {
        return this->ledger.claim(claim->claim, this->time);
    }
    if (const auto *outcome = std::get_if<RecordOutcome>(&command)) {
        return this->ledger.record(outcome->id, outcome->owner, outcome->state, outcome->answer);
    }
    return this->applyTime(std::get<AdvanceTime>(command));
}

ControlResult ControlState::applyConfiguration(const ProposeConfiguration &command, std::uint64_t index)
{
    ProposalOutcome outcome = this->configurations.propose(command.proposal);
    if (outcome.verdict == ProposalVerdict::Accepted) {
        this->publishView(index);
    }
    return outcome;
}

ControlResult ControlState::applyPartitionMap(const RecordPartitionMap &command, std::uint64_t index)
{
    if (!command.map.check().has_value()) {
        return MapRecorded{.recorded = false};
    }
    const auto known = this->partitionMaps.find(command.map.service);
    if (known != this->partitionMaps.end() && command.map.epoch <= known->second.front().epoch) {
        return MapRecorded{.recorded = false};
    }
    std::vector<PartitionMap> &epochs = this->partitionMaps[command.map.service];
    epochs.insert(epochs.begin(), command.map);
    epochs.resize(std::min(epochs.size(), retainedEpochs));
    this->publishView(index);
    return MapRecorded{.recorded = true};
}

ControlResult ControlState::applyTime(const AdvanceTime &command)
{
    this->time = std::max(this->time, command.now);
    const std::size_t closed = this->ledger.closeOverdue(this->time, claimGrace);
    // A watermark after the log's time would expire claims that haven't been made yet.
    this->ledger.advanceWatermark(std::min(command.watermark, this->time));
    return TimeAdvanced{.closedClaims = closed};
}

void ControlState::publishView(std::uint64_t index)
{
    this->currentView = std::make_shared<const ControlView>(ControlView{.revision = index,
                                                                        .configurationNumber = this->configurations.newestNumber(),
                                                                        .configurationDigest = this->configurations.newestDigest(),
                                                                        .configurationContent = this->configurations.newestContent(),
                                                                        .partitionMaps = this->partitionMaps});
}

std::shared_ptr<const ControlView> ControlState::view() const
{
    return this->currentView;
}

const ConfigurationHistory &ControlState::history() const
{
    return this->configurations;
}

const ClaimLedger &ControlState::claims() const
{
    return this->ledger;
}

WallTime ControlState::logTime() const
{
    return this->time;
}

std::string ControlState::serialise() const
{
    Wire::ControlStateRecord record;
    const std::deque<std::string> &digests = this->configurations.retainedDigests();
    record.newestNumber = static_cast<std::int64_t>(this->configurations.newestNumber());
    record.newestContent = this->configurations.newestContent();
    record.digests.assign(digests.begin(), digests.end());
    record.partitionMaps = Detail::toRecords(this->partitionMaps);
    record.logTime = Detail::millisecondsOf(this->time);
    record.watermark = Detail::millisecondsOf(this->ledger.watermark());
    record.viewRevision = static_cast<std::int64_t>(this->currentView->revision);
    record.claimCount = static_cast<std::int64_t>(this->ledger.size());
    Detail::RecordWriter writer;
    writer.write(record);
    for (const auto &[id, claim] : this->ledger.claims()) {
        writer.write(Detail::toRecord(claim));
    }
    return writer.take();
}

Result<ControlState> ControlState::restore(std::string_view bytes, ConfigurationNumbering numbering)
{
    if (bytes.size() > Detail::maximumSnapshotBytes) {
        return Detail::malformed("more than 2 GiB");
    }
    Detail::RecordReader reader(bytes);
    Result<Wire::ControlStateRecord> read = reader.read<Wire::ControlStateRecord>();
    if (!read) {
        return read.error();
    }
    Wire::ControlStateRecord &record = read.value();
    if (isInvalidHistory(record)) {
        return Detail::malformed("an inconsistent configuration history");
    }
    Result<Detail::PartitionMaps> maps = Detail::fromRecords(std::move(record.partitionMaps));
    if (!maps) {
        return maps.error();
    }
    const Result<WallTime> logTime = Detail::wallTimeFrom(record.logTime);
    const Result<WallTime> watermark = Detail::wallTimeFrom(record.watermark);
    if (!logTime || !watermark || watermark.value() > logTime.value()) {
        return Detail::malformed("a time out of range");
    }
    Result<std::map<RequestId, Claim>> claims = readClaims(reader, record.claimCount, watermark.value());
    if (!claims) {
        return claims.error();
    }
    if (record.claimCount < 0 || !reader.atEnd()) {
        return Detail::malformed("trailing bytes");
    }
    std::deque<std::string> digests(std::make_move_iterator(record.digests.begin()), std::make_move_iterator(record.digests.end()));
    ControlState state;
    state.configurations = ConfigurationHistory::restore(
        static_cast<std::uint64_t>(record.newestNumber), std::move(record.newestContent), std::move(digests));
    state.configurations.setNumbering(numbering);
    state.partitionMaps = std::move(maps.value());
    state.ledger = ClaimLedger::restore(std::move(claims.value()), watermark.value());
    state.time = logTime.value();
    state.publishView(static_cast<std::uint64_t>(record.viewRevision));
    return state;
}

} // namespace Galenawell
