// Runs one member of the replicated log: drives RaftNode, its storage and the control state on a dedicated thread, so that
// a slow disk doesn't block the other work of the process.
#pragma once

#include "galenawell/consensus/logstorage.h"
#include "galenawell/consensus/raftnode.h"
#include "galenawell/control/controlstate.h"
#include "galenawell/core/error.h"
#include "galenawell/transport/asio.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Galenawell {

struct ReplicatedLogOptions
{
    InstanceName instance;
    // Entries between two snapshots of the control state.
    std::uint64_t snapshotInterval = 1000;
    std::chrono::milliseconds tickInterval{20};
    // Command bytes that trigger a snapshot before the interval, so that large configurations don't fill disk and memory.
    std::size_t snapshotBytes = std::size_t(8) * 1024 * 1024;
    ConfigurationNumbering numbering = ConfigurationNumbering::Consecutive;
    // Called on the log's thread after commands have been applied.
    std::function<void()> onApplied{};
    // Options of the Raft node; `self` is set from the storage.
    RaftOptions raft{};
    // A proposal or read that isn't confirmed within this time fails with NoQuorum.
    std::chrono::milliseconds quorumTimeout{3000};
};

struct AppliedCommand
{
    ControlResult result;
    // Revision of the view after the command.
    std::uint64_t revision = 0;
};

struct LogStatus
{
    RaftRole role = RaftRole::Follower;
    Term term = 0;
    MemberId identity = 0;
    MemberId leader = 0;
    InstanceName leaderInstance;
    LogIndex commitIndex = 0;
    LogIndex lastIndex = 0;
    Membership membership;
    std::map<MemberId, LogIndex> matchIndexes;
    // Absent for members from which this process has received no message.
    std::map<MemberId, TimePoint> lastMessageAt;
    std::size_t bytesOnDisk = 0;
    bool storageFull = false;
    // False while output waits for disk space, or the storage must be opened again after a failed write or sync. The member
    // then sends no messages.
    bool storageAvailable = true;
    // Number of times that the storage was opened again.
    std::size_t storageReopened = 0;
};

class ReplicatedLog : public std::enable_shared_from_this<ReplicatedLog>
{
public:
    // Sends a message to a member; may drop it.
    using SendMessage = std::function<void(const InstanceName &instance, const RaftMessage &message)>;

    ReplicatedLog(ReplicatedLogOptions options, LogStorage storage, SendMessage sendMessage);
    ~ReplicatedLog();

    // Starts the tick timer. With a membership it founds the installation; an empty member without one waits for a leader.
    Status start(const std::optional<Membership> &initialMembership);
    void stop();

    void receive(const InstanceName &peer, RaftMessage message);

    // Completes when the command is applied locally. Fails with NotLeader, NoQuorum (outcome unknown) or StorageFull.
    Asio::awaitable<Result<AppliedCommand>> propose(std::string command);
    Asio::awaitable<Result<void>> proposeMembership(Membership membership);
    // Linearisable read: completes when the applied state is confirmed to be at least as new as at the call.
    Asio::awaitable<Result<void>> confirmRead();

    Asio::awaitable<LogStatus> status();
    // Runs a function with the applied state on the log's thread.
    template<typename Function>
    Asio::awaitable<std::invoke_result_t<Function, const ControlState &>> inspect(Function function)
    {
        const auto body = [this, function]() -> Asio::awaitable<std::invoke_result_t<Function, const ControlState &>> {
            co_return function(*this->state);
        };
        co_return co_await runOn(this->thread.get_executor(), body);
    }

    MemberId identity() const;
    // Whether this member has stored log state.
    bool hasHistory() const;
    // True if the stored state or a received snapshot can't be read; requires a restart. A failed write or sync doesn't count:
    // the storage is then opened again.
    bool hasFailed() const;

private:
    struct Completion;

    // All private functions run on the log's thread.
    Status startNode(RaftPersistentState restored);
    bool running() const;
    // Ends the node, whose state may be ahead of the disk, until the storage can be opened again.
    void closeStorage(const Error &error);
    void reopenStorageIfDue(TimePoint now);
    void schedulePump();
    void pump();
    bool storeAndDeliver();
    void deliver(const RaftOutput &output);
    void apply(const LogEntry &entry);
    void installSnapshot(const RaftSnapshot &snapshot);
    void takeSnapshot();
    void scheduleTick();
    void completeRead(std::uint64_t token, const Result<void> &result);
    void failProposals(const Error &error);
    InstanceName instanceOf(MemberId member) const;
    Asio::awaitable<Result<AppliedCommand>> waitForProposal(Result<LogIndex> index);

    ReplicatedLogOptions options;
    const LogStorageOptions storageOptions;
    const MemberId memberIdentity;
    // Absent after a failed write or sync, until it can be opened again.
    std::optional<LogStorage> storage;
    TimePoint nextReopenAt;
    std::chrono::milliseconds reopenPause{0};
    std::size_t reopenCount = 0;
    SendMessage sendMessage;
    Asio::thread_pool thread{1};
    Asio::steady_timer tickTimer;
    // Absent before start() and while `storage` is absent.
    std::optional<RaftNode> node;
    // Contains committed commands only, so it stays valid while the storage is opened again.
    std::unique_ptr<ControlState> state;
    // Output that isn't stored yet. Its messages, and any later output, may only be sent once it is.
    std::optional<RaftOutput> pendingOutput;
    // Last entry in `state`.
    LogIndex appliedIndex = 0;
    // Last entry that the node has reported as committed; below appliedIndex after the storage was opened again.
    LogIndex deliveredIndex = 0;
    LogIndex snapshotIndex = 0;
    // Reported while there is no node.
    Membership lastMembership;
    // Size of the entries applied since the last snapshot.
    std::size_t bytesSinceSnapshot = 0;
    // By log index.
    std::map<LogIndex, std::shared_ptr<Completion>> pendingProposals;
    std::map<std::uint64_t, std::shared_ptr<Completion>> pendingReads;
    std::uint64_t nextReadToken = 1;
    // Instances from which members sent messages; used for members that aren't in the membership yet.
    std::map<MemberId, InstanceName> senderInstances;
    std::map<MemberId, TimePoint> lastMessageAt;
    std::atomic<bool> stateStored{false};
    bool pumpScheduled = false;
    bool stopped = false;
    std::atomic<bool> failed{false};
};

} // namespace Galenawell
