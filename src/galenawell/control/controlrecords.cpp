#include "galenawell/control/controlrecords.h"

#include <algorithm>
#include <utility>

namespace Galenawell::Detail {

namespace {

// Year 5138; sums with later times could overflow.
constexpr std::int64_t maximumWallTimeMs = 100'000'000'000'000;

// Above the number of digests in a history. Bounds the allocation that a forged list header can request.
constexpr std::int32_t maximumElements = 262'144;
static_assert(maximumElements >= retainedConfigurations);

std::shared_ptr<MemoryBuffer> readBuffer(std::string_view bytes)
{
    // Thrift's default limit of 100 MB is below the size of a large snapshot.
    const auto limits = std::make_shared<apache::thrift::TConfiguration>(std::numeric_limits<int>::max());
    const auto *data = reinterpret_cast<const std::uint8_t *>(bytes.data());
    return std::make_shared<MemoryBuffer>(
        const_cast<std::uint8_t *>(data), static_cast<std::uint32_t>(bytes.size()), MemoryBuffer::OBSERVE, limits);
}

std::int32_t stringLimit(std::string_view bytes)
{
    constexpr std::size_t maximumLimit = std::numeric_limits<std::int32_t>::max();
    // Thrift treats zero as no limit.
    return static_cast<std::int32_t>(std::clamp<std::size_t>(bytes.size(), 1, maximumLimit));
}

bool hasValidNameLength(const std::string &text)
{
    return text.size() <= maximumNameBytes;
}

} // namespace

RecordReader::RecordReader(std::string_view bytes)
    : buffer(readBuffer(bytes))
    , protocol(this->buffer, stringLimit(bytes), maximumElements)
{
}

bool RecordReader::atEnd() const
{
    return this->buffer->available_read() == 0;
}

std::int64_t millisecondsOf(WallTime time)
{
    return time.time_since_epoch().count();
}

Result<WallTime> wallTimeFrom(std::int64_t milliseconds)
{
    if (milliseconds < 0 || milliseconds > maximumWallTimeMs) {
        return malformed("a time out of range");
    }
    return WallTime(std::chrono::milliseconds(milliseconds));
}

Result<ClaimState> claimStateFrom(std::int32_t value)
{
    if (value < 0 || value > static_cast<std::int32_t>(ClaimState::Unknown)) {
        return malformed("an unknown claim state");
    }
    return static_cast<ClaimState>(value);
}

Wire::ConfigurationProposalRecord toRecord(const ConfigurationProposal &proposal)
{
    Wire::ConfigurationProposalRecord record;
    record.number = static_cast<std::int64_t>(proposal.number);
    record.digest = proposal.digest;
    record.content = proposal.content;
    return record;
}

Result<ConfigurationProposal> fromRecord(Wire::ConfigurationProposalRecord &&record)
{
    if (record.digest.empty() || !hasValidNameLength(record.digest)) {
        return malformed("an empty digest or one that is too long");
    }
    return ConfigurationProposal{
        .number = static_cast<std::uint64_t>(record.number), .digest = std::move(record.digest), .content = std::move(record.content)};
}

Wire::PartitionMapRecord toRecord(const PartitionMap &map)
{
    Wire::PartitionMapRecord record;
    record.serviceName = map.service;
    record.epoch = static_cast<std::int64_t>(map.epoch);
    record.groups.reserve(map.groups.size());
    for (const PartitionGroup &group : map.groups) {
        Wire::PartitionGroupRecord &groupRecord = record.groups.emplace_back();
        groupRecord.name = group.name;
        groupRecord.rangeBegin = group.range.begin;
        groupRecord.rangeEnd = group.range.end;
    }
    return record;
}

Result<PartitionMap> fromRecord(Wire::PartitionMapRecord &&record)
{
    if (!hasValidNameLength(record.serviceName)) {
        return malformed("a service name that is too long");
    }
    PartitionMap map{.service = std::move(record.serviceName), .epoch = static_cast<std::uint64_t>(record.epoch), .groups = {}};
    map.groups.reserve(record.groups.size());
    for (Wire::PartitionGroupRecord &group : record.groups) {
        if (!hasValidNameLength(group.name)) {
            return malformed("a group name that is too long");
        }
        map.groups.push_back(
            {.name = std::move(group.name), .range = {.begin = std::move(group.rangeBegin), .end = std::move(group.rangeEnd)}});
    }
    return map;
}

Wire::ClaimOwnerRecord toRecord(const ClaimOwner &owner)
{
    Wire::ClaimOwnerRecord record;
    record.front = owner.front;
    record.incarnation = static_cast<std::int64_t>(owner.incarnation);
    record.attempt = static_cast<std::int64_t>(owner.attempt);
    return record;
}

Result<ClaimOwner> fromRecord(Wire::ClaimOwnerRecord &&record)
{
    if (!hasValidNameLength(record.front)) {
        return malformed("a front name that is too long");
    }
    return ClaimOwner{.front = std::move(record.front),
                      .incarnation = static_cast<std::uint64_t>(record.incarnation),
                      .attempt = static_cast<std::uint64_t>(record.attempt)};
}

Wire::ClaimRecord toRecord(const Claim &claim)
{
    Wire::ClaimRecord record;
    record.id = claim.id;
    record.serviceName = claim.service;
    record.contentDigest = claim.contentDigest;
    record.owner = toRecord(claim.owner);
    record.deadline = millisecondsOf(claim.deadline);
    record.state = static_cast<std::int32_t>(claim.state);
    record.answer = claim.answer;
    return record;
}

Result<Claim> fromRecord(Wire::ClaimRecord &&record)
{
    if (!hasValidNameLength(record.id) || !hasValidNameLength(record.serviceName) || !hasValidNameLength(record.contentDigest)) {
        return malformed("a claim id, service name or digest that is too long");
    }
    Result<ClaimOwner> owner = fromRecord(std::move(record.owner));
    if (!owner) {
        return owner.error();
    }
    const Result<WallTime> deadline = wallTimeFrom(record.deadline);
    if (!deadline) {
        return deadline.error();
    }
    const Result<ClaimState> state = claimStateFrom(record.state);
    if (!state) {
        return state.error();
    }
    if (state.value() != ClaimState::Ran && !record.answer.empty()) {
        return malformed("an answer for a claim that didn't run");
    }
    return Claim{.id = std::move(record.id),
                 .service = std::move(record.serviceName),
                 .contentDigest = std::move(record.contentDigest),
                 .owner = std::move(owner.value()),
                 .deadline = deadline.value(),
                 .state = state.value(),
                 .answer = std::move(record.answer)};
}

std::vector<Wire::PartitionMapRecord> toRecords(const PartitionMaps &maps)
{
    std::vector<Wire::PartitionMapRecord> records;
    for (const auto &[service, epochs] : maps) {
        for (const PartitionMap &map : epochs) {
            records.push_back(toRecord(map));
        }
    }
    return records;
}

Result<PartitionMaps> fromRecords(std::vector<Wire::PartitionMapRecord> &&records)
{
    PartitionMaps maps;
    std::string previous;
    for (Wire::PartitionMapRecord &record : records) {
        Result<PartitionMap> map = fromRecord(std::move(record));
        if (!map) {
            return map.error();
        }
        if (!map.value().check().has_value() || map.value().service < previous) {
            return malformed("an invalid partition map");
        }
        previous = map.value().service;
        std::vector<PartitionMap> &epochs = maps[previous];
        if (epochs.size() == 2 || (!epochs.empty() && epochs.back().epoch <= map.value().epoch)) {
            return malformed("partition maps out of order");
        }
        epochs.push_back(std::move(map.value()));
    }
    return maps;
}

} // namespace Galenawell::Detail
