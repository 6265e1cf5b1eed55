#include "fault/consensus/raftcluster.h"

#include "galenawell/consensus/bootstrap.h"
#include "galenawell/consensus/membershipplan.h"
#include "galenawell/consensus/raftcodec.h"

#include <algorithm>
#include <sstream>

namespace Galenawell::Testing {

namespace {

using namespace std::chrono_literals;

constexpr auto voterManagementInterval = 150ms;
// A process that was removed learns it from the leader's next list of members.
constexpr auto joinInterval = 500ms;

std::string serialise(const std::map<LogIndex, std::string> &applied)
{
    std::string state;
    for (const auto &[index, payload] : applied) {
        state += std::to_string(index) + " " + payload + "\n";
    }
    return state;
}

std::map<LogIndex, std::string> deserialise(const std::string &state)
{
    std::map<LogIndex, std::string> applied;
    std::istringstream stream(state);
    LogIndex index = 0;
    std::string payload;
    while (stream >> index >> payload) {
        applied[index] = payload;
    }
    return applied;
}

void require(const Status &status)
{
    if (!status) {
        std::fprintf(stderr, "test storage: %s\n", status.error().message().c_str());
        std::abort();
    }
}

} // namespace

// Disk.

void Disk::open()
{
    if (this->folder.empty()) {
        return;
    }
    this->storage.reset();
    Result<LogStorage> opened = LogStorage::open({.folder = this->folder, .segmentBytes = 2048});
    require(opened ? Status(boost::outcome_v2::success()) : Status(opened.error()));
    this->storage = std::make_unique<LogStorage>(std::move(opened).value());
    this->identity = this->storage->identity();
    this->content = this->storage->restored();
}

void Disk::store(const RaftOutput &output)
{
    if (this->storage) {
        require(this->storage->store(output));
    }
    std::vector<LogEntry> &log = this->content.entries;
    if (output.hardState) {
        this->content.hardState = *output.hardState;
    }
    if (output.installSnapshot) {
        const RaftSnapshot &snapshot = *output.installSnapshot;
        const bool covered = std::ranges::any_of(
            log, [&snapshot](const LogEntry &entry) { return entry.index == snapshot.index && entry.term == snapshot.term; });
        std::erase_if(log, [&](const LogEntry &entry) { return !covered || entry.index <= snapshot.index; });
        this->content.snapshot = snapshot;
    }
    if (!output.append.empty()) {
        const LogIndex first = output.append.front().index;
        std::erase_if(log, [first](const LogEntry &entry) { return entry.index >= first; });
        log.insert(log.end(), output.append.begin(), output.append.end());
    }
}

void Disk::storeSnapshot(const RaftSnapshot &snapshot)
{
    if (this->storage) {
        require(this->storage->storeSnapshot(snapshot));
    }
    std::erase_if(this->content.entries, [&snapshot](const LogEntry &entry) { return entry.index <= snapshot.index; });
    this->content.snapshot = snapshot;
}

// Cluster.

RaftCluster::RaftCluster(ClusterOptions clusterOptions)
    : options(std::move(clusterOptions))
    , random(this->options.seed)
    , now(TimePoint(std::chrono::hours(1)))
{
    Membership membership;
    for (std::size_t index = 0; index < this->options.voters; ++index) {
        const InstanceName name(1, static_cast<char>('a' + index));
        this->addInstance(name);
        membership.members.push_back(Member{.id = this->at(name).disk.identity, .instance = name, .voter = true});
    }
    Instance &initialMember = this->at("a");
    RaftOutput first;
    first.hardState = HardState{.term = 1, .votedFor = 0};
    first.append.push_back(LogEntry{.index = 1, .term = 1, .kind = EntryKind::Membership, .payload = encodeMembership(membership)});
    initialMember.disk.store(first);
    this->kill("a");
    this->restart("a");
}

void RaftCluster::addInstance(const InstanceName &name)
{
    Instance &instance = this->instances[name];
    instance.name = name;
    this->loseDisk(name);
    this->restart(name);
}

void RaftCluster::loseDisk(const InstanceName &name)
{
    Instance &instance = this->at(name);
    const MemberId before = instance.disk.identity;
    this->kill(name);
    instance.disk = Disk{};
    if (!this->options.folder.empty()) {
        instance.disk.folder = this->options.folder + "/" + name + std::to_string(this->nextIdentity);
    }
    instance.disk.identity = this->options.keepsIdentityOfLostDisk && before != 0 ? before : this->nextIdentity;
    ++this->nextIdentity;
}

void RaftCluster::kill(const InstanceName &name)
{
    Instance &instance = this->at(name);
    instance.node.reset();
    instance.disk.storage.reset();
    instance.inbox.clear();
    instance.frozen = false;
    instance.crash = Instance::CrashPoint::None;
}

void RaftCluster::restart(const InstanceName &name)
{
    Instance &instance = this->at(name);
    if (instance.node || this->retired.contains(name)) {
        return;
    }
    instance.disk.open();
    this->start(instance);
}

void RaftCluster::start(Instance &instance)
{
    this->instanceOfIdentity[instance.disk.identity] = instance.name;
    RaftPersistentState restored = instance.disk.content;
    instance.applied.clear();
    instance.appliedIndex = 0;
    if (restored.snapshot) {
        instance.applied = deserialise(restored.snapshot->state);
        instance.appliedIndex = restored.snapshot->index;
    }
    RaftOptions raftOptions;
    raftOptions.self = instance.disk.identity;
    raftOptions.maximumBytesPerMessage = 256;
    raftOptions.retainedBytes = 512;
    raftOptions.rules = this->options.rules;
    instance.lastMessageAt.clear();
    if (this->options.voterManager) {
        instance.voterManager.emplace(*this->options.voterManager);
    }
    instance.node = std::make_unique<RaftNode>(raftOptions, std::move(restored), this->random.next(), this->now);
}

void RaftCluster::retire(const InstanceName &name)
{
    this->retired.insert(name);
}

void RaftCluster::cut(const std::vector<InstanceName> &from, const std::vector<InstanceName> &to, bool bothWays)
{
    for (const InstanceName &sender : from) {
        for (const InstanceName &receiver : to) {
            this->cutLinks.insert({sender, receiver});
            if (bothWays) {
                this->cutLinks.insert({receiver, sender});
            }
        }
    }
}

void RaftCluster::heal()
{
    this->cutLinks.clear();
    this->duplicateProbability = 0;
    this->reorderProbability = 0;
    this->lostReplyProbability = 0;
    this->scheduledActions.clear();
    for (auto &[name, instance] : this->instances) {
        instance.frozen = false;
        instance.crash = Instance::CrashPoint::None;
        this->restart(name);
    }
}

Instance &RaftCluster::at(const InstanceName &name)
{
    return this->instances.at(name);
}

std::vector<InstanceName> RaftCluster::names() const
{
    return this->namesExcept({});
}

std::vector<InstanceName> RaftCluster::namesExcept(const std::vector<InstanceName> &excluded) const
{
    std::vector<InstanceName> result;
    for (const auto &[name, instance] : this->instances) {
        if (!this->retired.contains(name) && std::ranges::find(excluded, name) == excluded.end()) {
            result.push_back(name);
        }
    }
    return result;
}

Instance *RaftCluster::leader()
{
    Instance *result = nullptr;
    for (auto &[name, instance] : this->instances) {
        if (instance.node && !instance.frozen && instance.node->role() == RaftRole::Leader) {
            if (result == nullptr || instance.node->term() > result->node->term()) {
                result = &instance;
            }
        }
    }
    return result;
}

bool RaftCluster::chance(double probability)
{
    constexpr std::size_t resolution = 1000;
    return static_cast<double>(this->random.below(resolution)) < probability * resolution;
}

void RaftCluster::recordViolation(const std::string &what)
{
    if (this->violation.empty()) {
        this->violation = what;
    }
}

void RaftCluster::run(std::chrono::milliseconds duration)
{
    this->runUntil(duration, [] { return false; });
}

bool RaftCluster::runUntil(std::chrono::milliseconds limit, const std::function<bool()> &condition)
{
    const TimePoint end = this->now + limit;
    while (this->now < end && this->violation.empty()) {
        if (condition()) {
            return true;
        }
        this->step();
    }
    return condition();
}

void RaftCluster::schedule(std::chrono::milliseconds delay, std::function<void()> action)
{
    this->scheduledActions.emplace(this->now + delay, std::move(action));
}

void RaftCluster::step()
{
    this->now += this->options.tick;
    while (!this->scheduledActions.empty() && this->scheduledActions.begin()->first <= this->now) {
        const std::function<void()> action = std::move(this->scheduledActions.begin()->second);
        this->scheduledActions.erase(this->scheduledActions.begin());
        action();
    }
    this->deliver();
    for (auto &[name, instance] : this->instances) {
        if (!instance.node || instance.frozen) {
            continue;
        }
        for (const RaftMessage &message : std::exchange(instance.inbox, {})) {
            instance.lastMessageAt[message.from] = this->now;
            instance.node->receive(message, this->now);
        }
        instance.node->tick(this->now);
        this->changeMembership(instance);
        this->processOutput(instance);
    }
    this->checkLeaders();
}

void RaftCluster::deliver()
{
    while (!this->network.empty() && this->network.begin()->first <= this->now) {
        InFlight item = std::move(this->network.begin()->second);
        this->network.erase(this->network.begin());
        Instance &target = this->at(item.to);
        if (target.node && !this->cutLinks.contains({item.from, item.to})) {
            target.inbox.push_back(std::move(item.message));
        }
    }
}

void RaftCluster::send(Instance &instance, const RaftMessage &original)
{
    const auto owner = this->instanceOfIdentity.find(original.to);
    if (owner == this->instanceOfIdentity.end() || this->cutLinks.contains({instance.name, owner->second})) {
        return;
    }
    const bool reply = static_cast<unsigned>(original.kind) % 2 == 1;
    if (reply && this->chance(this->lostReplyProbability)) {
        return;
    }
    // Passes the message through the codec, as a real network does.
    const RaftMessage message = decodeRaftMessage(encodeRaftMessage(original)).value();
    const unsigned copies = this->chance(this->duplicateProbability) ? 2 : 1;
    for (unsigned copy = 0; copy < copies; ++copy) {
        const bool late = copy > 0 || this->chance(this->reorderProbability);
        const auto delay = late ? std::chrono::milliseconds(this->random.below(400))
                                : std::chrono::milliseconds(this->random.below(static_cast<std::size_t>(this->options.tick.count())));
        const TimePoint arrival = this->now + delay;
        this->network.emplace(arrival, InFlight{.from = instance.name, .to = owner->second, .message = message});
    }
}

void RaftCluster::processOutput(Instance &instance)
{
    // persisted() may commit entries and produce more output, which a real driver's loop handles as well.
    for (int rounds = 0; rounds < 2 && instance.node; ++rounds) {
        const RaftOutput output = instance.node->takeOutput();
        if (this->options.sendsBeforeStoring) {
            for (const RaftMessage &message : output.messages) {
                this->send(instance, message);
            }
        }
        const bool writes = output.hardState || output.installSnapshot || !output.append.empty();
        if (writes && instance.crash == Instance::CrashPoint::BeforeStore) {
            this->kill(instance.name);
            return;
        }
        instance.disk.store(output);
        if (writes && instance.crash == Instance::CrashPoint::AfterStore) {
            this->kill(instance.name);
            return;
        }
        instance.node->persisted(this->now);
        if (!this->options.sendsBeforeStoring) {
            for (const RaftMessage &message : output.messages) {
                this->send(instance, message);
            }
        }
        this->apply(instance, output);
    }
}

void RaftCluster::apply(Instance &instance, const RaftOutput &output)
{
    if (output.installSnapshot) {
        instance.applied = deserialise(output.installSnapshot->state);
        instance.appliedIndex = output.installSnapshot->index;
    }
    for (const LogEntry &entry : output.committed) {
        const auto [known, added] = this->committed.emplace(entry.index, entry);
        if (!added && known->second != entry) {
            this->recordViolation("committed entry " + std::to_string(entry.index) + " changed at " + instance.name);
        }
        if (entry.index != instance.appliedIndex + 1) {
            this->recordViolation("entry " + std::to_string(entry.index) + " applied out of order at " + instance.name);
        }
        instance.appliedIndex = entry.index;
        if (entry.kind == EntryKind::Command) {
            instance.applied[entry.index] = entry.payload;
        }
        const auto own = std::ranges::find_if(this->proposals, [&](const Proposal &proposal) {
            return proposal.at == instance.name && proposal.index == entry.index && proposal.term == entry.term;
        });
        if (own != this->proposals.end()) {
            ++this->acknowledged;
            this->highestAcknowledged = std::max(this->highestAcknowledged, entry.index);
            this->acknowledgedPayloads[entry.index] = own->payload;
            this->proposals.erase(own);
        }
    }
    for (const std::uint64_t token : output.confirmedReads) {
        ++this->confirmedReads;
        if (instance.appliedIndex < this->reads.at(token).required) {
            this->recordViolation("read at " + instance.name + " saw " + std::to_string(instance.appliedIndex) + " although "
                                  + std::to_string(this->reads.at(token).required) + " was acknowledged");
        }
    }
    if (!output.committed.empty()) {
        // A control process looks at its members again after each change.
        instance.managesVotersAt = this->now;
    }
    const LogIndex stored = instance.disk.content.snapshot ? instance.disk.content.snapshot->index : 0;
    if (instance.appliedIndex >= stored + this->options.snapshotEvery) {
        this->forceSnapshot(instance.name);
    }
}

void RaftCluster::forceSnapshot(const InstanceName &name)
{
    Instance &instance = this->at(name);
    const LogIndex stored = instance.disk.content.snapshot ? instance.disk.content.snapshot->index : 0;
    if (!instance.node || instance.appliedIndex <= stored) {
        return;
    }
    const RaftSnapshot snapshot = instance.node->makeSnapshot(serialise(instance.applied));
    instance.disk.storeSnapshot(snapshot);
    instance.node->compact(snapshot);
}

void RaftCluster::propose(const std::string &payload)
{
    for (auto &[name, instance] : this->instances) {
        if (!instance.node || instance.frozen || instance.node->role() != RaftRole::Leader) {
            continue;
        }
        const std::string unique = payload + std::to_string(this->nextCommand++);
        const Result<LogIndex> index = instance.node->propose(unique, this->now);
        if (!index) {
            continue;
        }
        this->proposals.push_back(Proposal{.at = name, .index = index.value(), .term = instance.node->term(), .payload = unique});
        if (this->options.acknowledgesAtPropose) {
            this->highestAcknowledged = std::max(this->highestAcknowledged, index.value());
            this->acknowledgedPayloads[index.value()] = unique;
        }
    }
}

void RaftCluster::read()
{
    for (auto &[name, instance] : this->instances) {
        if (instance.node && !instance.frozen && instance.node->role() == RaftRole::Leader) {
            this->reads[++this->nextRead] = Read{.at = name, .required = this->highestAcknowledged};
            instance.node->requestRead(this->nextRead, this->now);
        }
    }
}

bool RaftCluster::commitOne(std::chrono::milliseconds limit)
{
    const std::size_t before = this->acknowledged;
    TimePoint lastTry;
    return this->runUntil(limit, [&] {
        if (this->now - lastTry >= 200ms) {
            lastTry = this->now;
            this->propose("x");
        }
        return this->acknowledged > before;
    });
}

// Proposes changes as a leader's driver does: adds running instances and removes retired ones.
void RaftCluster::changeMembership(Instance &instance)
{
    if (!this->membershipChangesEnabled || instance.node->role() != RaftRole::Leader) {
        return;
    }
    if (instance.voterManager) {
        this->manageVoters(instance);
        return;
    }
    const Membership membership = instance.node->membership();
    for (const Member &member : membership.members) {
        if (this->retired.contains(member.instance)) {
            Membership without = membership;
            std::erase(without.members, member);
            (void)instance.node->proposeMembership(without, this->now);
            return;
        }
    }
    for (const auto &[name, other] : this->instances) {
        if (!other.node || this->retired.contains(name)) {
            continue;
        }
        const Member joining{.id = other.disk.identity, .instance = name, .voter = false};
        const bool caughtUp = instance.node->matchIndex(joining.id) + 10 >= instance.node->lastIndex();
        const std::optional<Membership> next = nextReplacementStep(membership, joining, caughtUp);
        if (next) {
            (void)instance.node->proposeMembership(*next, this->now);
            return;
        }
    }
}

void RaftCluster::manageVoters(Instance &instance)
{
    if (this->now < instance.managesVotersAt) {
        return;
    }
    instance.managesVotersAt = this->now + voterManagementInterval;
    LeaderObservation observation{.leader = instance.disk.identity,
                                  .term = instance.node->term(),
                                  .commitIndex = instance.node->commitIndex(),
                                  .membership = instance.node->membership(),
                                  .matchIndexes = {},
                                  .lastMessageAt = instance.lastMessageAt};
    for (const Member &member : observation.membership.members) {
        observation.matchIndexes[member.id] = instance.node->matchIndex(member.id);
    }
    if (const std::optional<Membership> next = instance.voterManager->nextStep(observation, this->now)) {
        (void)instance.node->proposeMembership(*next, this->now);
    }
    this->addUnlisted(instance);
}

// Adds each running instance that the leader doesn't list, as if it had just asked to join.
void RaftCluster::addUnlisted(Instance &leader)
{
    Membership membership = leader.node->membership();
    for (auto &[name, other] : this->instances) {
        const bool asks = other.node && !other.frozen && this->now >= other.joinsAt && !this->cutLinks.contains({name, leader.name});
        if (asks && findMember(membership, other.disk.identity) == nullptr) {
            other.joinsAt = this->now + joinInterval;
            membership.members.push_back(Member{.id = other.disk.identity, .instance = name, .voter = false});
            (void)leader.node->proposeMembership(membership, this->now);
            return;
        }
    }
}

void RaftCluster::checkLeaders()
{
    for (const auto &[name, instance] : this->instances) {
        if (!instance.node || instance.node->role() != RaftRole::Leader) {
            continue;
        }
        const auto [known, added] = this->leaders.emplace(instance.node->term(), instance.disk.identity);
        if (!added && known->second != instance.disk.identity) {
            this->recordViolation("two leaders in term " + std::to_string(instance.node->term()));
        }
    }
}

bool RaftCluster::quorumRecoverable() const
{
    // Each membership that is the newest on a disk needs a majority, since any of them may be the one in effect.
    bool known = false;
    for (const auto &[name, instance] : this->instances) {
        RaftPersistentState restored = instance.disk.content;
        Membership membership = restored.snapshot ? restored.snapshot->membership : Membership{};
        for (const LogEntry &entry : restored.entries) {
            if (entry.kind == EntryKind::Membership) {
                membership = decodeMembership(entry.payload).value();
            }
        }
        std::size_t present = 0;
        for (const auto &[otherName, other] : this->instances) {
            const Member *member = findMember(membership, other.disk.identity);
            present += member != nullptr && member->voter && !this->retired.contains(otherName) ? 1 : 0;
        }
        known = known || !membership.members.empty();
        if (!membership.members.empty() && present * 2 <= voterCount(membership)) {
            return false;
        }
    }
    return known;
}

void RaftCluster::checkConverged()
{
    for (const auto &[name, instance] : this->instances) {
        if (!instance.node || this->retired.contains(name)) {
            continue;
        }
        for (const auto &[index, payload] : this->acknowledgedPayloads) {
            const auto found = instance.applied.find(index);
            if (found == instance.applied.end() || found->second != payload) {
                this->recordViolation("acknowledged entry " + std::to_string(index) + " is lost at " + name);
            }
        }
    }
}

} // namespace Galenawell::Testing
