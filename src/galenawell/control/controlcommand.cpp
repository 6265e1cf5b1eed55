#include "galenawell/control/controlcommand.h"

#include "galenawell/control/controlrecords.h"

#include <algorithm>
#include <array>
#include <utility>

namespace Galenawell {

namespace {

void setCommand(Wire::ControlCommandRecord &record, const ProposeConfiguration &command)
{
    record.__set_configuration(Detail::toRecord(command.proposal));
}

void setCommand(Wire::ControlCommandRecord &record, const RecordPartitionMap &command)
{
    record.__set_partitionMap(Detail::toRecord(command.map));
}

void setCommand(Wire::ControlCommandRecord &record, const ClaimRequest &command)
{
    record.__set_claim(Detail::toRecord(command.claim));
}

void setCommand(Wire::ControlCommandRecord &record, const RecordOutcome &command)
{
    Wire::OutcomeRecord outcome;
    outcome.id = command.id;
    outcome.owner = Detail::toRecord(command.owner);
    outcome.state = static_cast<std::int32_t>(command.state);
    outcome.answer = command.answer;
    record.__set_outcome(outcome);
}

void setCommand(Wire::ControlCommandRecord &record, const AdvanceTime &command)
{
    Wire::TimeRecord time;
    time.now = Detail::millisecondsOf(command.now);
    time.watermark = Detail::millisecondsOf(command.watermark);
    record.__set_time(time);
}

Result<ControlCommand> readConfiguration(Wire::ControlCommandRecord &record)
{
    Result<ConfigurationProposal> proposal = Detail::fromRecord(std::move(record.configuration));
    if (!proposal) {
        return proposal.error();
    }
    return ControlCommand(ProposeConfiguration{.proposal = std::move(proposal.value())});
}

Result<ControlCommand> readPartitionMap(Wire::ControlCommandRecord &record)
{
    Result<PartitionMap> map = Detail::fromRecord(std::move(record.partitionMap));
    if (!map) {
        return map.error();
    }
    return ControlCommand(RecordPartitionMap{.map = std::move(map.value())});
}

Result<ControlCommand> readClaim(Wire::ControlCommandRecord &record)
{
    Result<Claim> claim = Detail::fromRecord(std::move(record.claim));
    if (!claim) {
        return claim.error();
    }
    if (claim.value().state != ClaimState::Running) {
        return Detail::malformed("a claim request that isn't in the state Running");
    }
    return ControlCommand(ClaimRequest{.claim = std::move(claim.value())});
}

Result<ControlCommand> readOutcome(Wire::ControlCommandRecord &record)
{
    Wire::OutcomeRecord &outcome = record.outcome;
    if (outcome.id.size() > Detail::maximumNameBytes) {
        return Detail::malformed("a request id that is too long");
    }
    Result<ClaimOwner> owner = Detail::fromRecord(std::move(outcome.owner));
    if (!owner) {
        return owner.error();
    }
    const Result<ClaimState> state = Detail::claimStateFrom(outcome.state);
    if (!state) {
        return state.error();
    }
    if (state.value() == ClaimState::Running || (state.value() != ClaimState::Ran && !outcome.answer.empty())) {
        return Detail::malformed("an outcome that isn't final or has an unexpected answer");
    }
    return ControlCommand(RecordOutcome{
        .id = std::move(outcome.id), .owner = std::move(owner.value()), .state = state.value(), .answer = std::move(outcome.answer)});
}

Result<ControlCommand> readTime(Wire::ControlCommandRecord &record)
{
    const Result<WallTime> now = Detail::wallTimeFrom(record.time.now);
    const Result<WallTime> watermark = Detail::wallTimeFrom(record.time.watermark);
    if (!now || !watermark) {
        return Detail::malformed("a time out of range");
    }
    return ControlCommand(AdvanceTime{.now = now.value(), .watermark = watermark.value()});
}

} // namespace

std::string encodeControlCommand(const ControlCommand &command)
{
    Wire::ControlCommandRecord record;
    std::visit([&record](const auto &content) { setCommand(record, content); }, command);
    Detail::RecordWriter writer;
    writer.write(record);
    return writer.take();
}

Result<ControlCommand> decodeControlCommand(std::string_view bytes)
{
    if (bytes.size() > maximumFrameBytes) {
        return Detail::malformed("more than 4 MiB");
    }
    Detail::RecordReader reader(bytes);
    Result<Wire::ControlCommandRecord> record = reader.read<Wire::ControlCommandRecord>();
    if (!record) {
        return record.error();
    }
    if (!reader.atEnd()) {
        return Detail::malformed("trailing bytes");
    }
    struct CommandReader
    {
        bool present;
        Result<ControlCommand> (*read)(Wire::ControlCommandRecord &);
    };
    const auto &isset = record.value().__isset;
    const std::array readers{CommandReader{isset.configuration, readConfiguration},
                             CommandReader{isset.partitionMap, readPartitionMap},
                             CommandReader{isset.claim, readClaim},
                             CommandReader{isset.outcome, readOutcome},
                             CommandReader{isset.time, readTime}};
    const auto isPresent = [](const CommandReader &candidate) { return candidate.present; };
    if (std::ranges::count_if(readers, isPresent) != 1) {
        return Detail::malformed("no known command or more than one");
    }
    return std::ranges::find_if(readers, isPresent)->read(record.value());
}

} // namespace Galenawell
