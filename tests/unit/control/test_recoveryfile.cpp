#include "galenawell/control/recoveryfile.h"
#include "unit/settings/temporaryfolder.h"

#include <criterion/criterion.h>
#include <fstream>

using namespace Galenawell;

namespace {

RecoveryHint sampleHint()
{
    RecoveryHint hint;
    hint.view.revision = 12;
    hint.view.configurationNumber = 40;
    hint.view.configurationDigest = "d";
    hint.view.configurationContent = "{}";
    BackendRecord record;
    record.key = {.service = "s", .group = "", .address = "10.0.0.1:80"};
    record.identity = "i-1";
    record.incarnation = 5;
    record.sequence = 9;
    record.state = BackendState::Draining;
    hint.servers.push_back(record);
    hint.retired.push_back({.key = {.service = "s", .group = "", .address = "10.0.0.2:80"},
                            .identity = "i-2",
                            .incarnation = 6,
                            .state = BackendState::Stopped,
                            .retention = std::chrono::seconds(30)});
    return hint;
}

} // namespace

// Guards against a restart that loses part of the saved view or servers.
Test(recoveryfile, a_hint_is_read_as_it_was_written)
{
    const TemporaryFolder folder;
    {
        RecoveryFile file(folder.path / "hint");
        cr_assert(!file.read().has_value());
        file.write(sampleHint());
    }
    const std::optional<RecoveryHint> read = RecoveryFile(folder.path / "hint").read();
    cr_assert(read.has_value());
    cr_assert(read->view == sampleHint().view);
    cr_assert(read->servers.size() == 1 && read->servers[0].identity == "i-1" && read->servers[0].state == BackendState::Draining);
    cr_assert(read->servers[0].sequence == 9 && read->servers[0].incarnation == 5);
    cr_assert(read->retired.size() == 1 && read->retired[0].identity == "i-2" && read->retired[0].key.address == "10.0.0.2:80");
    cr_assert(read->retired[0].incarnation == 6 && read->retired[0].state == BackendState::Stopped);
    cr_assert(read->retired[0].retention == std::chrono::seconds(30));
}

// Guards against using a file torn by a power loss: every truncation and every changed byte is detected.
Test(recoveryfile, damaged_bytes_are_rejected)
{
    const std::string bytes = encodeRecoveryHint(sampleHint());
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        cr_assert(!decodeRecoveryHint(bytes.substr(0, length)).has_value());
    }
    for (std::size_t index = 0; index < bytes.size(); ++index) {
        std::string changed = bytes;
        changed[index] = static_cast<char>(changed[index] ^ 1);
        cr_assert(!decodeRecoveryHint(changed).has_value());
    }
}
