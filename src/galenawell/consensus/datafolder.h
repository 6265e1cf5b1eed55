// File operations on the data folder with typed errors: exclusive lock, synced writes, atomic file replacement.
#pragma once

#include "galenawell/core/error.h"

#include <cstdint>
#include <filesystem>
#include <string>
#include <string_view>

namespace Galenawell::Detail {

// Owns a file descriptor.
class File
{
public:
    static Result<File> open(const std::filesystem::path &path, int flags);
    File() = default;
    explicit File(int openDescriptor);
    ~File();
    File(File &&other) noexcept;
    File &operator=(File &&other) noexcept;

    int descriptor() const;

private:
    int fileDescriptor = -1;
};

// StorageFull if the disk or the quota is full, otherwise StorageFailed. Reads errno.
Error systemError(std::string_view action, const std::filesystem::path &path);

// Exclusive flock on the folder. The kernel releases it when the process ends, also after a crash.
class DataFolderLock
{
public:
    static Result<DataFolderLock> acquire(const std::filesystem::path &folder);

private:
    File file;
};

Status writeAll(const File &file, std::string_view bytes, const std::filesystem::path &path);
// Syncs the data and the metadata needed to read it back, such as the size.
Status syncData(const File &file, const std::filesystem::path &path);
// Makes file creations, renames and deletions in the folder durable.
Status syncFolder(const std::filesystem::path &folder);
Result<std::string> readFile(const std::filesystem::path &path);
// Writes a temporary file, syncs it, renames it and syncs the folder, so that even after a crash the file holds either
// the old content or the new one.
Status replaceFile(const std::filesystem::path &path, std::string_view bytes);
// Creates the folder with its parents and syncs the parent of each created folder.
Status createFolder(const std::filesystem::path &folder);
Status removeFile(const std::filesystem::path &path);

} // namespace Galenawell::Detail
