#include "galenawell/control/replicatedlog.h"

#include "galenawell/consensus/bootstrap.h"
#include "galenawell/telemetry/log.h"

#include <random>

namespace Galenawell {

namespace {

const Log logger("log");

// Pauses between attempts to open the storage again.
constexpr std::chrono::milliseconds firstReopenPause{50};
constexpr std::chrono::milliseconds longestReopenPause{1000};

} // namespace

struct ReplicatedLog::Completion
{
    Completion(const Asio::any_io_executor &executor, std::chrono::milliseconds timeout)
        : timer(executor, MonotonicClock::now() + timeout)
    {
    }

    void complete(Result<AppliedCommand> value)
    {
        if (!this->result) {
            this->result.emplace(std::move(value));
            this->timer.cancel();
        }
    }

    Asio::steady_timer timer;
    // Term of the proposal; an entry of another term at its index means that another leader overwrote it.
    Term term = 0;
    std::optional<Result<AppliedCommand>> result;
};

ReplicatedLog::ReplicatedLog(ReplicatedLogOptions logOptions, LogStorage logStorage, SendMessage messageSender)
    : options(std::move(logOptions))
    , storageOptions(logStorage.options())
    , memberIdentity(logStorage.identity())
    , storage(std::move(logStorage))
    , sendMessage(std::move(messageSender))
    , tickTimer(this->thread.get_executor())
    , state(std::make_unique<ControlState>(this->options.numbering))
    , stateStored(Galenawell::hasHistory(this->storage->restored()))
{
}

ReplicatedLog::~ReplicatedLog()
{
    this->thread.stop();
    this->thread.join();
}

MemberId ReplicatedLog::identity() const
{
    return this->memberIdentity;
}

bool ReplicatedLog::hasFailed() const
{
    return this->failed;
}

bool ReplicatedLog::hasHistory() const
{
    return this->stateStored;
}

Status ReplicatedLog::start(const std::optional<Membership> &initialMembership)
{
    RaftPersistentState restored = this->storage->restored();
    if (initialMembership) {
        BOOST_OUTCOME_TRY(restored, foundInstallation(*this->storage, *initialMembership));
        this->stateStored = true;
        logger.info("founded the installation with " + std::to_string(initialMembership->members.size()) + " members");
    }
    BOOST_OUTCOME_TRY(this->startNode(std::move(restored)));
    Asio::post(this->thread, [self = this->shared_from_this()] {
        self->scheduleTick();
        self->schedulePump();
    });
    return boost::outcome_v2::success();
}

Status ReplicatedLog::startNode(RaftPersistentState restored)
{
    const LogIndex snapshot = restored.snapshot ? restored.snapshot->index : 0;
    if (snapshot > this->appliedIndex) {
        BOOST_OUTCOME_TRY(ControlState restoredState, ControlState::restore(restored.snapshot->state, this->options.numbering));
        *this->state = std::move(restoredState);
        this->appliedIndex = snapshot;
    }
    this->deliveredIndex = snapshot;
    this->snapshotIndex = snapshot;
    this->bytesSinceSnapshot = 0;
    RaftOptions raft = this->options.raft;
    raft.self = this->memberIdentity;
    this->node.emplace(raft, std::move(restored), std::random_device{}(), MonotonicClock::now());
    return boost::outcome_v2::success();
}

bool ReplicatedLog::running() const
{
    return !this->stopped && !this->failed && this->node;
}

void ReplicatedLog::closeStorage(const Error &error)
{
    logger.error("the storage failed, this member pauses until it can be opened again: " + error.message());
    this->lastMembership = this->node->membership();
    this->node.reset();
    this->storage.reset();
    this->pendingOutput.reset();
    const std::string reason = "the storage of this control process failed";
    this->failProposals(makeError(ErrorKind::NoQuorum, reason));
    while (!this->pendingReads.empty()) {
        this->completeRead(this->pendingReads.begin()->first, makeError(ErrorKind::NotLeader, reason));
    }
    this->reopenPause = firstReopenPause;
    this->nextReopenAt = MonotonicClock::now() + this->reopenPause;
}

void ReplicatedLog::reopenStorageIfDue(TimePoint now)
{
    if (this->node || now < this->nextReopenAt) {
        return;
    }
    Result<LogStorage> opened = LogStorage::open(this->storageOptions);
    if (!opened && opened.error().kind != ErrorKind::StorageCorrupt) {
        this->reopenPause = std::min(2 * this->reopenPause, longestReopenPause);
        this->nextReopenAt = MonotonicClock::now() + this->reopenPause;
        logger.warn("the storage can't be opened again yet: " + opened.error().message());
        return;
    }
    Status started = opened ? Status(boost::outcome_v2::success()) : Status(opened.error());
    if (opened && opened.value().identity() != this->memberIdentity) {
        started = makeError(ErrorKind::StorageCorrupt, "the data folder belongs to another member");
    }
    if (started) {
        this->storage.emplace(std::move(opened.value()));
        started = this->startNode(this->storage->restored());
    }
    if (!started) {
        logger.error("the storage can't be read again, this member stops voting: " + started.error().message());
        this->failed = true;
        return;
    }
    ++this->reopenCount;
    logger.info("the storage is open again, up to log index " + std::to_string(this->node->lastIndex()));
}

void ReplicatedLog::stop()
{
    Asio::post(this->thread, [self = this->shared_from_this()] {
        self->stopped = true;
        self->tickTimer.cancel();
        self->failProposals(makeError(ErrorKind::NoQuorum, "this control process is shutting down"));
    });
}

void ReplicatedLog::scheduleTick()
{
    this->tickTimer.expires_after(this->options.tickInterval);
    this->tickTimer.async_wait([weak = this->weak_from_this()](const Beast::error_code &error) {
        const auto self = weak.lock();
        if (error || self == nullptr || self->stopped || self->failed) {
            return;
        }
        self->reopenStorageIfDue(MonotonicClock::now());
        if (self->node) {
            self->node->tick(MonotonicClock::now());
            self->pump();
        }
        self->scheduleTick();
    });
}

void ReplicatedLog::receive(const InstanceName &peer, RaftMessage message)
{
    Asio::post(this->thread, [self = this->shared_from_this(), peer, received = std::move(message)] {
        if (!self->running() || received.to != self->memberIdentity) {
            return;
        }
        self->senderInstances[received.from] = peer;
        self->lastMessageAt[received.from] = MonotonicClock::now();
        self->node->receive(received, MonotonicClock::now());
        self->schedulePump();
    });
}

// One pump handles all input since the previous one, so that concurrent proposals share one fsync.
void ReplicatedLog::schedulePump()
{
    if (this->pumpScheduled) {
        return;
    }
    this->pumpScheduled = true;
    Asio::post(this->thread, [self = this->shared_from_this()] {
        self->pumpScheduled = false;
        self->pump();
    });
}

void ReplicatedLog::pump()
{
    if (!this->running()) {
        return;
    }
    if (this->pendingOutput && !this->storeAndDeliver()) {
        return;
    }
    // Reporting entries as persisted can commit them immediately, which produces more output.
    for (;;) {
        this->pendingOutput = this->node->takeOutput();
        const RaftOutput &output = *this->pendingOutput;
        const bool isEmpty = !output.hardState && !output.installSnapshot && output.append.empty() && output.messages.empty()
            && output.committed.empty() && output.confirmedReads.empty() && output.failedReads.empty();
        if (isEmpty) {
            this->pendingOutput.reset();
            break;
        }
        if (!this->storeAndDeliver()) {
            return;
        }
    }
    if (this->node->role() != RaftRole::Leader && !this->pendingProposals.empty()) {
        this->failProposals(makeError(ErrorKind::NoQuorum, "leadership was lost while the command was replicated"));
    }
}

bool ReplicatedLog::storeAndDeliver()
{
    const RaftOutput output = std::move(*this->pendingOutput);
    this->pendingOutput.reset();
    Status status = this->storage->store(output);
    if (!status) {
        if (status.error().kind == ErrorKind::StorageFull) {
            // Nothing of this output has been sent yet; storing it is retried until there is disk space.
            this->pendingOutput = output;
            this->failProposals(status.error());
            return false;
        }
        this->closeStorage(status.error());
        return false;
    }
    const bool storedLog = output.hardState || output.installSnapshot || !output.append.empty();
    if (storedLog) {
        this->stateStored = true;
        this->node->persisted(MonotonicClock::now());
    }
    this->deliver(output);
    return true;
}

void ReplicatedLog::deliver(const RaftOutput &output)
{
    for (const RaftMessage &message : output.messages) {
        const InstanceName instance = this->instanceOf(message.to);
        if (!instance.empty()) {
            this->sendMessage(instance, message);
        }
    }
    if (output.installSnapshot) {
        this->installSnapshot(*output.installSnapshot);
    }
    for (const LogEntry &entry : output.committed) {
        this->apply(entry);
    }
    for (const std::uint64_t token : output.confirmedReads) {
        this->completeRead(token, boost::outcome_v2::success());
    }
    for (const std::uint64_t token : output.failedReads) {
        this->completeRead(token, makeError(ErrorKind::NotLeader, "this control process is no longer the leader"));
    }
    const bool manyEntries = this->appliedIndex >= this->snapshotIndex + this->options.snapshotInterval;
    // A snapshot is labelled with the last delivered entry, so the state mustn't be ahead of it.
    const bool stateIsDelivered = this->deliveredIndex >= this->appliedIndex;
    if (stateIsDelivered && (manyEntries || this->bytesSinceSnapshot >= this->options.snapshotBytes)) {
        this->takeSnapshot();
    }
    const bool changed = output.installSnapshot.has_value() || !output.committed.empty();
    if (changed && this->options.onApplied) {
        this->options.onApplied();
    }
}

void ReplicatedLog::apply(const LogEntry &entry)
{
    this->deliveredIndex = entry.index;
    this->bytesSinceSnapshot += entry.payload.size();
    if (entry.index <= this->appliedIndex) {
        // Applied before the storage was opened again.
        return;
    }
    this->appliedIndex = entry.index;
    std::optional<AppliedCommand> applied;
    if (entry.kind == EntryKind::Command) {
        Result<ControlCommand> command = decodeControlCommand(entry.payload);
        if (command) {
            ControlResult result = this->state->apply(command.value(), entry.index);
            applied = AppliedCommand{.result = std::move(result), .revision = this->state->view()->revision};
        } else {
            // Every member decodes the same bytes, so all of them skip this entry.
            logger.error("log entry " + std::to_string(entry.index) + " isn't a known command: " + command.error().message());
        }
    }
    const auto found = this->pendingProposals.find(entry.index);
    if (found == this->pendingProposals.end()) {
        return;
    }
    const std::shared_ptr<Completion> completion = found->second;
    this->pendingProposals.erase(found);
    if (completion->term != entry.term) {
        completion->complete(makeError(ErrorKind::NoQuorum, "another leader replaced the command"));
    } else {
        completion->complete(std::move(applied).value_or(AppliedCommand{}));
    }
}

void ReplicatedLog::installSnapshot(const RaftSnapshot &snapshot)
{
    this->deliveredIndex = snapshot.index;
    this->snapshotIndex = snapshot.index;
    if (snapshot.index <= this->appliedIndex) {
        return;
    }
    Result<ControlState> restored = ControlState::restore(snapshot.state, this->options.numbering);
    if (!restored) {
        logger.error("a received snapshot can't be read, this member stops voting: " + restored.error().message());
        this->failed = true;
        return;
    }
    *this->state = std::move(restored.value());
    this->appliedIndex = snapshot.index;
    logger.info("installed a snapshot up to log index " + std::to_string(snapshot.index));
}

void ReplicatedLog::takeSnapshot()
{
    const RaftSnapshot snapshot = this->node->makeSnapshot(this->state->serialise());
    Status status = this->storage->storeSnapshot(snapshot);
    if (!status) {
        // The log still has all entries; the snapshot is retried after the next output.
        logger.warn("a snapshot couldn't be stored: " + status.error().message());
        return;
    }
    this->node->compact(snapshot);
    this->bytesSinceSnapshot = 0;
    this->snapshotIndex = this->appliedIndex;
}

InstanceName ReplicatedLog::instanceOf(MemberId member) const
{
    for (const Member &known : this->node->membership().members) {
        if (known.id == member) {
            return known.instance;
        }
    }
    const auto found = this->senderInstances.find(member);
    return found == this->senderInstances.end() ? InstanceName() : found->second;
}

void ReplicatedLog::completeRead(std::uint64_t token, const Result<void> &result)
{
    const auto found = this->pendingReads.find(token);
    if (found == this->pendingReads.end()) {
        return;
    }
    const std::shared_ptr<Completion> completion = found->second;
    this->pendingReads.erase(found);
    if (result) {
        completion->complete(AppliedCommand{});
    } else {
        completion->complete(result.error());
    }
}

void ReplicatedLog::failProposals(const Error &error)
{
    for (auto &[index, completion] : this->pendingProposals) {
        completion->complete(error);
    }
    this->pendingProposals.clear();
}

Asio::awaitable<Result<AppliedCommand>> ReplicatedLog::waitForProposal(Result<LogIndex> index)
{
    if (!index) {
        co_return index.error();
    }
    auto completion = std::make_shared<Completion>(this->thread.get_executor(), this->options.quorumTimeout);
    completion->term = this->node->term();
    this->pendingProposals[index.value()] = completion;
    this->schedulePump();
    while (!completion->result && MonotonicClock::now() < completion->timer.expiry()) {
        co_await completion->timer.async_wait(awaitResult);
    }
    if (!completion->result) {
        this->pendingProposals.erase(index.value());
        co_return makeError(ErrorKind::NoQuorum, "no majority acknowledged the command in time");
    }
    co_return *completion->result;
}

Asio::awaitable<Result<AppliedCommand>> ReplicatedLog::propose(std::string command)
{
    const auto self = this->shared_from_this();
    const auto body = [self, payload = std::move(command)]() -> Asio::awaitable<Result<AppliedCommand>> {
        if (!self->running()) {
            co_return makeError(ErrorKind::NotLeader, "this control process has stopped or its storage failed");
        }
        if (self->pendingOutput) {
            co_return makeError(ErrorKind::StorageFull, "the data folder has no space for log entries");
        }
        co_return co_await self->waitForProposal(self->node->propose(payload, MonotonicClock::now()));
    };
    co_return co_await runOn(this->thread.get_executor(), body);
}

Asio::awaitable<Result<void>> ReplicatedLog::proposeMembership(Membership membership)
{
    const auto self = this->shared_from_this();
    const auto body = [self, proposed = std::move(membership)]() -> Asio::awaitable<Result<AppliedCommand>> {
        if (!self->running()) {
            co_return makeError(ErrorKind::NotLeader, "this control process has stopped or its storage failed");
        }
        co_return co_await self->waitForProposal(self->node->proposeMembership(proposed, MonotonicClock::now()));
    };
    const Result<AppliedCommand> applied = co_await runOn(this->thread.get_executor(), body);
    if (!applied) {
        co_return applied.error();
    }
    co_return boost::outcome_v2::success();
}

Asio::awaitable<Result<void>> ReplicatedLog::confirmRead()
{
    const auto self = this->shared_from_this();
    const auto body = [self]() -> Asio::awaitable<Result<AppliedCommand>> {
        if (!self->running() || self->node->role() != RaftRole::Leader) {
            co_return makeError(ErrorKind::NotLeader, "this control process isn't the leader");
        }
        const std::uint64_t token = self->nextReadToken++;
        auto completion = std::make_shared<Completion>(self->thread.get_executor(), self->options.quorumTimeout);
        self->pendingReads.emplace(token, completion);
        self->node->requestRead(token, MonotonicClock::now());
        self->schedulePump();
        while (!completion->result && MonotonicClock::now() < completion->timer.expiry()) {
            co_await completion->timer.async_wait(awaitResult);
        }
        self->pendingReads.erase(token);
        if (!completion->result) {
            co_return makeError(ErrorKind::NoQuorum, "no majority confirmed the read in time");
        }
        co_return *completion->result;
    };
    Result<AppliedCommand> confirmed = co_await runOn(this->thread.get_executor(), body);
    if (!confirmed) {
        co_return confirmed.error();
    }
    co_return boost::outcome_v2::success();
}

Asio::awaitable<LogStatus> ReplicatedLog::status()
{
    const auto self = this->shared_from_this();
    const auto body = [self]() -> Asio::awaitable<LogStatus> {
        LogStatus status;
        status.identity = self->memberIdentity;
        status.storageAvailable = self->node && !self->pendingOutput;
        status.storageReopened = self->reopenCount;
        if (!self->node) {
            status.membership = self->lastMembership;
            for (const Member &member : status.membership.members) {
                status.matchIndexes[member.id] = 0;
            }
            co_return status;
        }
        status.role = self->node->role();
        status.term = self->node->term();
        status.leader = self->node->leader();
        status.leaderInstance = self->instanceOf(status.leader);
        if (status.leader == status.identity) {
            status.leaderInstance = self->options.instance;
        }
        status.commitIndex = self->node->commitIndex();
        status.lastIndex = self->node->lastIndex();
        status.membership = self->node->membership();
        for (const Member &member : status.membership.members) {
            status.matchIndexes[member.id] = self->node->matchIndex(member.id);
            if (const auto found = self->lastMessageAt.find(member.id); found != self->lastMessageAt.end()) {
                status.lastMessageAt[member.id] = found->second;
            }
        }
        status.bytesOnDisk = self->storage->bytesOnDisk();
        status.storageFull = !self->storage->checkSpace();
        co_return status;
    };
    co_return co_await runOn(this->thread.get_executor(), body);
}

} // namespace Galenawell
