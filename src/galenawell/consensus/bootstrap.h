// Creates the first membership of a new installation: only if the settings request it, by one instance, and only after
// every initial voter has reported that it holds no history.
#pragma once

#include "galenawell/consensus/logstorage.h"
#include "galenawell/consensus/rafttypes.h"
#include "galenawell/core/error.h"

#include <cstdint>
#include <vector>

namespace Galenawell {

struct BootstrapOptions
{
    InstanceName self;
    // Requests a new installation. Operators switch it off once the installation runs. If it stays on, an instance that
    // lost its disk still can't create a second installation, because the others report their history.
    bool newInstallation = false;
    // The first one listed creates the installation; the others wait for its messages.
    std::vector<InstanceName> initialVoters;
};

// State of an instance's data folder, as reported to the other initial voters.
struct BootstrapReport
{
    InstanceName instance;
    MemberId identity = 0;
    // True if the folder holds an entry, a snapshot or a term.
    bool hasHistory = false;
};

enum class BootstrapStep : std::uint8_t {
    // The folder has a history: start from the stored state.
    Resume,
    // Start with an empty log; the leader adds this member as a learner unless it is already a voter.
    Join,
    // Reports are missing: query the other initial voters again.
    Wait,
    // Store the first membership and start from it.
    FoundInstallation,
};

struct BootstrapPlan
{
    BootstrapStep step = BootstrapStep::Wait;
    // Set for FoundInstallation.
    Membership membership;
};

// True if an entry, a snapshot or a term is stored.
bool hasHistory(const RaftPersistentState &restored);

// `reports` holds the replies of the other initial voters so far. InvalidSetting if the initial voters are missing or
// listed twice.
Result<BootstrapPlan>
planBootstrap(const BootstrapOptions &options, const BootstrapReport &own, const std::vector<BootstrapReport> &reports);

// Stores the first membership as entry 1 in term 1 and returns the state that the node starts from.
Result<RaftPersistentState> foundInstallation(LogStorage &storage, const Membership &membership);

} // namespace Galenawell
