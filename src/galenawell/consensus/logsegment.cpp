#include "galenawell/consensus/logsegment.h"

#include <array>
#include <boost/endian/conversion.hpp>
#include <optional>
#include <xxhash.h>

namespace Galenawell::Detail {

namespace {

constexpr std::string_view magic = "GWR1";
constexpr std::size_t lengthOffset = 4;
constexpr std::size_t checksumOffset = 12;
constexpr std::size_t headerBytes = 20;
// Odd multipliers spread neighbouring numbers over all bits of the seed.
constexpr std::uint64_t fileNumberMultiplier = 0x9E3779B97F4A7C15ULL;
constexpr std::uint64_t positionMultiplier = 0xC2B2AE3D27D4EB4FULL;

std::uint64_t checksum(std::string_view payload, std::uint64_t seed)
{
    return XXH64(payload.data(), payload.size(), seed ^ payload.size());
}

// The payload of the record at the position, or nullopt if no complete record starts there.
std::optional<std::string_view> recordAt(std::string_view bytes, std::size_t position, std::uint64_t fileNumber)
{
    const std::string_view rest = bytes.substr(position);
    if (rest.size() < headerBytes || !rest.starts_with(magic)) {
        return std::nullopt;
    }
    const auto *header = reinterpret_cast<const unsigned char *>(rest.data());
    const std::uint64_t length = boost::endian::load_little_u64(header + lengthOffset);
    if (length > rest.size() - headerBytes) {
        return std::nullopt;
    }
    const std::string_view payload = rest.substr(headerBytes, length);
    if (boost::endian::load_little_u64(header + checksumOffset) != checksum(payload, recordSeed(fileNumber, position))) {
        return std::nullopt;
    }
    return payload;
}

bool hasCompleteRecordAfter(std::string_view bytes, std::size_t position, std::uint64_t fileNumber)
{
    std::size_t candidate = bytes.find(magic, position + 1);
    while (candidate != std::string_view::npos) {
        if (recordAt(bytes, candidate, fileNumber)) {
            return true;
        }
        candidate = bytes.find(magic, candidate + 1);
    }
    return false;
}

} // namespace

std::uint64_t recordSeed(std::uint64_t fileNumber, std::uint64_t position)
{
    return fileNumber * fileNumberMultiplier + position * positionMultiplier;
}

std::string encodeFileRecord(std::string_view payload, std::uint64_t seed)
{
    std::array<unsigned char, headerBytes> header{};
    magic.copy(reinterpret_cast<char *>(header.data()), magic.size());
    boost::endian::store_little_u64(header.data() + lengthOffset, payload.size());
    boost::endian::store_little_u64(header.data() + checksumOffset, checksum(payload, seed));
    std::string record;
    record.reserve(headerBytes + payload.size());
    record.append(reinterpret_cast<const char *>(header.data()), header.size());
    record.append(payload);
    return record;
}

SegmentScan scanSegment(std::string_view bytes, std::uint64_t fileNumber)
{
    SegmentScan scan;
    while (scan.completeBytes < bytes.size()) {
        const std::optional<std::string_view> payload = recordAt(bytes, scan.completeBytes, fileNumber);
        if (!payload) {
            scan.damaged = hasCompleteRecordAfter(bytes, scan.completeBytes, fileNumber);
            scan.tornTail = !scan.damaged;
            break;
        }
        scan.payloads.push_back(*payload);
        scan.completeBytes += headerBytes + payload->size();
    }
    return scan;
}

} // namespace Galenawell::Detail
