#include "galenawell/control/recoveryfile.h"

#include "galenawell/consensus/datafolder.h"
#include "galenawell/core/thriftcodec.h"
#include "galenawell/front/registrycodec.h"
#include "galenawell/telemetry/log.h"

#include <xxhash.h>

namespace Galenawell {

namespace {

const Log logger("recovery");

constexpr std::size_t checksumBytes = 16;

std::string checksumOf(std::string_view bytes)
{
    XXH128_canonical_t canonical;
    XXH128_canonicalFromHash(&canonical, XXH3_128bits(bytes.data(), bytes.size()));
    return {reinterpret_cast<const char *>(canonical.digest), checksumBytes};
}

} // namespace

std::string encodeRecoveryHint(const RecoveryHint &hint)
{
    RegistryUpdate servers{.full = true, .retired = hint.retired};
    for (const BackendRecord &record : hint.servers) {
        servers.changes.push_back(RegistryChange{.number = 0, .record = record});
    }
    Wire::SubscriptionReply record;
    record.incarnation = 0;
    record.impairedVersion = 0;
    record.liveFronts = 0;
    record.__set_view(encodeControlView(hint.view));
    record.__set_registry(toMessage(servers));
    const std::string bytes = encodeThrift(record);
    return checksumOf(bytes) + bytes;
}

Result<RecoveryHint> decodeRecoveryHint(const std::string &bytes)
{
    const std::string_view text = bytes;
    if (text.size() < checksumBytes || checksumOf(text.substr(checksumBytes)) != text.substr(0, checksumBytes)) {
        return makeError(ErrorKind::StorageCorrupt, "the recovery file's checksum doesn't match");
    }
    Result<Wire::SubscriptionReply> record = decodeThrift<Wire::SubscriptionReply>(text.substr(checksumBytes));
    if (!record) {
        return record.error();
    }
    RecoveryHint hint;
    BOOST_OUTCOME_TRY(hint.view, decodeControlView(record.value().view));
    const RegistryUpdate servers = fromMessage(record.value().registry, "the recovery file", 0);
    if (const std::optional<std::string> defects = describeDefects(servers)) {
        logger.warn(*defects);
    }
    for (const RegistryChange &change : servers.changes) {
        if (change.defect.empty()) {
            hint.servers.push_back(change.record);
        }
    }
    hint.retired = servers.retired;
    return hint;
}

RecoveryFile::RecoveryFile(std::filesystem::path path)
    : file(std::move(path))
{
}

RecoveryFile::~RecoveryFile()
{
    this->thread.join();
}

std::optional<RecoveryHint> RecoveryFile::read() const
{
    std::error_code error;
    if (!std::filesystem::exists(this->file, error)) {
        return std::nullopt;
    }
    const Result<std::string> bytes = Detail::readFile(this->file);
    if (!bytes) {
        logger.warn("the recovery file can't be read: " + bytes.error().message());
        return std::nullopt;
    }
    Result<RecoveryHint> hint = decodeRecoveryHint(bytes.value());
    if (!hint) {
        // A power loss may leave a torn file; all durable state is in the log.
        logger.warn("the recovery file is ignored: " + hint.error().message());
        return std::nullopt;
    }
    return std::move(hint.value());
}

void RecoveryFile::write(const RecoveryHint &hint)
{
    if (this->writing.exchange(true)) {
        return;
    }
    Asio::post(this->thread, [this, bytes = encodeRecoveryHint(hint)] {
        if (const Status status = Detail::replaceFile(this->file, bytes); !status) {
            logger.warn("the recovery file can't be written: " + status.error().message());
        }
        this->writing = false;
    });
}

} // namespace Galenawell
