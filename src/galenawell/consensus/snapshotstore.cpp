#include "galenawell/consensus/snapshotstore.h"

#include "galenawell/consensus/datafolder.h"
#include "galenawell/consensus/logsegment.h"
#include "galenawell/consensus/raftcodec.h"

namespace Galenawell::Detail {

namespace {

// Segments are numbered from 1.
constexpr std::uint64_t snapshotFileNumber = 0;

} // namespace

SnapshotStore::SnapshotStore(const std::filesystem::path &folder)
    : path(folder / "snapshot")
{
}

Result<std::optional<RaftSnapshot>> SnapshotStore::load()
{
    std::error_code code;
    if (!std::filesystem::exists(this->path, code)) {
        return std::optional<RaftSnapshot>();
    }
    Result<std::string> content = readFile(this->path);
    if (!content) {
        return content.error();
    }
    const SegmentScan scan = scanSegment(content.value(), snapshotFileNumber);
    if (scan.payloads.size() != 1 || scan.completeBytes != content.value().size()) {
        return makeError(ErrorKind::StorageCorrupt, this->path.string() + " is damaged");
    }
    Result<RaftSnapshot> snapshot = decodeRaftSnapshot(scan.payloads.front());
    if (!snapshot) {
        return makeError(ErrorKind::StorageCorrupt, this->path.string() + ": " + snapshot.error().detail);
    }
    this->bytes = content.value().size();
    return std::optional<RaftSnapshot>(std::move(snapshot).value());
}

Status SnapshotStore::store(const RaftSnapshot &snapshot, std::size_t allowedBytes)
{
    const std::string record = encodeFileRecord(encodeRaftSnapshot(snapshot), recordSeed(snapshotFileNumber, 0));
    if (record.size() > allowedBytes) {
        return makeError(ErrorKind::StorageFull, "a snapshot of " + std::to_string(record.size()) + " bytes exceeds the folder's limit");
    }
    Status stored = replaceFile(this->path, record);
    if (stored) {
        this->bytes = record.size();
    }
    return stored;
}

std::size_t SnapshotStore::bytesOnDisk() const
{
    return this->bytes;
}

} // namespace Galenawell::Detail
