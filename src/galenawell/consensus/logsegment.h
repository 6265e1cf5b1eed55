// Record format of the log's files: magic number, length, xxhash64 checksum, payload. Detects torn writes and damage.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Galenawell::Detail {

// Seed of a record's checksum. It depends on the file's number and the record's position, so a record that was copied
// into a payload or to another position fails the checksum.
std::uint64_t recordSeed(std::uint64_t fileNumber, std::uint64_t position);
std::string encodeFileRecord(std::string_view payload, std::uint64_t seed);

struct SegmentScan
{
    std::vector<std::string_view> payloads;
    // Size of the complete records at the start.
    std::size_t completeBytes = 0;
    // Bytes follow, but no complete record among them: a write that a crash interrupted.
    bool tornTail = false;
    // Bytes that are no record precede a complete record: stored data was damaged.
    bool damaged = false;
};

// The returned payloads are views into `bytes`.
SegmentScan scanSegment(std::string_view bytes, std::uint64_t fileNumber);

} // namespace Galenawell::Detail
