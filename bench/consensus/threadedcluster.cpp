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
        member->thread = std::thread([this, &member = *member] { this->run(member); });
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

void ThreadedCluster::run(MemberThread &member)
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
        this->proposeLoad(member);
        // persisted() may commit, which the second output hands out.
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
                this->noteCommitted(output.committed);
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

void ThreadedCluster::proposeLoad(MemberThread &member)
{
    if (member.node->role() != RaftRole::Leader) {
        return;
    }
    const std::lock_guard lock(this->mutex);
    while (this->load.remaining > 0 && this->load.proposed.size() < this->load.outstanding) {
        const TimePoint now = MonotonicClock::now();
        const Result<LogIndex> index = member.node->propose(this->load.payload, now);
        if (!index) {
            return;
        }
        this->load.proposed[index.value()] = now;
        --this->load.remaining;
    }
}

void ThreadedCluster::noteCommitted(const std::vector<LogEntry> &committed)
{
    const TimePoint now = MonotonicClock::now();
    const std::lock_guard lock(this->mutex);
    bool freed = false;
    for (const LogEntry &entry : committed) {
        const auto found = this->load.proposed.find(entry.index);
        if (found != this->load.proposed.end()) {
            this->load.latencies.push_back(now - found->second);
            this->load.proposed.erase(found);
            freed = true;
        }
    }
    if (!freed) {
        return;
    }
    if (this->load.remaining == 0 && this->load.proposed.empty()) {
        this->finished.notify_all();
    }
    // The next command is proposed at once instead of at the next tick: an empty reply wakes the leader.
    for (auto &[id, member] : this->members) {
        member->inbox.push_back(RaftMessage{});
        member->wake.notify_one();
    }
}

std::vector<Duration> ThreadedCluster::commit(std::size_t count, std::size_t outstanding, const std::string &payload)
{
    std::unique_lock lock(this->mutex);
    this->load = Load{.remaining = count, .outstanding = outstanding, .payload = payload, .proposed = {}, .latencies = {}};
    this->finished.wait(lock, [this] { return this->load.remaining == 0 && this->load.proposed.empty(); });
    return std::move(this->load.latencies);
}

} // namespace Galenawell::Bench
