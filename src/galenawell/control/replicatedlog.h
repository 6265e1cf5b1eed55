// Runs one member of the replicated log: drives RaftNode, its storage and the control state on one thread of its own, so
// that a slow disk delays nothing else.
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
    // Bytes of commands after which a snapshot is taken before the interval, so that large configurations don't fill disk
    // and memory.
    std::size_t snapshotBytes = std::size_t(8) * 1024 * 1024;
    ConfigurationNumbering numbering = ConfigurationNumbering::Consecutive;
    // Called on the log's thread after commands were applied.
    std::function<void()> onApplied{};
    // Timing of the log itself; `self` is filled in from the storage.
    RaftOptions raft{};
    // A proposal or read that isn't confirmed by then has lost its majority.
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
    // Time since the last message of a member; absent for members that haven't been heard by this process.
    std::map<MemberId, std::chrono::milliseconds> silence;
    std::size_t bytesOnDisk = 0;
    bool storageFull = false;
};

class ReplicatedLog : public std::enable_shared_from_this<ReplicatedLog>
{
public:
    // Sends a message to a member; may drop it.
    using SendMessage = std::function<void(const InstanceName &instance, const RaftMessage &message)>;

    ReplicatedLog(ReplicatedLogOptions options, LogStorage storage, SendMessage sendMessage);
    ~ReplicatedLog();

    // Starts ticking. With a membership it founds the installation; an empty member without one waits for a leader.
    Status start(const std::optional<Membership> &founding);
    void stop();

    void receive(const InstanceName &peer, RaftMessage message);

    // Ends when the command was applied here, or fails: NotLeader, NoQuorum (outcome unknown), StorageFull.
    Asio::awaitable<Result<AppliedCommand>> propose(std::string command);
    Asio::awaitable<Result<void>> proposeMembership(Membership membership);
    // Ends when the applied state is confirmed to be at least as new as at the call.
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
    // True once this member took part in a log.
    bool hasHistory() const;
    // True after a storage failure that only a restart can cure.
    bool hasFailed() const;

private:
    struct Completion;

    // All private functions run on the log's thread.
    void schedulePump();
    void pump();
    bool storePending();
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
    LogStorage storage;
    SendMessage sendMessage;
    Asio::thread_pool thread{1};
    Asio::steady_timer tickTimer;
    std::optional<RaftNode> node;
    std::unique_ptr<ControlState> state;
    // An output that couldn't be stored yet; nothing after it may be sent.
    std::optional<RaftOutput> unstored;
    LogIndex appliedIndex = 0;
    LogIndex snapshotIndex = 0;
    // Of the commands applied since the last snapshot.
    std::size_t bytesSinceSnapshot = 0;
    // Proposals of this leader by log index.
    std::map<LogIndex, std::shared_ptr<Completion>> proposals;
    std::map<std::uint64_t, std::shared_ptr<Completion>> reads;
    std::uint64_t nextReadToken = 1;
    // Where members that aren't in the membership yet are reached.
    std::map<MemberId, InstanceName> seenAt;
    std::map<MemberId, TimePoint> heardAt;
    std::atomic<bool> history{false};
    bool pumpScheduled = false;
    bool stopped = false;
    std::atomic<bool> failed{false};
};

} // namespace Galenawell
