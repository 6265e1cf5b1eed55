// A deterministic cluster for tests: simulated clock, network and disks from one seed. Checks the invariants of the log.
#pragma once

#include "galenawell/consensus/logstorage.h"
#include "galenawell/consensus/raftnode.h"
#include "galenawell/consensus/votermanager.h"
#include "galenawell/core/randomsource.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Galenawell::Testing {

// Holds in memory exactly what was stored; if `folder` is set, also stores it in a LogStorage and reads it from there.
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
    // Step of the clock; messages take at most this long.
    std::chrono::milliseconds tick{10};
    // Deliberately faulty drivers, which show that the invariants detect the fault.
    bool sendsBeforeStoring = false;
    bool keepsIdentityOfLostDisk = false;
    bool acknowledgesAtPropose = false;
    RaftProtocolRules rules{};
    // If set, instances join as learners and leaders change the membership as control processes do.
    std::optional<VoterManagerOptions> voterManager{};
    // Real files instead of memory if set.
    std::string folder{};
};

struct Instance
{
    InstanceName name;
    Disk disk;
    std::unique_ptr<RaftNode> node;
    bool frozen = false;
    // Where the process crashes while it handles its next output.
    enum class CrashPoint { None, BeforeStore, AfterStore } crash = CrashPoint::None;
    // Applied commands by index.
    std::map<LogIndex, std::string> applied;
    LogIndex appliedIndex = 0;
    std::vector<RaftMessage> inbox;
    // Empty without ClusterOptions::voterManager.
    std::optional<VoterManager> voterManager;
    std::map<MemberId, TimePoint> lastMessageAt;
    TimePoint managesVotersAt;
    TimePoint joinsAt;
};

class RaftCluster
{
public:
    explicit RaftCluster(ClusterOptions options);

    // Runs for a simulated duration.
    void run(std::chrono::milliseconds duration);
    bool runUntil(std::chrono::milliseconds limit, const std::function<bool()> &condition);

    // Calls the action after this simulated delay, also in the middle of a run.
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
    // The instances that are not retired.
    std::vector<InstanceName> names() const;
    std::vector<InstanceName> namesExcept(const std::vector<InstanceName> &excluded) const;
    // True if in each membership that is the newest on a disk, a majority of the voters still has its disk.
    bool quorumRecoverable() const;
    void forceSnapshot(const InstanceName &name);
    // Checks that every running instance has applied all acknowledged commands.
    void checkConverged();

    std::set<std::pair<InstanceName, InstanceName>> cutLinks;
    double duplicateProbability = 0;
    double reorderProbability = 0;
    double lostReplyProbability = 0;
    bool membershipChangesEnabled = true;
    // First violation of an invariant; empty if there is none.
    std::string violation;
    std::size_t acknowledged = 0;
    std::size_t confirmedReads = 0;
    // Instances that the leader removes from the membership and doesn't add again.
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
    void processOutput(Instance &instance);
    void apply(Instance &instance, const RaftOutput &output);
    void send(Instance &instance, const RaftMessage &message);
    void deliver();
    void changeMembership(Instance &instance);
    void manageVoters(Instance &instance);
    void addUnlisted(Instance &leader);
    void checkLeaders();
    void recordViolation(const std::string &what);
    bool chance(double probability);

    ClusterOptions options;
    RandomSource random;
    TimePoint now;
    std::map<InstanceName, Instance> instances;
    std::map<MemberId, InstanceName> instanceOfIdentity;
    std::multimap<TimePoint, InFlight> network;
    std::multimap<TimePoint, std::function<void()>> scheduledActions;
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
        // Highest index that was acknowledged when the read was requested.
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
