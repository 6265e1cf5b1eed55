#include "galenawell/registry/backendregistry.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <limits>
#include <tuple>
#include <utility>

namespace Galenawell {

namespace {

bool isNewer(const BackendRecord &left, const BackendRecord &right)
{
    return std::tie(left.incarnation, left.sequence) > std::tie(right.incarnation, right.sequence);
}

bool isVisible(const BackendRecord *record)
{
    return record != nullptr && record->state != BackendState::Stopped;
}

// True if readers of the visible set would notice the replacement.
bool differs(const std::optional<BackendRecord> &before, const BackendRecord *after)
{
    if (!before.has_value() || !isVisible(after)) {
        return before.has_value() != isVisible(after);
    }
    return before->incarnation != after->incarnation || !before->sameContent(*after);
}

std::optional<BackendRecord> copyIfVisible(const BackendRecord *record)
{
    return isVisible(record) ? std::optional(*record) : std::nullopt;
}

// The list isn't empty.
template<typename Copies>
const BackendRecord &newestOf(const Copies &copies)
{
    const auto isOlder = [](const auto &left, const auto &right) { return isNewer(right.record, left.record); };
    return std::ranges::max_element(copies, isOlder)->record;
}

std::string describe(const ReplicaKey &key)
{
    return "server " + key.address + " of group '" + key.group + "' of service '" + key.service + "'";
}

Error outdated(const BackendRecord &record, const BackendRecord &known)
{
    return makeError(ErrorKind::NumberOutOfOrder,
                     describe(record.key) + " announced incarnation " + std::to_string(record.incarnation) + " sequence "
                         + std::to_string(record.sequence) + " after incarnation " + std::to_string(known.incarnation) + " sequence "
                         + std::to_string(known.sequence));
}

// The groups that ready servers announce under one epoch; nullopt if two of them disagree on a group's range.
std::optional<std::vector<PartitionGroup>> groupsOf(const std::vector<const BackendRecord *> &records)
{
    std::map<std::string, KeyRange> ranges;
    for (const BackendRecord *record : records) {
        const auto [position, added] = ranges.emplace(record->key.group, record->range);
        if (!added && position->second != record->range) {
            return std::nullopt;
        }
    }
    std::vector<PartitionGroup> groups;
    groups.reserve(ranges.size());
    for (const auto &[name, range] : ranges) {
        groups.push_back({.name = name, .range = range});
    }
    std::ranges::sort(groups, {}, [](const PartitionGroup &group) -> const std::string & { return group.range.begin; });
    return groups;
}

} // namespace

bool BackendRecord::sameContent(const BackendRecord &other) const
{
    const auto content = [](const BackendRecord &record) {
        return std::tie(record.key,
                        record.dataCentre,
                        record.incarnation,
                        record.state,
                        record.epoch,
                        record.range.begin,
                        record.range.end,
                        record.versions,
                        record.slots,
                        record.connections,
                        record.identity);
    };
    return content(*this) == content(other);
}

BackendRegistry::BackendRegistry(RegistryOptions newOptions)
    : options(std::move(newOptions))
{
}

Result<bool> BackendRegistry::announce(const BackendRecord &record, TimePoint now)
{
    const BackendRecord *visibleNow = this->newest(record.key);
    const BackendRecord *known = visibleNow;
    // A delayed announcement must not bring back a server whose lease just expired.
    const auto recent = this->lapsed.find(record.key);
    if (known == nullptr && recent != this->lapsed.end()) {
        known = &recent->second.held.record;
    }
    if (known != nullptr) {
        const bool resent = !isNewer(*known, record) && record.sameContent(*known);
        if (!resent && !isNewer(record, *known)) {
            return outdated(record, *known);
        }
    }
    const std::optional<BackendRecord> before = copyIfVisible(visibleNow);
    const auto own = this->held.find(record.key);
    const bool replicate = own == this->held.end() || !own->second.record.sameContent(record);
    this->held[record.key] = {.record = record, .renewed = now};
    this->lapsed.erase(record.key);
    if (replicate) {
        this->recordChange(record, false);
    }
    return differs(before, &record);
}

bool BackendRegistry::expire(TimePoint now)
{
    const bool leasesChanged = this->expireLeases(now);
    const bool holdersChanged = this->expireHolders(now);
    return leasesChanged || holdersChanged;
}

bool BackendRegistry::expireLeases(TimePoint now)
{
    std::erase_if(this->lapsed, [this, now](const auto &entry) { return now - entry.second.at >= this->options.lease; });
    bool changed = this->removeExpected(now);
    const std::vector<ReplicaKey> failed = this->unrenewed(this->options.lease, now);
    const bool wasMassLapse = this->massLapse;
    this->massLapse = (!failed.empty() || !this->lapsed.empty()) && this->isMassLapse(now);
    if (this->massLapse) {
        changed = changed || !this->lapsed.empty();
        this->restoreLapsed();
        return changed;
    }
    for (const ReplicaKey &key : failed) {
        // Servers return one by one after a network failure, so the rest gets one more lease.
        if (wasMassLapse) {
            this->held.at(key).renewed = now;
            continue;
        }
        const Held lease = this->held.at(key);
        changed = this->removeHeld(key) || changed;
        this->lapsed[key] = {.held = lease, .at = now};
    }
    return changed;
}

bool BackendRegistry::isExpected(const Held &lease) const
{
    return lease.record.state == BackendState::Stopped || this->newestElsewhere(lease.record.key) != nullptr;
}

bool BackendRegistry::removeExpected(TimePoint now)
{
    std::vector<ReplicaKey> expected;
    for (const auto &[key, lease] : this->held) {
        if (now - lease.renewed > this->options.lease && this->isExpected(lease)) {
            expected.push_back(key);
        }
    }
    bool changed = false;
    for (const ReplicaKey &key : expected) {
        changed = this->removeHeld(key) || changed;
    }
    return changed;
}

std::vector<ReplicaKey> BackendRegistry::unrenewed(std::chrono::milliseconds longerThan, TimePoint now) const
{
    std::vector<ReplicaKey> keys;
    for (const auto &[key, lease] : this->held) {
        if (now - lease.renewed > longerThan && !this->isExpected(lease)) {
            keys.push_back(key);
        }
    }
    return keys;
}

bool BackendRegistry::isMassLapse(TimePoint now) const
{
    const std::size_t lapses = this->unrenewed(this->options.lease / 2, now).size() + this->lapsed.size();
    const std::size_t leases = this->held.size() + this->lapsed.size();
    return lapses >= this->options.massLapseMinimum && lapses * 2 > leases;
}

void BackendRegistry::restoreLapsed()
{
    for (const auto &[key, entry] : this->lapsed) {
        this->held.emplace(key, entry.held);
        this->recordChange(entry.held.record, false);
    }
    this->lapsed.clear();
}

bool BackendRegistry::removeHeld(const ReplicaKey &key)
{
    const std::optional<BackendRecord> before = copyIfVisible(this->newest(key));
    const auto position = this->held.find(key);
    this->recordChange(position->second.record, true);
    this->held.erase(position);
    return differs(before, this->newest(key));
}

bool BackendRegistry::expireHolders(TimePoint now)
{
    bool changed = false;
    for (auto origin = this->holders.begin(); origin != this->holders.end();) {
        if (now - origin->second.heard <= this->options.lease) {
            ++origin;
            continue;
        }
        for (const ReplicaKey *key : std::exchange(origin->second.keys, {})) {
            // The key in the index goes with its last copy.
            const ReplicaKey server = *key;
            const std::optional<BackendRecord> before = copyIfVisible(this->newest(server));
            this->removeCopy(origin->second, server);
            changed = changed || differs(before, this->newest(server));
        }
        origin = this->holders.erase(origin);
    }
    return changed;
}

BackendRegistry::Holder *BackendRegistry::findCurrentHolder(const InstanceName &origin, Incarnation originIncarnation, TimePoint now)
{
    const auto later = this->holders.upper_bound({origin, originIncarnation});
    const bool superseded = later != this->holders.end() && later->first.first == origin;
    if (superseded || origin == this->options.self) {
        return nullptr;
    }
    Holder &known = this->holders[{origin, originIncarnation}];
    known.heard = std::max(known.heard, now);
    return &known;
}

bool BackendRegistry::applyUpdate(const RegistryUpdate &update, TimePoint now)
{
    Holder *origin = this->findCurrentHolder(update.origin, update.originIncarnation, now);
    if (origin == nullptr) {
        return true;
    }
    if (update.full) {
        if (update.through < origin->through) {
            return true;
        }
        this->removeCopies(*origin);
        for (const RegistryChange &change : update.changes) {
            this->putCopy(*origin, change.record);
        }
        origin->through = update.through;
        return true;
    }
    for (const RegistryChange &change : update.changes) {
        if (change.number <= origin->through) {
            continue;
        }
        if (change.number != origin->through + 1) {
            return false;
        }
        if (change.removed) {
            this->removeCopy(*origin, change.record.key);
        } else {
            this->putCopy(*origin, change.record);
        }
        origin->through = change.number;
    }
    return origin->through >= update.through;
}

RegistryUpdate BackendRegistry::updateSince(std::uint64_t acknowledged) const
{
    RegistryUpdate update{.origin = this->options.self,
                          .originIncarnation = this->options.incarnation,
                          .full = false,
                          .through = this->changeNumber,
                          .changes = {}};
    const std::uint64_t oldestKept = this->changeNumber - this->changes.size();
    update.full = acknowledged == 0 || acknowledged > this->changeNumber || acknowledged < oldestKept;
    if (update.full) {
        for (const auto &[key, lease] : this->held) {
            update.changes.push_back({.number = this->changeNumber, .record = lease.record});
        }
        return update;
    }
    const auto first = this->changes.begin() + static_cast<std::ptrdiff_t>(acknowledged - oldestKept);
    update.changes.assign(first, this->changes.end());
    return update;
}

Incarnation BackendRegistry::incarnation() const
{
    return this->options.incarnation;
}

bool BackendRegistry::raiseIncarnationAbove(Incarnation known)
{
    if (known <= this->options.incarnation) {
        return false;
    }
    this->options.incarnation = known + 1;
    return true;
}

std::uint64_t BackendRegistry::newestChange() const
{
    return this->changeNumber;
}

std::uint64_t BackendRegistry::appliedThrough(const InstanceName &origin, Incarnation originIncarnation) const
{
    const auto known = this->holders.find({origin, originIncarnation});
    return known == this->holders.end() ? 0 : known->second.through;
}

std::pair<Incarnation, std::uint64_t> BackendRegistry::replicationPosition(const InstanceName &origin) const
{
    const auto next = this->holders.upper_bound({origin, std::numeric_limits<Incarnation>::max()});
    if (next == this->holders.begin() || std::prev(next)->first.first != origin) {
        return {0, 0};
    }
    return {std::prev(next)->first.second, std::prev(next)->second.through};
}

void BackendRegistry::renewOrigin(const InstanceName &origin, Incarnation originIncarnation, TimePoint now)
{
    this->findCurrentHolder(origin, originIncarnation, now);
}

std::vector<BackendRecord> BackendRegistry::visible() const
{
    std::vector<BackendRecord> records;
    const auto offer = [&records](const BackendRecord *record) {
        if (isVisible(record)) {
            records.push_back(*record);
        }
    };
    // Both maps are sorted by key.
    auto own = this->held.begin();
    for (const auto &[key, list] : this->copies) {
        while (own != this->held.end() && own->first < key) {
            offer(&own->second.record);
            ++own;
        }
        const BackendRecord *best = &newestOf(list);
        if (own != this->held.end() && own->first == key) {
            best = isNewer(*best, own->second.record) ? best : &own->second.record;
            ++own;
        }
        offer(best);
    }
    for (; own != this->held.end(); ++own) {
        offer(&own->second.record);
    }
    return records;
}

bool BackendRegistry::suspect() const
{
    return this->massLapse;
}

std::optional<PartitionMap> BackendRegistry::completeMap(const std::string &service) const
{
    const std::vector<BackendRecord> servers = this->visible();
    std::map<std::uint64_t, std::vector<const BackendRecord *>, std::greater<>> byEpoch;
    for (const BackendRecord &server : servers) {
        if (server.key.service == service && server.state == BackendState::Ready) {
            byEpoch[server.epoch].push_back(&server);
        }
    }
    for (const auto &[epoch, records] : byEpoch) {
        std::optional<std::vector<PartitionGroup>> groups = groupsOf(records);
        if (!groups.has_value()) {
            continue;
        }
        PartitionMap map{.service = service, .epoch = epoch, .groups = std::move(*groups)};
        if (map.check().has_value()) {
            return map;
        }
    }
    return std::nullopt;
}

void BackendRegistry::putCopy(Holder &origin, const BackendRecord &record)
{
    const auto position = this->copies.try_emplace(record.key).first;
    origin.keys.insert(&position->first);
    std::vector<Copy> &list = position->second;
    const auto known = std::ranges::find(list, &origin, &Copy::origin);
    if (known == list.end()) {
        list.push_back({.origin = &origin, .record = record});
    } else {
        known->record = record;
    }
}

void BackendRegistry::removeCopy(Holder &origin, const ReplicaKey &key)
{
    const auto position = this->copies.find(key);
    if (position == this->copies.end()) {
        return;
    }
    origin.keys.erase(&position->first);
    std::erase_if(position->second, [&origin](const Copy &copy) { return copy.origin == &origin; });
    if (position->second.empty()) {
        this->copies.erase(position);
    }
}

void BackendRegistry::removeCopies(Holder &origin)
{
    for (const ReplicaKey *key : std::exchange(origin.keys, {})) {
        // The key in the index goes with its last copy.
        const ReplicaKey server = *key;
        this->removeCopy(origin, server);
    }
}

const BackendRecord *BackendRegistry::newestElsewhere(const ReplicaKey &key) const
{
    const auto list = this->copies.find(key);
    return list == this->copies.end() ? nullptr : &newestOf(list->second);
}

const BackendRecord *BackendRegistry::newest(const ReplicaKey &key) const
{
    const BackendRecord *elsewhere = this->newestElsewhere(key);
    const auto own = this->held.find(key);
    if (own == this->held.end()) {
        return elsewhere;
    }
    const bool ownIsNewer = elsewhere == nullptr || !isNewer(*elsewhere, own->second.record);
    return ownIsNewer ? &own->second.record : elsewhere;
}

void BackendRegistry::recordChange(const BackendRecord &record, bool removed)
{
    ++this->changeNumber;
    this->changes.push_back({.number = this->changeNumber, .record = record, .removed = removed});
    if (this->changes.size() > this->options.changeLogCapacity) {
        this->changes.pop_front();
    }
}

} // namespace Galenawell
