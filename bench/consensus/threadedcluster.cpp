#include "threadedcluster.h"

#include "galenawell/consensus/bootstrap.h"

#include <cstdio>
#include <cstdlib>

namespace Galenawell::Bench {

namespace {

constexpr std::chrono::milliseconds tickInterval{10};

template<typename T>
T valueOrExit(Result<T> result)
{
    if (!result) {
        std::fprintf(stderr, "bench-consensus: %s\n", result.error().message().c_str());
        std::exit(1);
    }
    return std::move(result).value();
}

} // namespace

struct ThreadedCluster::MemberThread
{
    explicit MemberThread(LogStorage memberStorage)
        : storage(std::move(memberStorage))
    {
    }

    LogStorage storage;
    std::unique_ptr<RaftNode> node;
    std::condition_variable wake;
    // Guarded by the cluster's mutex.
    std::vector<RaftMessage> inbox;
    std::thread thread;
};

ThreadedCluster::ThreadedCluster(const std::filesystem::path &folder, std::size_t voters)
{
    Membership membership;
    std::vector<MemberId> ids;
    for (std::size_t index = 0; index < voters; ++index) {
        const InstanceName name = "member-" + std::to_string(index);
        LogStorage storage = valueOrExit(LogStorage::open({.folder = folder / name}));
        const MemberId id = storage.identity();
        ids.push_back(id);
        membership.members.push_back(Member{.id = id, .instance = name, .voter = true});
        this->members.emplace(id, std::make_unique<MemberThread>(std::move(storage)));
    }
    for (const MemberId id : ids) {
        MemberThread &member = *this->members.at(id);
        RaftPersistentState restored;
        if (id == ids.front()) {
            restored = valueOrExit(foundInstallation(member.storage, membership));
        }
        member.node = std::make_unique<RaftNode>(RaftOptions{.self = id}, std::move(restored), id, MonotonicClock::now());
    }
    for (auto &[id, member] : this->members) {
        member->thread = std::thread([this, &member = *member] { this->runMember(member); });
    }
}

ThreadedCluster::~ThreadedCluster()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    for (auto &[id, member] : this->members) {
        member->wake.notify_all();
        member->thread.join();
    }
}

void ThreadedCluster::runMember(MemberThread &member)
{
    while (true) {
        std::vector<RaftMessage> inbox;
        {
            std::unique_lock lock(this->mutex);
            member.wake.wait_for(lock, tickInterval, [this, &member] { return this->stopping || !member.inbox.empty(); });
            if (this->stopping) {
                return;
            }
            inbox.swap(member.inbox);
        }
        const TimePoint now = MonotonicClock::now();
        for (const RaftMessage &message : inbox) {
            member.node->receive(message, now);
        }
        member.node->tick(now);
        this->proposeCommands(member);
        // persisted() may commit entries, which only the second takeOutput() returns.
        for (int pass = 0; pass < 2; ++pass) {
            const RaftOutput output = member.node->takeOutput();
            const Status stored = member.storage.store(output);
            if (!stored) {
                std::fprintf(stderr, "bench-consensus: %s\n", stored.error().message().c_str());
                std::exit(1);
            }
            member.node->persisted(MonotonicClock::now());
            for (const RaftMessage &message : output.messages) {
                this->deliver(message);
            }
            if (member.node->role() == RaftRole::Leader) {
                this->recordCommits(output.committed);
            }
        }
    }
}

void ThreadedCluster::deliver(const RaftMessage &message)
{
    const auto target = this->members.find(message.to);
    if (target == this->members.end()) {
        return;
    }
    const std::lock_guard lock(this->mutex);
    target->second->inbox.push_back(message);
    target->second->wake.notify_one();
}

void ThreadedCluster::proposeCommands(MemberThread &member)
{
    if (member.node->role() != RaftRole::Leader) {
        return;
    }
    const std::lock_guard lock(this->mutex);
    while (this->workload.remaining > 0 && this->workload.proposedAt.size() < this->workload.outstanding) {
        const TimePoint now = MonotonicClock::now();
        const Result<LogIndex> index = member.node->propose(this->workload.payload, now);
        if (!index) {
            return;
        }
        this->workload.proposedAt[index.value()] = now;
        --this->workload.remaining;
    }
}

void ThreadedCluster::recordCommits(const std::vector<LogEntry> &committed)
{
    const TimePoint now = MonotonicClock::now();
    const std::lock_guard lock(this->mutex);
    bool anyCompleted = false;
    for (const LogEntry &entry : committed) {
        const auto found = this->workload.proposedAt.find(entry.index);
        if (found != this->workload.proposedAt.end()) {
            this->workload.latencies.push_back(now - found->second);
            this->workload.proposedAt.erase(found);
            anyCompleted = true;
        }
    }
    if (!anyCompleted) {
        return;
    }
    if (this->workload.remaining == 0 && this->workload.proposedAt.empty()) {
        this->workloadFinished.notify_all();
    }
    // An empty message wakes the leader, which proposes the next command without waiting for the tick.
    for (auto &[id, member] : this->members) {
        member->inbox.push_back(RaftMessage{});
        member->wake.notify_one();
    }
}

std::vector<Duration> ThreadedCluster::commit(std::size_t count, std::size_t outstanding, const std::string &payload)
{
    std::unique_lock lock(this->mutex);
    this->workload = Workload{.remaining = count, .outstanding = outstanding, .payload = payload, .proposedAt = {}, .latencies = {}};
    this->workloadFinished.wait(lock, [this] { return this->workload.remaining == 0 && this->workload.proposedAt.empty(); });
    return std::move(this->workload.latencies);
}

} // namespace Galenawell::Bench
