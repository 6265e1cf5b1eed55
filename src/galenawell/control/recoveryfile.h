// Local cache from which a control process serves fronts after a restart, before the log has a leader: the newest committed
// view and the registered backend servers. A hint that shortens the outage; the log and renewed announcements supersede it.
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
    std::vector<RetiredServer> retired;
};

std::string encodeRecoveryHint(const RecoveryHint &hint);
Result<RecoveryHint> decodeRecoveryHint(const std::string &bytes);

// Writes on a dedicated thread, so that a slow disk doesn't block the executor.
class RecoveryFile
{
public:
    explicit RecoveryFile(std::filesystem::path file);
    ~RecoveryFile();
    RecoveryFile(const RecoveryFile &) = delete;
    RecoveryFile &operator=(const RecoveryFile &) = delete;

    // Empty if the file is missing or unreadable.
    std::optional<RecoveryHint> read() const;
    // Skipped while a previous write is in progress.
    void write(const RecoveryHint &hint);

private:
    std::filesystem::path file;
    std::atomic<bool> writing{false};
    Asio::thread_pool thread{1};
};

} // namespace Galenawell
