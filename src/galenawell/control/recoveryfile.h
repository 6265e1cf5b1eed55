// What a control process tells fronts right after a restart, before the log has a leader: the newest view that it knew to
// be committed, and the backend servers that it knew. A hint that shortens the time without service; the log and renewed
// announcements replace it.
#pragma once

#include "galenawell/control/controlstate.h"
#include "galenawell/core/error.h"
#include "galenawell/registry/backendregistry.h"
#include "galenawell/transport/asio.h"

#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace Galenawell {

struct RecoveryHint
{
    ControlView view;
    std::vector<BackendRecord> servers;
};

std::string encodeRecoveryHint(const RecoveryHint &hint);
Result<RecoveryHint> decodeRecoveryHint(const std::string &bytes);

// Writes on a thread of its own, so that a slow disk delays nothing else.
class RecoveryFile
{
public:
    explicit RecoveryFile(std::filesystem::path file);
    ~RecoveryFile();
    RecoveryFile(const RecoveryFile &) = delete;
    RecoveryFile &operator=(const RecoveryFile &) = delete;

    // Nothing if there is no file, or none that can be read.
    std::optional<RecoveryHint> read() const;
    // Left out while the last write is under way.
    void write(const RecoveryHint &hint);

private:
    std::filesystem::path file;
    std::atomic<bool> writing{false};
    Asio::thread_pool thread{1};
};

} // namespace Galenawell
