#include "galenawell/control/replicatedlog.h"

#include "galenawell/consensus/bootstrap.h"
#include "galenawell/telemetry/log.h"

#include <random>

namespace Galenawell {

namespace {

const Log logger("log");

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
    // Term of the proposal; an entry of another term at its index means that it was replaced.
    Term term = 0;
    std::optional<Result<AppliedCommand>> result;
};

ReplicatedLog::ReplicatedLog(ReplicatedLogOptions logOptions, LogStorage logStorage, SendMessage messageSender)
    : options(std::move(logOptions))
    , storage(std::move(logStorage))
    , sendMessage(std::move(messageSender))
    , tickTimer(this->thread.get_executor())
    , state(std::make_unique<ControlState>(this->options.numbering))
    , history(Galenawell::hasHistory(this->storage.restored()))
{
}

ReplicatedLog::~ReplicatedLog()
{
    this->thread.stop();
    this->thread.join();
}

MemberId ReplicatedLog::identity() const
{
    return this->storage.identity();
}

bool ReplicatedLog::hasFailed() const
{
    return this->failed;
}

bool ReplicatedLog::hasHistory() const
{
    return this->history;
}

Status ReplicatedLog::start(const std::optional<Membership> &founding)
{
    RaftPersistentState restored = this->storage.restored();
    if (founding) {
        BOOST_OUTCOME_TRY(restored, foundInstallation(this->storage, *founding));
        this->history = true;
        logger.info("founded the installation with " + std::to_string(founding->members.size()) + " members");
    }
    if (restored.snapshot) {
        BOOST_OUTCOME_TRY(ControlState restoredState, ControlState::restore(restored.snapshot->state, this->options.numbering));
        *this->state = std::move(restoredState);
        this->appliedIndex = restored.snapshot->index;
        this->snapshotIndex = restored.snapshot->index;
    }
    RaftOptions raft = this->options.raft;
    raft.self = this->storage.identity();
    this->node.emplace(raft, std::move(restored), std::random_device{}(), MonotonicClock::now());
    Asio::post(this->thread, [self = this->shared_from_this()] {
        self->scheduleTick();
        self->schedulePump();
    });
    return boost::outcome_v2::success();
}

void ReplicatedLog::stop()
{
    Asio::post(this->thread, [self = this->shared_from_this()] {
        self->stopped = true;
        self->tickTimer.cancel();
        self->failProposals(makeError(ErrorKind::NoQuorum, "this control process ends"));
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
        self->node->tick(MonotonicClock::now());
        self->pump();
        self->scheduleTick();
    });
}

void ReplicatedLog::receive(const InstanceName &peer, RaftMessage message)
{
    Asio::post(this->thread, [self = this->shared_from_this(), peer, held = std::move(message)] {
        if (self->stopped || self->failed || held.to != self->storage.identity()) {
            return;
        }
        self->seenAt[held.from] = peer;
        self->heardAt[held.from] = MonotonicClock::now();
        self->node->receive(held, MonotonicClock::now());
        self->schedulePump();
    });
}

// One pump handles everything that arrived since the last, so that many proposals share one sync.
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
    if (this->stopped || this->failed) {
        return;
    }
    if (this->unstored && !this->storePending()) {
        return;
    }
    // Reporting entries as persisted can commit them at once, which makes more output.
    for (;;) {
        this->unstored = this->node->takeOutput();
        const RaftOutput &output = *this->unstored;
        const bool nothing = !output.hardState && !output.installSnapshot && output.append.empty() && output.messages.empty()
            && output.committed.empty() && output.confirmedReads.empty() && output.failedReads.empty();
        if (nothing) {
            this->unstored.reset();
            break;
        }
        if (!this->storePending()) {
            return;
        }
    }
    if (this->node->role() != RaftRole::Leader && !this->proposals.empty()) {
        this->failProposals(makeError(ErrorKind::NoQuorum, "leadership was lost while the command was replicated"));
    }
}

bool ReplicatedLog::storePending()
{
    const RaftOutput output = std::move(*this->unstored);
    this->unstored.reset();
    Status status = this->storage.store(output);
    if (!status) {
        if (status.error().kind == ErrorKind::StorageFull) {
            // Nothing depends on this output yet; it is stored as soon as there is room.
            this->unstored = output;
            this->failProposals(status.error());
            return false;
        }
        logger.error("storage failed, this member stops voting: " + status.error().message());
        this->failed = true;
        this->failProposals(status.error());
        return false;
    }
    const bool storedLog = output.hardState || output.installSnapshot || !output.append.empty();
    if (storedLog) {
        this->history = true;
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
        this->completeRead(token, makeError(ErrorKind::NotLeader, "this control process no longer leads"));
    }
    const bool manyEntries = this->appliedIndex >= this->snapshotIndex + this->options.snapshotInterval;
    if (manyEntries || this->bytesSinceSnapshot >= this->options.snapshotBytes) {
        this->takeSnapshot();
    }
    const bool changed = output.installSnapshot.has_value() || !output.committed.empty();
    if (changed && this->options.onApplied) {
        this->options.onApplied();
    }
}

void ReplicatedLog::apply(const LogEntry &entry)
{
    this->appliedIndex = entry.index;
    this->bytesSinceSnapshot += entry.payload.size();
    std::optional<AppliedCommand> applied;
    if (entry.kind == EntryKind::Command) {
        Result<ControlCommand> command = decodeControlCommand(entry.payload);
        if (command) {
            ControlResult result = this->state->apply(command.value(), entry.index);
            applied = AppliedCommand{.result = std::move(result), .revision = this->state->view()->revision};
        } else {
            // Every member decodes the same bytes, so all skip the same entry.
            logger.error("log entry " + std::to_string(entry.index) + " isn't a known command: " + command.error().message());
        }
    }
    const auto found = this->proposals.find(entry.index);
    if (found == this->proposals.end()) {
        return;
    }
    const std::shared_ptr<Completion> completion = found->second;
    this->proposals.erase(found);
    if (completion->term != entry.term) {
        completion->complete(makeError(ErrorKind::NoQuorum, "another leader replaced the command"));
    } else {
        completion->complete(std::move(applied).value_or(AppliedCommand{}));
    }
}

void ReplicatedLog::installSnapshot(const RaftSnapshot &snapshot)
{
    Result<ControlState> restored = ControlState::restore(snapshot.state, this->options.numbering);
    if (!restored) {
        logger.error("a received snapshot can't be read, this member stops voting: " + restored.error().message());
        this->failed = true;
        return;
    }
    *this->state = std::move(restored.value());
    this->appliedIndex = snapshot.index;
    this->snapshotIndex = snapshot.index;
    logger.info("installed a snapshot up to log index " + std::to_string(snapshot.index));
}

void ReplicatedLog::takeSnapshot()
{
    const RaftSnapshot snapshot = this->node->makeSnapshot(this->state->serialise());
    Status status = this->storage.storeSnapshot(snapshot);
    if (!status) {
        // The log still has everything; the next interval tries again.
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
    const auto found = this->seenAt.find(member);
    return found == this->seenAt.end() ? InstanceName() : found->second;
}

void ReplicatedLog::completeRead(std::uint64_t token, const Result<void> &result)
{
    const auto found = this->reads.find(token);
    if (found == this->reads.end()) {
        return;
    }
    const std::shared_ptr<Completion> completion = found->second;
    this->reads.erase(found);
    if (result) {
        completion->complete(AppliedCommand{});
    } else {
        completion->complete(result.error());
    }
}

void ReplicatedLog::failProposals(const Error &error)
{
    for (auto &[index, completion] : this->proposals) {
        completion->complete(error);
    }
    this->proposals.clear();
}

Asio::awaitable<Result<AppliedCommand>> ReplicatedLog::waitForProposal(Result<LogIndex> index)
{
    if (!index) {
        co_return index.error();
    }
    auto completion = std::make_shared<Completion>(this->thread.get_executor(), this->options.quorumTimeout);
    completion->term = this->node->term();
    this->proposals[index.value()] = completion;
    this->schedulePump();
    while (!completion->result && MonotonicClock::now() < completion->timer.expiry()) {
        co_await completion->timer.async_wait(awaitResult);
    }
    if (!completion->result) {
        this->proposals.erase(index.value());
        co_return makeError(ErrorKind::NoQuorum, "no majority acknowledged the command in time");
    }
    co_return *completion->result;
}

Asio::awaitable<Result<AppliedCommand>> ReplicatedLog::propose(std::string command)
{
    const auto self = this->shared_from_this();
    const auto body = [self, held = std::move(command)]() -> Asio::awaitable<Result<AppliedCommand>> {
        if (self->stopped || self->failed) {
            co_return makeError(ErrorKind::NotLeader, "this control process doesn't take part");
        }
        if (self->unstored) {
            co_return makeError(ErrorKind::StorageFull, "the data folder has no room for changes");
        }
        co_return co_await self->waitForProposal(self->node->propose(held, MonotonicClock::now()));
    };
    co_return co_await runOn(this->thread.get_executor(), body);
}

Asio::awaitable<Result<void>> ReplicatedLog::proposeMembership(Membership membership)
{
    const auto self = this->shared_from_this();
    const auto body = [self, held = std::move(membership)]() -> Asio::awaitable<Result<AppliedCommand>> {
        if (self->stopped || self->failed) {
            co_return makeError(ErrorKind::NotLeader, "this control process doesn't take part");
        }
        co_return co_await self->waitForProposal(self->node->proposeMembership(held, MonotonicClock::now()));
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
        if (self->stopped || self->failed || self->node->role() != RaftRole::Leader) {
            co_return makeError(ErrorKind::NotLeader, "this control process doesn't lead");
        }
        const std::uint64_t token = self->nextReadToken++;
        auto completion = std::make_shared<Completion>(self->thread.get_executor(), self->options.quorumTimeout);
        self->reads.emplace(token, completion);
        self->node->requestRead(token, MonotonicClock::now());
        self->schedulePump();
        while (!completion->result && MonotonicClock::now() < completion->timer.expiry()) {
            co_await completion->timer.async_wait(awaitResult);
        }
        self->reads.erase(token);
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
        status.role = self->node->role();
        status.term = self->node->term();
        status.identity = self->storage.identity();
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
            if (const auto heard = self->heardAt.find(member.id); heard != self->heardAt.end()) {
                status.silence[member.id] = toMilliseconds(MonotonicClock::now() - heard->second);
            }
        }
        status.bytesOnDisk = self->storage.bytesOnDisk();
        status.storageFull = !self->storage.checkSpace();
        co_return status;
    };
    co_return co_await runOn(this->thread.get_executor(), body);
}

} // namespace Galenawell
