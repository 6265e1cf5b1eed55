// The durable log, hard state, snapshot and identity of one member under its data folder. Nothing counts before it is synced.
#pragma once

#include "galenawell/consensus/raftnode.h"
#include "galenawell/consensus/rafttypes.h"
#include "galenawell/core/error.h"

#include <filesystem>
#include <memory>

namespace Galenawell {

struct LogStorageOptions
{
    std::filesystem::path folder;
    std::size_t segmentBytes = std::size_t(4) * 1024 * 1024;
    // Most bytes that the folder may take; 0 for no limit but the file system's.
    std::size_t capacityBytes = 0;
    // checkSpace() fails when less than this is left, so that hard state, snapshots and entries of the leader can still
    // be stored.
    std::size_t reserveBytes = std::size_t(64) * 1024 * 1024;
};

class LogStorage
{
public:
    // Locks the folder, creates identity and files if the folder is empty, and reads what is stored. Cuts a torn tail;
    // StorageCorrupt for damage before it, StorageLocked if another process holds the folder.
    static Result<LogStorage> open(LogStorageOptions options);
    ~LogStorage();
    LogStorage(LogStorage &&) noexcept;
    LogStorage &operator=(LogStorage &&) noexcept;

    MemberId identity() const;
    // True if open() found an empty folder and created a new identity.
    bool createdIdentity() const;
    // What open() read.
    const RaftPersistentState &restored() const;

    // Stores hard state, snapshot and entries of one output and syncs them, folder entries included.
    //
    // After StorageFull nothing of the output is stored and the same output may be tried again; its messages must not
    // be sent and persisted() must not be called before that. After StorageFailed only a new open() helps, since a
    // failed sync leaves unknown what is on the disk.
    Status store(const RaftOutput &output);
    // StorageFull when the space for new commands has run out. Asked by the leader before it proposes.
    Status checkSpace() const;
    // Stores a snapshot of this member's own state and drops the log segments that it covers.
    Status storeSnapshot(const RaftSnapshot &snapshot);

    std::size_t bytesOnDisk() const;

private:
    struct State;
    explicit LogStorage(std::unique_ptr<State> state);
    std::unique_ptr<State> state;
};

} // namespace Galenawell
