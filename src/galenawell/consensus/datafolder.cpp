#include "galenawell/consensus/datafolder.h"

#include <cerrno>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace Galenawell::Detail {

namespace {

constexpr mode_t filePermissions = 0600;

} // namespace

Error systemError(std::string_view action, const std::filesystem::path &path)
{
    const int code = errno;
    const bool full = code == ENOSPC || code == EDQUOT;
    const std::string reason = std::generic_category().message(code);
    return makeError(full ? ErrorKind::StorageFull : ErrorKind::StorageFailed, std::string(action) + " " + path.string() + ": " + reason);
}

File::File(int openDescriptor)
    : fileDescriptor(openDescriptor)
{
}

File::~File()
{
    if (this->fileDescriptor >= 0) {
        ::close(this->fileDescriptor);
    }
}

File::File(File &&other) noexcept
    : fileDescriptor(std::exchange(other.fileDescriptor, -1))
{
}

File &File::operator=(File &&other) noexcept
{
    std::swap(this->fileDescriptor, other.fileDescriptor);
    return *this;
}

int File::descriptor() const
{
    return this->fileDescriptor;
}

Result<File> File::open(const std::filesystem::path &path, int flags)
{
    File file(::open(path.c_str(), flags | O_CLOEXEC, filePermissions));
    if (file.descriptor() < 0) {
        return systemError("can't open", path);
    }
    return file;
}

Result<DataFolderLock> DataFolderLock::acquire(const std::filesystem::path &folder)
{
    const std::filesystem::path path = folder / "lock";
    Result<File> file = File::open(path, O_RDWR | O_CREAT);
    if (!file) {
        return file.error();
    }
    if (::flock(file.value().descriptor(), LOCK_EX | LOCK_NB) != 0) {
        if (errno == EWOULDBLOCK) {
            return makeError(ErrorKind::StorageLocked, folder.string() + " is used by another process");
        }
        return systemError("can't lock", path);
    }
    DataFolderLock lock;
    lock.file = std::move(file).value();
    return lock;
}

Status writeAll(const File &file, std::string_view bytes, const std::filesystem::path &path)
{
    while (!bytes.empty()) {
        const ssize_t written = ::write(file.descriptor(), bytes.data(), bytes.size());
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written < 0) {
            return systemError("can't write", path);
        }
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return boost::outcome_v2::success();
}

Status syncData(const File &file, const std::filesystem::path &path)
{
    if (::fdatasync(file.descriptor()) != 0) {
        return systemError("can't sync", path);
    }
    return boost::outcome_v2::success();
}

Status syncFolder(const std::filesystem::path &folder)
{
    Result<File> file = File::open(folder, O_RDONLY | O_DIRECTORY);
    if (!file) {
        return file.error();
    }
    if (::fsync(file.value().descriptor()) != 0) {
        return systemError("can't sync", folder);
    }
    return boost::outcome_v2::success();
}

Result<std::string> readFile(const std::filesystem::path &path)
{
    Result<File> file = File::open(path, O_RDONLY);
    if (!file) {
        return file.error();
    }
    // After a failed sync the page cache may hold content that isn't on the disk and counts as written. Such pages are dropped;
    // pages that still wait to be written stay.
    ::posix_fadvise(file.value().descriptor(), 0, 0, POSIX_FADV_DONTNEED);
    struct stat status = {};
    if (::fstat(file.value().descriptor(), &status) != 0) {
        return systemError("can't read", path);
    }
    std::string bytes(static_cast<std::size_t>(status.st_size), '\0');
    std::size_t position = 0;
    while (position < bytes.size()) {
        const ssize_t count = ::read(file.value().descriptor(), bytes.data() + position, bytes.size() - position);
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count < 0) {
            return systemError("can't read", path);
        }
        if (count == 0) {
            break;
        }
        position += static_cast<std::size_t>(count);
    }
    bytes.resize(position);
    return bytes;
}

Status replaceFile(const std::filesystem::path &path, std::string_view bytes)
{
    std::filesystem::path temporary = path;
    temporary += ".tmp";
    Result<File> file = File::open(temporary, O_WRONLY | O_CREAT | O_TRUNC);
    if (!file) {
        return file.error();
    }
    Status stored = writeAll(file.value(), bytes, temporary);
    if (stored) {
        stored = syncData(file.value(), temporary);
    }
    if (!stored) {
        // Frees the space of the partial file; the old content stays in place.
        ::unlink(temporary.c_str());
        return stored;
    }
    if (::rename(temporary.c_str(), path.c_str()) != 0) {
        return systemError("can't rename", temporary);
    }
    return syncFolder(path.parent_path());
}

Status createFolder(const std::filesystem::path &folder)
{
    std::error_code code;
    std::filesystem::path existing = std::filesystem::absolute(folder, code);
    while (!std::filesystem::exists(existing, code) && existing.has_relative_path()) {
        existing = existing.parent_path();
    }
    std::filesystem::create_directories(folder, code);
    if (code) {
        return makeError(ErrorKind::StorageFailed, "can't create " + folder.string() + ": " + code.message());
    }
    // A created folder is durable only after its parent is synced.
    for (std::filesystem::path path = std::filesystem::absolute(folder, code); path != existing; path = path.parent_path()) {
        Status synced = syncFolder(path.parent_path());
        if (!synced) {
            return synced;
        }
    }
    return boost::outcome_v2::success();
}

Status removeFile(const std::filesystem::path &path)
{
    if (::unlink(path.c_str()) != 0 && errno != ENOENT) {
        return systemError("can't delete", path);
    }
    return boost::outcome_v2::success();
}

} // namespace Galenawell::Detail
