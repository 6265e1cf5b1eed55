#include "galenawell/consensus/bootstrap.h"

#include "galenawell/consensus/membershipplan.h"
#include "galenawell/consensus/raftcodec.h"

#include <algorithm>

namespace Galenawell {

namespace {

constexpr Term foundingTerm = 1;

Status checkOptions(const BootstrapOptions &options)
{
    if (options.initialVoters.empty()) {
        return makeError(ErrorKind::InvalidSetting, "a new installation is asked for, but no initial voters are listed");
    }
    std::vector<InstanceName> names = options.initialVoters;
    std::ranges::sort(names);
    const auto twice = std::ranges::adjacent_find(names);
    if (twice != names.end()) {
        return makeError(ErrorKind::InvalidSetting, "initial voter " + *twice + " is listed twice");
    }
    return boost::outcome_v2::success();
}

} // namespace

bool hasHistory(const RaftPersistentState &restored)
{
    return restored.snapshot.has_value() || !restored.entries.empty() || restored.hardState != HardState{};
}

Result<BootstrapPlan>
planBootstrap(const BootstrapOptions &options, const BootstrapReport &own, const std::vector<BootstrapReport> &reports)
{
    if (own.hasHistory) {
        return BootstrapPlan{.step = BootstrapStep::Resume, .membership = {}};
    }
    if (!options.newInstallation) {
        return BootstrapPlan{.step = BootstrapStep::Join, .membership = {}};
    }
    Status valid = checkOptions(options);
    if (!valid) {
        return valid.error();
    }
    const bool othersHaveHistory = std::ranges::any_of(reports, &BootstrapReport::hasHistory);
    if (othersHaveHistory || options.initialVoters.front() != options.self) {
        return BootstrapPlan{.step = BootstrapStep::Join, .membership = {}};
    }
    BootstrapPlan plan{.step = BootstrapStep::FoundInstallation, .membership = {}};
    for (const InstanceName &instance : options.initialVoters) {
        const auto report = std::ranges::find(reports, instance, &BootstrapReport::instance);
        if (instance == options.self) {
            plan.membership.members.push_back(Member{.id = own.identity, .instance = instance, .voter = true});
        } else if (report != reports.end()) {
            plan.membership.members.push_back(Member{.id = report->identity, .instance = instance, .voter = true});
        } else {
            return BootstrapPlan{.step = BootstrapStep::Wait, .membership = {}};
        }
    }
    return plan;
}

Result<RaftPersistentState> foundInstallation(LogStorage &storage, const Membership &membership)
{
    if (hasHistory(storage.restored())) {
        return makeError(ErrorKind::InvalidSetting, "the data folder already holds a log, so no new installation can be founded in it");
    }
    const Member *own = findMember(membership, storage.identity());
    if (own == nullptr || !own->voter) {
        return makeError(ErrorKind::InvalidSetting, "the founding instance isn't one of the initial voters");
    }
    RaftOutput output;
    output.hardState = HardState{.term = foundingTerm, .votedFor = 0};
    output.append.push_back(LogEntry{
        .index = 1,
        .term = foundingTerm,
        .kind = EntryKind::Membership,
        .payload = encodeMembership(membership),
    });
    Status stored = storage.store(output);
    if (!stored) {
        return stored.error();
    }
    return RaftPersistentState{.hardState = *output.hardState, .snapshot = std::nullopt, .entries = output.append};
}

} // namespace Galenawell
