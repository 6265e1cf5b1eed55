// Stores the newest snapshot in one file, which is replaced atomically.
#pragma once

#include "galenawell/consensus/rafttypes.h"
#include "galenawell/core/error.h"

#include <filesystem>
#include <optional>

namespace Galenawell::Detail {

class SnapshotStore
{
public:
    explicit SnapshotStore(const std::filesystem::path &folder);

    // nullopt if none is stored. StorageCorrupt for any damage: the file is renamed only after it is synced, so a crash
    // can't leave a partial file.
    Result<std::optional<RaftSnapshot>> load();
    // Fails with StorageFull, before anything is written, if more than `allowedBytes` would be added.
    Status store(const RaftSnapshot &snapshot, std::size_t allowedBytes);
    std::size_t bytesOnDisk() const;

private:
    std::filesystem::path path;
    std::size_t bytes = 0;
};

} // namespace Galenawell::Detail
