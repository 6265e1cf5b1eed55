// First membership of a new installation. Created only when the operator's settings ask for it, by one instance, and
// only while every listed instance reports that it has never taken part in a log.
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
    // The operator asks for a new installation. To be switched off once it runs; if it stays on, an instance that lost
    // its disk still can't found a second one, because the others report their logs.
    bool newInstallation = false;
    // The first voters. The first of them founds the installation, the others wait for its messages.
    std::vector<InstanceName> initialVoters;
};

// What an instance reports about its data folder.
struct BootstrapReport
{
    InstanceName instance;
    MemberId identity = 0;
    // True once it stored an entry, a snapshot, or a term.
    bool hasHistory = false;
};

enum class BootstrapStep : std::uint8_t {
    // This folder has a history: start from it.
    Resume,
    // Start without a history; the leader adds this member as a learner, or already lists it as a voter.
    Join,
    // Ask the other initial voters again.
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

// True if the member has taken part in a log.
bool hasHistory(const RaftPersistentState &restored);

// `reports` holds the answers of the other initial voters so far. InvalidSetting if the settings can't found anything.
Result<BootstrapPlan>
planBootstrap(const BootstrapOptions &options, const BootstrapReport &own, const std::vector<BootstrapReport> &reports);

// Stores the first membership as entry 1 in term 1 and returns what the node starts from.
Result<RaftPersistentState> foundInstallation(LogStorage &storage, const Membership &membership);

} // namespace Galenawell
