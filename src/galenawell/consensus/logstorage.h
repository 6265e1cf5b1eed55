// Stores the log, hard state, snapshot and identity of one member in its data folder. Writes are synced before they
// are reported as stored.
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
    // Maximum size of the folder; 0 if only the file system limits it.
    std::size_t capacityBytes = 0;
    // checkSpace() fails if less than this is free, so that hard state, snapshots and entries of the leader can still be
    // stored.
    std::size_t reserveBytes = std::size_t(64) * 1024 * 1024;
};

class LogStorage
{
public:
    // Locks the folder, creates the identity and files in an empty folder, and reads the stored state. Truncates a torn
    // tail. StorageCorrupt for damage before the tail, StorageLocked if another process has locked the folder.
    static Result<LogStorage> open(LogStorageOptions options);
    ~LogStorage();
    LogStorage(LogStorage &&) noexcept;
    LogStorage &operator=(LogStorage &&) noexcept;

    const LogStorageOptions &options() const;
    MemberId identity() const;
    // True if open() found an empty folder and created a new identity.
    bool createdIdentity() const;
    // The state that open() read.
    const RaftPersistentState &restored() const;

    // Stores and syncs hard state, snapshot and entries of one output, including directory entries.
    //
    // After StorageFull nothing of the output is stored and the same output may be stored again; until that succeeds,
    // its messages must not be sent and persisted() must not be called. After StorageFailed the storage must be opened
    // anew, since the content of the disk is unknown after a failed sync.
    Status store(const RaftOutput &output);
    // StorageFull if only the reserve is left. The leader calls it before it proposes a command.
    Status checkSpace() const;
    // Stores a snapshot of this member's own state and deletes the log segments that it covers.
    Status storeSnapshot(const RaftSnapshot &snapshot);

    std::size_t bytesOnDisk() const;

private:
    struct State;
    explicit LogStorage(std::unique_ptr<State> state);
    std::unique_ptr<State> state;
};

} // namespace Galenawell
