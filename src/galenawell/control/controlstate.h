// The replicated state machine of an installation: accepted configurations, partition maps and claims. Deterministic: the
// same commands give the same state and the same serialised bytes on every member.
#pragma once

#include "galenawell/control/controlcommand.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Galenawell {

// The part of the control state that fronts use. Its revision is the log index of the last command that changed it, so a
// newer view has a higher revision.
struct ControlView
{
    std::uint64_t revision = 0;
    std::uint64_t configurationNumber = 0;
    std::string configurationDigest;
    std::string configurationContent;
    // The newest two epochs of each service, newest first.
    std::map<std::string, std::vector<PartitionMap>> partitionMaps;

    friend bool operator==(const ControlView &, const ControlView &) = default;
};

std::string encodeControlView(const ControlView &view);
Result<ControlView> decodeControlView(std::string_view bytes);

class ControlState
{
public:
    explicit ControlState(ConfigurationNumbering numbering = ConfigurationNumbering::Consecutive);

    // `index` is the log index of the command.
    ControlResult apply(const ControlCommand &command, std::uint64_t index);

    // Returns the same object until the view changes.
    std::shared_ptr<const ControlView> view() const;
    const ConfigurationHistory &history() const;
    const ClaimLedger &claims() const;
    // Latest time of all AdvanceTime commands; never decreases.
    WallTime logTime() const;

    std::string serialise() const;
    static Result<ControlState> restore(std::string_view bytes, ConfigurationNumbering numbering = ConfigurationNumbering::Consecutive);

private:
    ControlResult applyConfiguration(const ProposeConfiguration &command, std::uint64_t index);
    ControlResult applyPartitionMap(const RecordPartitionMap &command, std::uint64_t index);
    ControlResult applyTime(const AdvanceTime &command);
    void publishView(std::uint64_t index);

    ConfigurationHistory configurations;
    ClaimLedger ledger;
    std::map<std::string, std::vector<PartitionMap>> partitionMaps;
    WallTime time{};
    std::shared_ptr<const ControlView> currentView;
};

} // namespace Galenawell
