// Disks that are full or fail for a while: the storage of one member, and a log of five members whose disks fail in turn.
#include "fault/consensus/faultyfiles.h"
#include "galenawell/control/replicatedlog.h"
#include "unit/consensus/temporaryfolder.h"
#include "unit/transport/loopback.h"

#include <criterion/criterion.h>
#include <thread>

using namespace Galenawell;
using namespace Galenawell::Testing;
using namespace std::chrono_literals;

namespace {

using Call = FaultyFiles::Call;

// ---- The storage of one member

constexpr std::size_t smallSegmentBytes = 256;
constexpr LogIndex lastEntry = 30;

RaftOutput outputWith(LogIndex index)
{
    RaftOutput output;
    output.hardState = HardState{.term = 1 + index / 10, .votedFor = 7};
    output.append.push_back({.index = index, .term = 1, .kind = EntryKind::Command, .payload = "p" + std::to_string(index)});
    return output;
}

RaftSnapshot snapshotAt(LogIndex index)
{
    return RaftSnapshot{.index = index, .term = 1, .membership = {{{.id = 7, .instance = "a", .voter = true}}}, .state = "state"};
}

class Storage
{
public:
    Storage()
    {
        cr_assert(this->reopen());
    }

    bool reopen()
    {
        this->storage.reset();
        Result<LogStorage> opened = LogStorage::open({.folder = this->folder.path, .segmentBytes = smallSegmentBytes});
        if (!opened) {
            return false;
        }
        this->storage.emplace(std::move(opened.value()));
        return true;
    }

    // Index of the last stored entry, after opening.
    LogIndex restoredThrough() const
    {
        const RaftPersistentState &restored = this->storage->restored();
        const LogIndex snapshot = restored.snapshot ? restored.snapshot->index : 0;
        return restored.entries.empty() ? snapshot : restored.entries.back().index;
    }

    TemporaryFolder folder;
    std::optional<LogStorage> storage;
};

// Stores an entry although the calls fail meanwhile.
void storeDespiteFaults(Storage &disk, LogIndex index, const std::set<Call> &calls)
{
    FaultyFiles &files = FaultyFiles::instance();
    files.fail(disk.folder.path, calls);
    const Status stored = disk.storage->store(outputWith(index));
    const Status again = stored ? stored : disk.storage->store(outputWith(index));
    files.heal();
    if (again) {
        return;
    }
    if (again.error().kind == ErrorKind::StorageFull) {
        cr_assert(disk.storage->store(outputWith(index)).has_value());
        return;
    }
    cr_assert(again.error().kind == ErrorKind::StorageFailed);
    cr_assert(disk.reopen());
    cr_assert(disk.restoredThrough() + 1 >= index);
    if (disk.restoredThrough() < index) {
        cr_assert(disk.storage->store(outputWith(index)).has_value());
    }
}

// ---- A log of five members

// Time within which operators get an acknowledgement.
constexpr std::chrono::milliseconds acknowledgementBound{5000};

class Cluster
{
public:
    static constexpr std::size_t memberCount = 5;

    Cluster()
    {
        Membership membership;
        for (std::size_t index = 0; index < memberCount; ++index) {
            Result<LogStorage> storage = LogStorage::open({.folder = this->folders.at(index).path});
            cr_assert(storage.has_value());
            membership.members.push_back({.id = storage.value().identity(), .instance = nameOf(index), .voter = true});
            ReplicatedLogOptions options{.instance = nameOf(index), .numbering = ConfigurationNumbering::Highest};
            options.quorumTimeout = 850ms;
            this->logs.at(index) = std::make_shared<ReplicatedLog>(
                options, std::move(storage.value()), [this, from = nameOf(index)](const InstanceName &to, const RaftMessage &message) {
                    this->logs.at(indexOf(to))->receive(from, message);
                });
        }
        for (std::size_t index = 0; index < memberCount; ++index) {
            const auto founding = index == 0 ? std::optional(membership) : std::nullopt;
            cr_assert(this->logs.at(index)->start(founding).has_value());
        }
    }

    ~Cluster()
    {
        for (const std::shared_ptr<ReplicatedLog> &log : this->logs) {
            log->stop();
        }
        // Waits until each thread has stopped its member, as members send to one another.
        for (const std::shared_ptr<ReplicatedLog> &log : this->logs) {
            this->ioThread.start(log->inspect([](const ControlState &) { return true; })).get();
        }
    }

    Cluster(const Cluster &) = delete;
    Cluster &operator=(const Cluster &) = delete;

    static std::string nameOf(std::size_t index)
    {
        return "m" + std::to_string(index);
    }

    static std::size_t indexOf(const std::string &name)
    {
        return std::stoul(name.substr(1));
    }

    // True if some member acknowledges the next configuration within the bound.
    bool change()
    {
        ++this->number;
        const std::string command = encodeControlCommand(
            ProposeConfiguration{.proposal = {.number = this->number, .digest = "d" + std::to_string(this->number), .content = "{}"}});
        const auto end = std::chrono::steady_clock::now() + acknowledgementBound;
        while (std::chrono::steady_clock::now() < end) {
            for (const std::shared_ptr<ReplicatedLog> &log : this->logs) {
                if (this->ioThread.start(isAcknowledged(log, command)).get()) {
                    return true;
                }
            }
            std::this_thread::sleep_for(20ms);
        }
        return false;
    }

    bool allHaveNewest()
    {
        const auto end = std::chrono::steady_clock::now() + acknowledgementBound;
        const auto newest = [](const ControlState &state) { return state.view()->configurationNumber; };
        for (const std::shared_ptr<ReplicatedLog> &log : this->logs) {
            while (this->ioThread.start(log->inspect(newest)).get() != this->number) {
                if (std::chrono::steady_clock::now() > end) {
                    return false;
                }
                std::this_thread::sleep_for(20ms);
            }
        }
        return true;
    }

    // The newest change, and what each member has.
    std::string describeMembers()
    {
        std::string text = "change " + std::to_string(this->number) + ", members have";
        for (const std::shared_ptr<ReplicatedLog> &log : this->logs) {
            const auto newest = [](const ControlState &state) { return state.view()->configurationNumber; };
            text += " " + std::to_string(this->ioThread.start(log->inspect(newest)).get());
        }
        return text;
    }

    std::array<TemporaryFolder, memberCount> folders;

private:
    static Asio::awaitable<bool> isAcknowledged(std::shared_ptr<ReplicatedLog> log, std::string command)
    {
        const Result<AppliedCommand> applied = co_await log->propose(std::move(command));
        co_return applied.has_value();
    }

    IoThread ioThread;
    std::uint64_t number = 0;
    std::array<std::shared_ptr<ReplicatedLog>, memberCount> logs;
};

struct DiskFaultOutcome
{
    bool acknowledgesChanges = false;
    std::size_t faults = 0;
    bool allHaveNewest = false;
    std::string members;
};

DiskFaultOutcome runWithDiskFaults(const std::set<Call> &calls)
{
    constexpr std::chrono::milliseconds faultDuration{700};
    Cluster cluster;
    const std::size_t faultsBefore = FaultyFiles::instance().faults();
    DiskFaultOutcome outcome{.acknowledgesChanges = cluster.change()};
    for (const TemporaryFolder &folder : cluster.folders) {
        const std::size_t before = FaultyFiles::instance().faults();
        const auto end = std::chrono::steady_clock::now() + faultDuration;
        FaultyFiles::instance().fail(folder.path, calls);
        while (outcome.acknowledgesChanges && (std::chrono::steady_clock::now() < end || FaultyFiles::instance().faults() == before)) {
            outcome.acknowledgesChanges = cluster.change();
        }
        FaultyFiles::instance().heal();
        std::this_thread::sleep_for(300ms);
    }
    outcome.faults = FaultyFiles::instance().faults() - faultsBefore;
    outcome.acknowledgesChanges = outcome.acknowledgesChanges && cluster.change();
    outcome.allHaveNewest = outcome.acknowledgesChanges && cluster.allHaveNewest();
    outcome.members = cluster.describeMembers();
    return outcome;
}

// Asserts once the threads of the cluster have ended: they would use objects that a failed assertion destroys.
void failEachDiskInTurn(const std::set<Call> &calls)
{
    const DiskFaultOutcome outcome = runWithDiskFaults(calls);
    cr_assert(outcome.acknowledgesChanges, "no member acknowledged a change in time; %s", outcome.members.c_str());
    cr_assert_geq(outcome.faults, Cluster::memberCount);
    cr_assert(outcome.allHaveNewest, "not all members have the newest change; %s", outcome.members.c_str());
}

} // namespace

// Guards against a stored entry that is lost, or a member that can't store any more, after a call failed for lack of space.
Test(storagefaults, each_failing_call_at_each_entry_loses_nothing_stored)
{
    const std::vector<std::set<Call>> faults{{Call::Write},
                                             {Call::ShortWrite},
                                             {Call::SyncData},
                                             {Call::SyncFolder},
                                             {Call::Write, Call::Truncate},
                                             {Call::ShortWrite, Call::Truncate},
                                             {Call::SyncData, Call::Truncate},
                                             {Call::Write, Call::SyncData, Call::Truncate, Call::Rename, Call::SyncFolder}};
    for (const std::set<Call> &calls : faults) {
        for (LogIndex faulty = 1; faulty <= lastEntry; ++faulty) {
            Storage disk;
            for (LogIndex index = 1; index <= lastEntry; ++index) {
                if (index == faulty) {
                    storeDespiteFaults(disk, index, calls);
                } else {
                    cr_assert(disk.storage->store(outputWith(index)).has_value());
                }
                if (index % 10 == 0) {
                    cr_assert(disk.storage->storeSnapshot(snapshotAt(index - 4)).has_value());
                }
            }
            cr_assert(disk.reopen());
            cr_assert(disk.restoredThrough() == lastEntry);
            cr_assert(disk.storage->restored().hardState.term == 1 + lastEntry / 10);
        }
    }
}

// Guards against a snapshot that replaces a stored one although its write failed.
Test(storagefaults, a_snapshot_that_cannot_be_stored_leaves_the_log_usable)
{
    for (const Call call : {Call::Write, Call::ShortWrite, Call::SyncData, Call::Rename, Call::SyncFolder}) {
        Storage disk;
        for (LogIndex index = 1; index <= lastEntry; ++index) {
            cr_assert(disk.storage->store(outputWith(index)).has_value());
        }
        FaultyFiles::instance().fail(disk.folder.path, {call});
        cr_assert(!disk.storage->storeSnapshot(snapshotAt(10)).has_value());
        FaultyFiles::instance().heal();
        cr_assert(disk.storage->store(outputWith(lastEntry + 1)).has_value());
        cr_assert(disk.storage->storeSnapshot(snapshotAt(20)).has_value());
        cr_assert(disk.reopen());
        cr_assert(disk.restoredThrough() == lastEntry + 1);
    }
}

// Guards against a group that loses its majority for good because each of its disks was full for a moment, never two at once.
Test(storagefaults, changes_go_on_after_each_disk_was_full_in_turn)
{
    failEachDiskInTurn({Call::Write});
}

// Guards against the same if the lack of space is reported by the sync, after which the written bytes may be lost.
Test(storagefaults, changes_go_on_after_a_sync_failed_on_each_disk_in_turn)
{
    failEachDiskInTurn({Call::SyncData});
}

// Guards against the same if nothing can be undone either, so that the storage must be opened again.
Test(storagefaults, changes_go_on_after_every_call_failed_on_each_disk_in_turn)
{
    failEachDiskInTurn({Call::ShortWrite, Call::SyncData, Call::Truncate, Call::Rename, Call::SyncFolder});
}
