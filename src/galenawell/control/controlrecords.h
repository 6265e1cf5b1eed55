// Converts values of the control state to and from Thrift records. Decoding validates untrusted bytes: sizes, enumerators
// and times are range-checked, and a violation gives MalformedFrame.
#pragma once

#include "galenawell/claims/claimledger.h"
#include "galenawell/configuration/configurationhistory.h"
#include "galenawell/core/error.h"
#include "galenawell/core/thriftcodec.h"
#include "galenawell/registry/partitionmap.h"

#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

// Thrift's headers trigger -Wshadow.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wshadow"
#include "control_types.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#pragma GCC diagnostic pop

namespace Galenawell::Detail {

using MemoryBuffer = apache::thrift::transport::TMemoryBuffer;
using CompactProtocol = apache::thrift::protocol::TCompactProtocolT<MemoryBuffer>;

// Limit for the names of services, groups and fronts and for digests; the configuration's own limits are far lower.
inline constexpr std::size_t maximumNameBytes = 256;

// Thrift stores message sizes in signed 32-bit integers.
inline constexpr std::size_t maximumSnapshotBytes = std::numeric_limits<std::int32_t>::max();

// Serialises records back to back into one buffer.
class RecordWriter
{
public:
    template<typename Record>
    void write(const Record &record)
    {
        record.write(&this->protocol);
    }

    std::string take()
    {
        return this->buffer->getBufferAsString();
    }

private:
    std::shared_ptr<MemoryBuffer> buffer = std::make_shared<MemoryBuffer>();
    CompactProtocol protocol{this->buffer};
};

// Reads records that were written back to back. The bytes must outlive the reader.
class RecordReader
{
public:
    explicit RecordReader(std::string_view bytes);

    template<typename Record>
    Result<Record> read()
    {
        Record record;
        try {
            record.read(&this->protocol);
        } catch (const std::exception &exception) {
            return makeError(ErrorKind::MalformedFrame, std::string("a control record can't be read: ") + exception.what());
        }
        return record;
    }

    bool atEnd() const;

private:
    std::shared_ptr<MemoryBuffer> buffer;
    CompactProtocol protocol;
};

inline Error malformed(const std::string &what)
{
    return makeError(ErrorKind::MalformedFrame, "control record with " + what);
}

using PartitionMaps = std::map<std::string, std::vector<PartitionMap>>;

Wire::ConfigurationProposalRecord toRecord(const ConfigurationProposal &proposal);
Wire::PartitionMapRecord toRecord(const PartitionMap &map);
Wire::ClaimOwnerRecord toRecord(const ClaimOwner &owner);
Wire::ClaimRecord toRecord(const Claim &claim);
std::vector<Wire::PartitionMapRecord> toRecords(const PartitionMaps &maps);

Result<ConfigurationProposal> fromRecord(Wire::ConfigurationProposalRecord &&record);
Result<PartitionMap> fromRecord(Wire::PartitionMapRecord &&record);
Result<ClaimOwner> fromRecord(Wire::ClaimOwnerRecord &&record);
Result<Claim> fromRecord(Wire::ClaimRecord &&record);
// Accepts only what a ControlState produces: valid maps in the order of services, at most two epochs each, newest first.
Result<PartitionMaps> fromRecords(std::vector<Wire::PartitionMapRecord> &&records);
Result<ClaimState> claimStateFrom(std::int32_t value);
Result<WallTime> wallTimeFrom(std::int64_t milliseconds);

std::int64_t millisecondsOf(WallTime time);

} // namespace Galenawell::Detail
