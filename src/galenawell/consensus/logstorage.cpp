#include "galenawell/consensus/logstorage.h"

#include "galenawell/consensus/datafolder.h"
#include "galenawell/consensus/logsegment.h"
#include "galenawell/consensus/raftrecords.h"
#include "galenawell/consensus/snapshotstore.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>
#include <deque>
#include <fcntl.h>
#include <iterator>
#include <limits>
#include <random>
#include <sstream>
#include <sys/statvfs.h>
#include <unistd.h>
#include <xxhash.h>

namespace Galenawell {

namespace {

constexpr std::string_view segmentPrefix = "segment-";
constexpr std::string_view identityFormat = "galenawell-member-1";
constexpr std::string_view temporaryExtension = ".tmp";
constexpr int hexadecimalBase = 16;
// After a snapshot the open segment is closed early, at this size. Only closed segments can be deleted, and a restart
// would otherwise read up to a whole segment of entries that the snapshot covers.
constexpr std::size_t rotationBytesAfterSnapshot = 64 * 1024UL;

struct Segment
{
    std::uint64_t number = 0;
    std::size_t bytes = 0;
    // Highest index of a valid entry in it; 0 if none.
    LogIndex lastIndex = 0;
};

std::string toHex(std::uint64_t number)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(number));
    return text.data();
}

std::string identityText(MemberId identity)
{
    const std::string text = std::string(identityFormat) + " " + toHex(identity);
    return text + " " + toHex(XXH64(text.data(), text.size(), 0)) + "\n";
}

Result<MemberId> readIdentity(const std::filesystem::path &path)
{
    Result<std::string> content = Detail::readFile(path);
    if (!content) {
        return content.error();
    }
    std::istringstream stream(content.value());
    std::string format;
    MemberId identity = 0;
    stream >> format >> std::hex >> identity;
    if (identity == 0 || content.value() != identityText(identity)) {
        return makeError(ErrorKind::StorageCorrupt, path.string() + " is damaged");
    }
    return identity;
}

MemberId randomIdentity()
{
    std::random_device device;
    MemberId identity = 0;
    while (identity == 0) {
        identity = (static_cast<MemberId>(device()) << 32U) | device();
    }
    return identity;
}

} // namespace

struct LogStorage::State
{
    State(LogStorageOptions storageOptions, Detail::DataFolderLock folderLock);

    std::filesystem::path segmentPath(std::uint64_t number) const;
    std::filesystem::path identityPath() const;

    Status load();
    Status initialise();
    Status listSegments();
    Status removeTemporaryFiles() const;
    Status loadSegments();
    Status removeReturnedSegments(std::size_t count);
    Status loadSegment(std::size_t position);
    Status replay(std::string_view payload, Segment &segment);
    Status finishLoad();
    Status corruptionError(const std::filesystem::path &path, const std::string &what) const;

    Status append(const Wire::StoredBatch &batch);
    Status appendRecord(std::string_view record);
    Status createSegment(std::uint64_t number);
    Status openNewestSegment();
    Status dropCoveredSegments();
    Status installSnapshot(const RaftSnapshot &snapshot);
    Status markFailed(const Status &status);
    std::size_t usedBytes() const;
    std::size_t remainingBytes() const;
    bool containsLastEntryOf(const RaftSnapshot &snapshot) const;
    void truncateTerms(LogIndex from);
    void recordEntries(const std::vector<LogEntry> &entries, Segment &segment);
    void discardEntries(LogIndex restartAfter);
    Wire::StoredBatch makeBatch(const RaftOutput &output) const;
    Status checkContinuity(const RaftOutput &output) const;

    LogStorageOptions options;
    Detail::DataFolderLock lock;
    MemberId identity = 0;
    bool createdIdentity = false;
    RaftPersistentState restored;

    Detail::SnapshotStore snapshots;
    LogIndex snapshotIndex = 0;
    bool snapshotSinceRotation = false;
    // A received snapshot is stored, but the record that discards the entries it replaces isn't written yet.
    bool restartPending = false;
    HardState hardState;
    std::vector<Segment> segments;
    // The newest segment, open for appending.
    Detail::File file;
    // Terms of the stored entries after `termsBase`.
    LogIndex termsBase = 0;
    std::deque<Term> terms;
    // A write or sync failed in a way that leaves the content of the files unknown.
    bool failed = false;
};

LogStorage::State::State(LogStorageOptions storageOptions, Detail::DataFolderLock folderLock)
    : options(std::move(storageOptions))
    , lock(std::move(folderLock))
    , snapshots(this->options.folder)
{
}

std::filesystem::path LogStorage::State::segmentPath(std::uint64_t number) const
{
    return this->options.folder / (std::string(segmentPrefix) + toHex(number));
}

std::filesystem::path LogStorage::State::identityPath() const
{
    return this->options.folder / "identity";
}

Status LogStorage::State::corruptionError(const std::filesystem::path &path, const std::string &what) const
{
    return makeError(ErrorKind::StorageCorrupt, path.string() + ": " + what);
}

// Reading.

Status LogStorage::State::load()
{
    std::error_code code;
    Status status = this->removeTemporaryFiles();
    if (status) {
        status = this->listSegments();
    }
    if (status && !std::filesystem::exists(this->identityPath(), code)) {
        return this->initialise();
    }
    if (!status) {
        return status;
    }
    Result<MemberId> stored = readIdentity(this->identityPath());
    if (!stored) {
        return stored.error();
    }
    this->identity = stored.value();
    Result<std::optional<RaftSnapshot>> snapshot = this->snapshots.load();
    if (!snapshot) {
        return snapshot.error();
    }
    this->restored.snapshot = std::move(snapshot).value();
    this->snapshotIndex = this->restored.snapshot ? this->restored.snapshot->index : 0;
    status = this->loadSegments();
    if (!status) {
        return status;
    }
    return this->finishLoad();
}

// The identity is written last, so a folder without one holds at most the first segment of an interrupted initialisation.
Status LogStorage::State::initialise()
{
    std::error_code code;
    if (std::filesystem::exists(this->options.folder / "snapshot", code) || this->segments.size() > 1) {
        return this->corruptionError(this->identityPath(), "is missing from a folder that holds a log");
    }
    if (!this->segments.empty()) {
        Status loaded = this->loadSegments();
        if (!loaded) {
            return loaded;
        }
        if (!this->restored.entries.empty() || this->hardState != HardState{}) {
            return this->corruptionError(this->identityPath(), "is missing from a folder that holds a log");
        }
        this->file = Detail::File();
        Status removed = Detail::removeFile(this->segmentPath(this->segments.front().number));
        if (!removed) {
            return removed;
        }
        this->segments.clear();
    }
    Status created = this->createSegment(1);
    if (!created) {
        return created;
    }
    this->identity = randomIdentity();
    this->createdIdentity = true;
    return Detail::replaceFile(this->identityPath(), identityText(this->identity));
}

Status LogStorage::State::removeTemporaryFiles() const
{
    std::error_code code;
    std::vector<std::filesystem::path> temporary;
    for (const std::filesystem::directory_entry &item : std::filesystem::directory_iterator(this->options.folder, code)) {
        if (item.path().extension() == temporaryExtension) {
            temporary.push_back(item.path());
        }
    }
    if (code) {
        return makeError(ErrorKind::StorageFailed, "can't list " + this->options.folder.string() + ": " + code.message());
    }
    for (const std::filesystem::path &path : temporary) {
        Status removed = Detail::removeFile(path);
        if (!removed) {
            return removed;
        }
    }
    return boost::outcome_v2::success();
}

Status LogStorage::State::listSegments()
{
    std::error_code code;
    for (const std::filesystem::directory_entry &item : std::filesystem::directory_iterator(this->options.folder, code)) {
        const std::string name = item.path().filename().string();
        if (!name.starts_with(segmentPrefix)) {
            continue;
        }
        const std::uint64_t number = std::strtoull(name.c_str() + segmentPrefix.size(), nullptr, hexadecimalBase);
        this->segments.push_back(Segment{.number = number, .bytes = 0, .lastIndex = 0});
    }
    if (code) {
        return makeError(ErrorKind::StorageFailed, "can't list " + this->options.folder.string() + ": " + code.message());
    }
    std::ranges::sort(this->segments, {}, &Segment::number);
    return boost::outcome_v2::success();
}

Status LogStorage::State::loadSegments()
{
    if (this->segments.empty()) {
        return this->corruptionError(this->options.folder, "holds an identity but no log");
    }
    for (std::size_t position = 0; position < this->segments.size(); ++position) {
        if (position > 0 && this->segments[position].number != this->segments[position - 1].number + 1) {
            Status removed = this->removeReturnedSegments(position);
            if (!removed) {
                return removed;
            }
            position = 0;
        }
        Status loaded = this->loadSegment(position);
        if (!loaded) {
            return loaded;
        }
    }
    return boost::outcome_v2::success();
}

// Removes the segments before a gap again. A loss of power before the sync of the folder may bring any of the removed ones back,
// and only covered ones were removed.
Status LogStorage::State::removeReturnedSegments(std::size_t count)
{
    const auto gap = this->segments.begin() + static_cast<std::ptrdiff_t>(count);
    for (auto segment = this->segments.begin(); segment != gap; ++segment) {
        if (!this->restored.snapshot || segment->lastIndex > this->snapshotIndex) {
            return this->corruptionError(this->segmentPath(std::prev(gap)->number + 1), "is missing");
        }
    }
    for (auto segment = this->segments.begin(); segment != gap; ++segment) {
        Status removed = Detail::removeFile(this->segmentPath(segment->number));
        if (!removed) {
            return removed;
        }
    }
    this->segments.erase(this->segments.begin(), gap);
    this->restored.entries.clear();
    // Each segment begins with the hard state of its time.
    this->hardState = HardState{};
    return boost::outcome_v2::success();
}

Status LogStorage::State::loadSegment(std::size_t position)
{
    Segment &segment = this->segments[position];
    const std::filesystem::path path = this->segmentPath(segment.number);
    Result<std::string> content = Detail::readFile(path);
    if (!content) {
        return content.error();
    }
    const Detail::SegmentScan scan = Detail::scanSegment(content.value(), segment.number);
    const bool newest = position + 1 == this->segments.size();
    // A segment is complete and synced before the next one is created.
    if (scan.damaged || (!newest && (scan.tornTail || scan.payloads.empty()))) {
        return this->corruptionError(path, "is damaged after byte " + std::to_string(scan.completeBytes));
    }
    segment.bytes = scan.completeBytes;
    for (const std::string_view payload : scan.payloads) {
        Status replayed = this->replay(payload, segment);
        if (!replayed) {
            return replayed;
        }
    }
    return boost::outcome_v2::success();
}

Status LogStorage::State::replay(std::string_view payload, Segment &segment)
{
    const std::filesystem::path path = this->segmentPath(segment.number);
    Result<Wire::StoredBatch> batch = decodeThrift<Wire::StoredBatch>(payload, Detail::maximumRecordBytes);
    if (!batch) {
        return this->corruptionError(path, batch.error().detail);
    }
    Result<std::vector<LogEntry>> entries = Detail::fromRecords(std::move(batch.value().entries));
    if (!entries) {
        return this->corruptionError(path, entries.error().detail);
    }
    if (batch.value().__isset.hardState) {
        this->hardState.term = static_cast<Term>(batch.value().hardState.term);
        this->hardState.votedFor = static_cast<MemberId>(batch.value().hardState.votedFor);
    }
    if (batch.value().__isset.restartAfter) {
        this->discardEntries(static_cast<LogIndex>(batch.value().restartAfter));
        this->restored.entries.clear();
    }
    std::vector<LogEntry> &log = this->restored.entries;
    for (LogEntry &entry : entries.value()) {
        // A later record replaces the entries from its first index on.
        while (!log.empty() && log.back().index >= entry.index) {
            log.pop_back();
        }
        const LogIndex expected = log.empty() ? entry.index : log.back().index + 1;
        if (entry.index != expected) {
            return this->corruptionError(path, "entry " + std::to_string(expected) + " is missing");
        }
        segment.lastIndex = std::max(segment.lastIndex, entry.index);
        log.push_back(std::move(entry));
    }
    return boost::outcome_v2::success();
}

Status LogStorage::State::finishLoad()
{
    std::vector<LogEntry> &log = this->restored.entries;
    if (!log.empty() && log.front().index > this->snapshotIndex + 1) {
        return this->corruptionError(this->options.folder / "snapshot",
                                     "doesn't cover the entries before " + std::to_string(log.front().index));
    }
    this->restored.hardState = this->hardState;
    this->termsBase = log.empty() ? this->snapshotIndex : log.front().index - 1;
    for (const LogEntry &entry : log) {
        this->terms.push_back(entry.term);
    }
    Status opened = this->openNewestSegment();
    if (!opened) {
        return opened;
    }
    if (this->restored.snapshot && !this->containsLastEntryOf(*this->restored.snapshot)) {
        // The process ended after a received snapshot was stored and before the record that discards the replaced entries.
        log.clear();
        Wire::StoredBatch batch;
        batch.__set_restartAfter(static_cast<std::int64_t>(this->snapshotIndex));
        Status restarted = this->append(batch);
        if (!restarted) {
            return restarted;
        }
        this->discardEntries(this->snapshotIndex);
    }
    std::erase_if(log, [this](const LogEntry &entry) { return entry.index <= this->snapshotIndex; });
    return this->dropCoveredSegments();
}

// Truncates a torn tail and syncs what was read: if the last process was killed, it may be only in the page cache.
Status LogStorage::State::openNewestSegment()
{
    const Segment &last = this->segments.back();
    const std::filesystem::path path = this->segmentPath(last.number);
    if (last.bytes == 0) {
        const std::uint64_t number = last.number;
        this->segments.pop_back();
        return this->createSegment(number);
    }
    Result<Detail::File> opened = Detail::File::open(path, O_WRONLY | O_APPEND);
    if (!opened) {
        return opened.error();
    }
    this->file = std::move(opened).value();
    if (::ftruncate(this->file.descriptor(), static_cast<off_t>(last.bytes)) != 0) {
        return Detail::systemError("can't truncate", path);
    }
    Status synced = Detail::syncData(this->file, path);
    if (!synced) {
        return synced;
    }
    return Detail::syncFolder(this->options.folder);
}

// Writing.

std::size_t LogStorage::State::usedBytes() const
{
    std::size_t total = this->snapshots.bytesOnDisk();
    for (const Segment &segment : this->segments) {
        total += segment.bytes;
    }
    return total;
}

std::size_t LogStorage::State::remainingBytes() const
{
    if (this->options.capacityBytes == 0) {
        return std::numeric_limits<std::size_t>::max();
    }
    return this->options.capacityBytes - std::min(this->options.capacityBytes, this->usedBytes());
}

Status LogStorage::State::markFailed(const Status &status)
{
    this->failed = true;
    return makeError(ErrorKind::StorageFailed, status.error().detail);
}

Status LogStorage::State::createSegment(std::uint64_t number)
{
    const std::filesystem::path path = this->segmentPath(number);
    Wire::StoredBatch first;
    // Repeated in each segment, so that earlier segments can be deleted.
    Wire::HardStateRecord record;
    record.term = static_cast<std::int64_t>(this->hardState.term);
    record.votedFor = static_cast<std::int64_t>(this->hardState.votedFor);
    first.__set_hardState(record);
    const std::string bytes = Detail::encodeFileRecord(encodeThrift(first), Detail::recordSeed(number, 0));
    Result<Detail::File> created = Detail::File::open(path, O_WRONLY | O_APPEND | O_CREAT | O_TRUNC);
    if (!created) {
        return created.error();
    }
    Status stored = Detail::writeAll(created.value(), bytes, path);
    if (stored) {
        stored = Detail::syncData(created.value(), path);
    }
    if (stored) {
        stored = Detail::syncFolder(this->options.folder);
    }
    if (!stored) {
        Status removed = Detail::removeFile(path);
        return removed ? stored : this->markFailed(removed);
    }
    this->file = std::move(created).value();
    this->segments.push_back(Segment{.number = number, .bytes = bytes.size(), .lastIndex = 0});
    return boost::outcome_v2::success();
}

Status LogStorage::State::append(const Wire::StoredBatch &batch)
{
    const std::size_t limit
        = this->snapshotSinceRotation ? std::min(rotationBytesAfterSnapshot, this->options.segmentBytes) : this->options.segmentBytes;
    if (this->segments.back().bytes >= limit) {
        Status created = this->createSegment(this->segments.back().number + 1);
        if (!created) {
            return created;
        }
        this->snapshotSinceRotation = false;
        Status dropped = this->dropCoveredSegments();
        if (!dropped) {
            return dropped;
        }
    }
    const Segment &segment = this->segments.back();
    const std::uint64_t seed = Detail::recordSeed(segment.number, segment.bytes);
    return this->appendRecord(Detail::encodeFileRecord(encodeThrift(batch), seed));
}

Status LogStorage::State::appendRecord(std::string_view record)
{
    Segment &segment = this->segments.back();
    const std::filesystem::path path = this->segmentPath(segment.number);
    if (record.size() > this->remainingBytes()) {
        return makeError(ErrorKind::StorageFull, this->options.folder.string() + " has reached its configured capacity");
    }
    Status written = Detail::writeAll(this->file, record, path);
    if (!written) {
        // Removes the partial record, so that the same output can be stored later.
        if (::ftruncate(this->file.descriptor(), static_cast<off_t>(segment.bytes)) != 0) {
            return this->markFailed(written);
        }
        return written;
    }
    Status synced = Detail::syncData(this->file, path);
    if (!synced) {
        return this->markFailed(synced);
    }
    segment.bytes += record.size();
    return boost::outcome_v2::success();
}

bool LogStorage::State::containsLastEntryOf(const RaftSnapshot &snapshot) const
{
    if (snapshot.index == this->termsBase) {
        return true;
    }
    if (snapshot.index < this->termsBase || snapshot.index > this->termsBase + this->terms.size()) {
        return false;
    }
    return this->terms[snapshot.index - this->termsBase - 1] == snapshot.term;
}

void LogStorage::State::truncateTerms(LogIndex from)
{
    while (!this->terms.empty() && this->termsBase + this->terms.size() >= from) {
        this->terms.pop_back();
    }
}

void LogStorage::State::recordEntries(const std::vector<LogEntry> &entries, Segment &segment)
{
    for (const LogEntry &entry : entries) {
        this->truncateTerms(entry.index);
        this->terms.push_back(entry.term);
        segment.lastIndex = std::max(segment.lastIndex, entry.index);
    }
}

void LogStorage::State::discardEntries(LogIndex restartAfter)
{
    for (Segment &segment : this->segments) {
        segment.lastIndex = 0;
    }
    this->terms.clear();
    this->termsBase = restartAfter;
}

// Deletes the oldest segment first, so that a crash of the process leaves no gap. A loss of power may, see
// removeReturnedSegments().
Status LogStorage::State::dropCoveredSegments()
{
    bool dropped = false;
    while (this->segments.size() > 1 && this->segments.front().lastIndex <= this->snapshotIndex) {
        Status removed = Detail::removeFile(this->segmentPath(this->segments.front().number));
        if (!removed) {
            return removed;
        }
        this->segments.erase(this->segments.begin());
        dropped = true;
    }
    while (this->termsBase < this->snapshotIndex && !this->terms.empty()) {
        this->terms.pop_front();
        ++this->termsBase;
    }
    return dropped ? Detail::syncFolder(this->options.folder) : Status(boost::outcome_v2::success());
}

Wire::StoredBatch LogStorage::State::makeBatch(const RaftOutput &output) const
{
    Wire::StoredBatch batch;
    if (output.hardState) {
        Wire::HardStateRecord record;
        record.term = static_cast<std::int64_t>(output.hardState->term);
        record.votedFor = static_cast<std::int64_t>(output.hardState->votedFor);
        batch.__set_hardState(record);
    }
    for (const LogEntry &entry : output.append) {
        batch.entries.push_back(Detail::toRecord(entry));
    }
    return batch;
}

// Entries that leave a gap or start below the snapshot could be stored but not read back.
Status LogStorage::State::checkContinuity(const RaftOutput &output) const
{
    if (output.append.empty()) {
        return boost::outcome_v2::success();
    }
    const LogIndex first = output.append.front().index;
    const LogIndex installed = output.installSnapshot ? output.installSnapshot->index : 0;
    const LogIndex covered = std::max(this->snapshotIndex, installed);
    const LogIndex last = std::max(installed, this->termsBase + this->terms.size());
    if (first <= covered || first > last + 1) {
        return makeError(ErrorKind::Internal,
                         "entry " + std::to_string(first) + " doesn't follow a log of " + std::to_string(covered) + " to "
                             + std::to_string(last));
    }
    return boost::outcome_v2::success();
}

// Interface.

LogStorage::LogStorage(std::unique_ptr<State> storageState)
    : state(std::move(storageState))
{
}

LogStorage::~LogStorage() = default;
LogStorage::LogStorage(LogStorage &&) noexcept = default;
LogStorage &LogStorage::operator=(LogStorage &&) noexcept = default;

Result<LogStorage> LogStorage::open(LogStorageOptions options)
{
    Status created = Detail::createFolder(options.folder);
    if (!created) {
        return created.error();
    }
    Result<Detail::DataFolderLock> lock = Detail::DataFolderLock::acquire(options.folder);
    if (!lock) {
        return lock.error();
    }
    auto state = std::make_unique<State>(std::move(options), std::move(lock).value());
    Status loaded = state->load();
    if (!loaded) {
        return loaded.error();
    }
    return LogStorage(std::move(state));
}

const LogStorageOptions &LogStorage::options() const
{
    return this->state->options;
}

MemberId LogStorage::identity() const
{
    return this->state->identity;
}

bool LogStorage::createdIdentity() const
{
    return this->state->createdIdentity;
}

const RaftPersistentState &LogStorage::restored() const
{
    return this->state->restored;
}

Status LogStorage::store(const RaftOutput &output)
{
    State &storage = *this->state;
    if (storage.failed) {
        return makeError(ErrorKind::StorageFailed, "an earlier write to " + storage.options.folder.string() + " failed");
    }
    Status continuity = storage.checkContinuity(output);
    if (!continuity) {
        return continuity;
    }
    Wire::StoredBatch batch = storage.makeBatch(output);
    if (output.installSnapshot && output.installSnapshot->index > storage.snapshotIndex) {
        Status stored = storage.snapshots.store(*output.installSnapshot, storage.remainingBytes());
        if (!stored) {
            return stored;
        }
        storage.snapshotIndex = output.installSnapshot->index;
    }
    if (output.installSnapshot && !storage.containsLastEntryOf(*output.installSnapshot)) {
        storage.restartPending = true;
    }
    if (storage.restartPending) {
        batch.__set_restartAfter(static_cast<std::int64_t>(storage.snapshotIndex));
    }
    if (output.hardState || storage.restartPending || !output.append.empty()) {
        Status appended = storage.append(batch);
        if (!appended) {
            return appended;
        }
    }
    if (output.hardState) {
        storage.hardState = *output.hardState;
    }
    if (storage.restartPending) {
        storage.discardEntries(storage.snapshotIndex);
        storage.restartPending = false;
    }
    storage.recordEntries(output.append, storage.segments.back());
    return output.installSnapshot ? storage.dropCoveredSegments() : Status(boost::outcome_v2::success());
}

Status LogStorage::storeSnapshot(const RaftSnapshot &snapshot)
{
    State &storage = *this->state;
    if (storage.failed) {
        return makeError(ErrorKind::StorageFailed, "an earlier write to " + storage.options.folder.string() + " failed");
    }
    if (snapshot.index <= storage.snapshotIndex) {
        return boost::outcome_v2::success();
    }
    Status stored = storage.snapshots.store(snapshot, storage.remainingBytes());
    if (!stored) {
        return stored;
    }
    storage.snapshotIndex = snapshot.index;
    storage.snapshotSinceRotation = true;
    return storage.dropCoveredSegments();
}

Status LogStorage::checkSpace() const
{
    const State &storage = *this->state;
    struct statvfs status = {};
    if (::statvfs(storage.options.folder.c_str(), &status) != 0) {
        return Detail::systemError("can't read the free space of", storage.options.folder);
    }
    const std::size_t available = static_cast<std::size_t>(status.f_bavail) * status.f_frsize;
    if (std::min(available, storage.remainingBytes()) < storage.options.reserveBytes) {
        return makeError(ErrorKind::StorageFull,
                         "less than " + std::to_string(storage.options.reserveBytes) + " bytes are left for "
                             + storage.options.folder.string());
    }
    return boost::outcome_v2::success();
}

std::size_t LogStorage::bytesOnDisk() const
{
    return this->state->usedBytes();
}

} // namespace Galenawell
