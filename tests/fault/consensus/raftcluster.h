// A deterministic cluster for tests: simulated clock, network and disks, one seed, and the invariants of the log.
#pragma once

#include "galenawell/consensus/logstorage.h"
#include "galenawell/consensus/raftnode.h"
#include "galenawell/core/randomsource.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Galenawell::Testing {

// A disk that keeps exactly what was stored; with a folder it is a LogStorage instead.
struct Disk
{
    MemberId identity = 0;
    RaftPersistentState content;
    std::string folder;
    std::unique_ptr<LogStorage> storage;

    void open();
    void store(const RaftOutput &output);
    void storeSnapshot(const RaftSnapshot &snapshot);
};

struct ClusterOptions
{
    std::size_t voters = 3;
    std::uint64_t seed = 1;
    LogIndex snapshotEvery = 20;
    // Deliberately broken drivers, which show that the invariants notice.
    bool sendsBeforeStoring = false;
    bool keepsIdentityOfLostDisk = false;
    bool acknowledgesAtPropose = false;
    RaftDefences defences{};
    // Real files instead of memory if set.
    std::string folder{};
};

struct Instance
{
    InstanceName name;
    Disk disk;
    std::unique_ptr<RaftNode> node;
    bool frozen = false;
    // The process ends at this point of its next output.
    enum class CrashPoint { None, BeforeStore, AfterStore } crash = CrashPoint::None;
    // Applied commands by index.
    std::map<LogIndex, std::string> applied;
    LogIndex appliedIndex = 0;
    std::vector<RaftMessage> inbox;
};

class RaftCluster
{
public:
    explicit RaftCluster(ClusterOptions options);

    // Runs for a simulated duration.
    void run(std::chrono::milliseconds duration);
    bool runUntil(std::chrono::milliseconds limit, const std::function<bool()> &condition);

    // Calls the action once the simulated time has passed, in the middle of any run.
    void schedule(std::chrono::milliseconds delay, std::function<void()> action);

    void propose(const std::string &payload);
    void read();
    // Proposes and waits until it is acknowledged.
    bool commitOne(std::chrono::milliseconds limit);

    // Faults.
    void kill(const InstanceName &name);
    void restart(const InstanceName &name);
    void loseDisk(const InstanceName &name);
    void addInstance(const InstanceName &name);
    void retire(const InstanceName &name);
    // Cuts every link between the two groups, in one direction or in both.
    void cut(const std::vector<InstanceName> &from, const std::vector<InstanceName> &to, bool bothWays = true);
    void heal();

    TimePoint time() const
    {
        return this->now;
    }
    Instance &at(const InstanceName &name);
    // The leader with the highest term, or null.
    Instance *leader();
    // Those that are not retired.
    std::vector<InstanceName> names() const;
    std::vector<InstanceName> namesExcept(const std::vector<InstanceName> &excluded) const;
    // True while a majority of the voters of the newest stored membership still has its disk.
    bool survivable() const;
    void forceSnapshot(const InstanceName &name);
    // Compares the state of all members that can be expected to have caught up.
    void checkConverged();

    std::set<std::pair<InstanceName, InstanceName>> cuts;
    double duplicateShare = 0;
    double reorderShare = 0;
    double lostReplyShare = 0;
    bool repairs = true;
    // First broken invariant; empty while all hold.
    std::string violation;
    std::size_t acknowledged = 0;
    std::size_t confirmedReads = 0;
    // Instances that no driver brings into the membership and that the leader removes.
    std::set<InstanceName> retired;

private:
    struct InFlight
    {
        InstanceName from;
        InstanceName to;
        RaftMessage message;
    };

    void step();
    void start(Instance &instance);
    void drive(Instance &instance);
    void apply(Instance &instance, const RaftOutput &output);
    void send(Instance &instance, const RaftMessage &message);
    void deliver();
    void repairStep(Instance &instance);
    void checkLeaders();
    void fail(const std::string &what);
    bool chance(double share);

    ClusterOptions options;
    RandomSource random;
    TimePoint now;
    std::map<InstanceName, Instance> instances;
    std::map<MemberId, InstanceName> owners;
    std::multimap<TimePoint, InFlight> network;
    std::multimap<TimePoint, std::function<void()>> alarms;
    MemberId nextIdentity = 1;
    std::uint64_t nextCommand = 0;

    struct Proposal
    {
        InstanceName at;
        LogIndex index = 0;
        Term term = 0;
        std::string payload;
    };
    struct Read
    {
        InstanceName at;
        // Highest index that was acknowledged when the read was asked.
        LogIndex required = 0;
    };
    std::vector<Proposal> proposals;
    std::map<std::uint64_t, Read> reads;
    std::uint64_t nextRead = 0;
    LogIndex highestAcknowledged = 0;
    std::map<LogIndex, std::string> acknowledgedPayloads;
    std::map<LogIndex, LogEntry> committed;
    std::map<Term, MemberId> leaders;
};

} // namespace Galenawell::Testing
