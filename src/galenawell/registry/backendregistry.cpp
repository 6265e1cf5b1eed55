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

// True if the replacement changes the visible set.
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

// `records` must not be empty.
template<typename Records>
const BackendRecord &newestOf(const Records &records)
{
    const auto isOlder = [](const auto &left, const auto &right) { return isNewer(right.record, left.record); };
    return std::ranges::max_element(records, isOlder)->record;
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
    , retired(this->options.retired)
{
}

Result<bool> BackendRegistry::announce(const BackendRecord &record, TimePoint now)
{
    this->latestTime = now;
    if (this->retired.supersedes(record)) {
        return makeError(ErrorKind::NumberOutOfOrder,
                         describe(record.key) + " has announced its shutdown; only a new run of it is accepted");
    }
    const bool isNewHere = record.state != BackendState::Stopped && !this->leases.contains(record.key);
    if (isNewHere && this->leases.size() >= this->options.maximumLeases) {
        return makeError(ErrorKind::RegistryFull, std::to_string(this->leases.size()) + " servers announce themselves here");
    }
    const BackendRecord *visibleNow = this->newest(record.key);
    const BackendRecord *known = visibleNow;
    // Rejects a delayed announcement of a server whose lease just expired.
    const auto recent = this->recentlyExpired.find(record.key);
    if (known == nullptr && recent != this->recentlyExpired.end()) {
        known = &recent->second.lease.record;
    }
    if (known != nullptr) {
        const bool resent = !isNewer(*known, record) && record.sameContent(*known);
        if (!resent && !isNewer(record, *known)) {
            return outdated(record, *known);
        }
    }
    const std::optional<BackendRecord> before = copyIfVisible(visibleNow);
    const auto local = this->leases.find(record.key);
    const bool replicate = local == this->leases.end() || !local->second.record.sameContent(record);
    this->leases[record.key] = {.record = record, .renewedAt = now};
    this->retired.note(record, now);
    this->recentlyExpired.erase(record.key);
    if (replicate) {
        this->recordChange(record, false);
    }
    return differs(before, &record);
}

void BackendRegistry::remember(const BackendRecord &record, TimePoint now)
{
    this->latestTime = now;
    this->leases[record.key] = {.record = record, .renewedAt = now, .remembered = true};
    this->retired.note(record, now);
    this->recordChange(record, false);
}

bool BackendRegistry::expire(TimePoint now)
{
    this->latestTime = now;
    this->retired.expire(now);
    const bool leasesChanged = this->expireLeases(now);
    const bool originsChanged = this->expireOrigins(now);
    return leasesChanged || originsChanged;
}

bool BackendRegistry::expireLeases(TimePoint now)
{
    std::erase_if(this->recentlyExpired, [this, now](const auto &entry) { return now - entry.second.expiredAt >= this->options.lease; });
    std::erase_if(this->moved, [this, now](const auto &entry) { return now - entry.second >= this->options.lease; });
    this->rememberAfterPause(now);
    bool changed = this->removeDeparted(now);
    changed = this->removeRemembered(now) || changed;
    const std::vector<ReplicaKey> failed = this->overdueLeases(this->options.lease, now);
    const bool wasMassExpiry = this->massExpiry;
    this->massExpiry = (!failed.empty() || !this->recentlyExpired.empty()) && this->isMassExpiry(now);
    if (!wasMassExpiry) {
        this->massExpirySince = now;
    }
    const bool limitReached = this->massExpiry && now - this->massExpirySince >= this->options.massExpiryLimit;
    if (this->massExpiry && !limitReached) {
        changed = changed || !this->recentlyExpired.empty();
        this->restoreExpired();
        return changed;
    }
    for (const ReplicaKey &key : failed) {
        // After a network failure servers return one by one, so the others get one more lease duration.
        if (wasMassExpiry && !limitReached) {
            this->leases.at(key).renewedAt = now;
            continue;
        }
        const Lease lease = this->leases.at(key);
        changed = this->removeLease(key) || changed;
        if (!limitReached) {
            this->recentlyExpired[key] = {.lease = lease, .expiredAt = now};
        }
    }
    if (limitReached) {
        this->massExpiry = false;
        this->recentlyExpired.clear();
    }
    return changed;
}

void BackendRegistry::rememberAfterPause(TimePoint now)
{
    const bool paused = this->expiredAt && now - *this->expiredAt > this->options.lease;
    this->expiredAt = now;
    if (!paused) {
        return;
    }
    for (auto &[key, lease] : this->leases) {
        if (!lease.remembered && now - lease.renewedAt > this->options.lease) {
            lease.remembered = true;
            lease.renewedAt = now;
        }
    }
}

bool BackendRegistry::removeRemembered(TimePoint now)
{
    std::vector<ReplicaKey> ended;
    for (const auto &[key, lease] : this->leases) {
        if (lease.remembered && now - lease.renewedAt > this->options.lease) {
            ended.push_back(key);
        }
    }
    bool changed = false;
    for (const ReplicaKey &key : ended) {
        changed = this->removeLease(key) || changed;
    }
    return changed;
}

bool BackendRegistry::hasDeparted(const Lease &lease) const
{
    return lease.record.state == BackendState::Stopped || this->newestRemote(lease.record.key) != nullptr;
}

bool BackendRegistry::removeDeparted(TimePoint now)
{
    std::vector<ReplicaKey> departed;
    for (const auto &[key, lease] : this->leases) {
        if (now - lease.renewedAt > this->options.lease && this->hasDeparted(lease)) {
            departed.push_back(key);
        }
    }
    bool changed = false;
    for (const ReplicaKey &key : departed) {
        if (isVisible(this->newestRemote(key))) {
            this->moved[key] = now;
        }
        changed = this->removeLease(key) || changed;
    }
    return changed;
}

std::vector<ReplicaKey> BackendRegistry::overdueLeases(std::chrono::milliseconds longerThan, TimePoint now) const
{
    std::vector<ReplicaKey> keys;
    for (const auto &[key, lease] : this->leases) {
        if (now - lease.renewedAt > longerThan && !lease.remembered && !this->hasDeparted(lease)) {
            keys.push_back(key);
        }
    }
    return keys;
}

bool BackendRegistry::isMassExpiry(TimePoint now) const
{
    const std::size_t expiries = this->overdueLeases(this->options.lease / 2, now).size() + this->recentlyExpired.size();
    const auto remembered = std::ranges::count_if(this->leases, [](const auto &entry) { return entry.second.remembered; });
    const std::size_t total
        = this->leases.size() - static_cast<std::size_t>(remembered) + this->recentlyExpired.size() + this->moved.size();
    return expiries >= this->options.massExpiryMinimum && expiries * 2 > total;
}

void BackendRegistry::restoreExpired()
{
    for (const auto &[key, entry] : this->recentlyExpired) {
        this->leases.emplace(key, entry.lease);
        this->recordChange(entry.lease.record, false);
    }
    this->recentlyExpired.clear();
}

bool BackendRegistry::removeLease(const ReplicaKey &key)
{
    const std::optional<BackendRecord> before = copyIfVisible(this->newest(key));
    const auto position = this->leases.find(key);
    this->recordChange(position->second.record, true);
    this->leases.erase(position);
    return differs(before, this->newest(key));
}

bool BackendRegistry::expireOrigins(TimePoint now)
{
    bool changed = false;
    for (auto origin = this->origins.begin(); origin != this->origins.end();) {
        if (now - origin->second.lastMessageAt <= this->options.lease) {
            ++origin;
            continue;
        }
        for (const ReplicaKey *key : std::exchange(origin->second.keys, {})) {
            // Copied, because removing the last record destroys the key.
            const ReplicaKey server = *key;
            const std::optional<BackendRecord> before = copyIfVisible(this->newest(server));
            this->removeRemote(origin->second, server);
            changed = changed || differs(before, this->newest(server));
        }
        origin = this->origins.erase(origin);
    }
    return changed;
}

BackendRegistry::Origin *BackendRegistry::findCurrentOrigin(const InstanceName &origin, Incarnation originIncarnation, TimePoint now)
{
    const auto later = this->origins.upper_bound({origin, originIncarnation});
    const bool superseded = later != this->origins.end() && later->first.first == origin;
    if (superseded || origin == this->options.self) {
        return nullptr;
    }
    Origin &known = this->origins[{origin, originIncarnation}];
    known.lastMessageAt = std::max(known.lastMessageAt, now);
    return &known;
}

bool BackendRegistry::applyUpdate(const RegistryUpdate &update, TimePoint now)
{
    Origin *origin = this->findCurrentOrigin(update.origin, update.originIncarnation, now);
    if (origin == nullptr) {
        return true;
    }
    this->addRetired(update.retired, now);
    for (const RegistryChange &change : update.changes) {
        if (change.defect.empty() && !change.removed) {
            this->supersededCount += this->retired.supersedes(change.record) ? 1 : 0;
            this->retired.note(change.record, now);
        }
    }
    if (update.full) {
        if (update.through < origin->through) {
            return true;
        }
        this->removeAllRemote(*origin);
        for (const RegistryChange &change : update.changes) {
            if (change.defect.empty()) {
                this->putRemote(*origin, change.record);
            }
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
            this->removeRemote(*origin, change.record.key);
        } else if (change.defect.empty()) {
            this->putRemote(*origin, change.record);
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
        for (const auto &[key, lease] : this->leases) {
            update.changes.push_back({.number = this->changeNumber, .record = lease.record});
        }
        update.retired = this->retiredServers();
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
    const auto known = this->origins.find({origin, originIncarnation});
    return known == this->origins.end() ? 0 : known->second.through;
}

std::pair<Incarnation, std::uint64_t> BackendRegistry::replicationPosition(const InstanceName &origin) const
{
    const auto next = this->origins.upper_bound({origin, std::numeric_limits<Incarnation>::max()});
    if (next == this->origins.begin() || std::prev(next)->first.first != origin) {
        return {0, 0};
    }
    return {std::prev(next)->first.second, std::prev(next)->second.through};
}

void BackendRegistry::renewOrigin(const InstanceName &origin, Incarnation originIncarnation, TimePoint now)
{
    this->findCurrentOrigin(origin, originIncarnation, now);
}

std::vector<BackendRecord> BackendRegistry::visible() const
{
    std::vector<BackendRecord> records;
    const auto offer = [this, &records](const BackendRecord *record) {
        if (!isVisible(record)) {
            return;
        }
        if (const BackendState state = this->retired.latestStateOf(*record); state != BackendState::Stopped) {
            records.push_back(*record);
            records.back().state = state;
        }
    };
    // Both maps are sorted by key.
    auto local = this->leases.begin();
    for (const auto &[key, list] : this->remoteRecords) {
        while (local != this->leases.end() && local->first < key) {
            offer(&local->second.record);
            ++local;
        }
        const BackendRecord *best = &newestOf(list);
        if (local != this->leases.end() && local->first == key) {
            best = isNewer(*best, local->second.record) ? best : &local->second.record;
            ++local;
        }
        offer(best);
    }
    for (; local != this->leases.end(); ++local) {
        offer(&local->second.record);
    }
    return records;
}

std::vector<RetiredServer> BackendRegistry::retiredServers() const
{
    return this->retired.all(this->latestTime);
}

void BackendRegistry::addRetired(const std::vector<RetiredServer> &servers, TimePoint now)
{
    this->latestTime = now;
    for (const RetiredServer &server : servers) {
        this->retired.add(server, now);
    }
}

std::uint64_t BackendRegistry::supersededRecords() const
{
    return this->supersededCount;
}

bool BackendRegistry::suspect() const
{
    return this->massExpiry;
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

void BackendRegistry::putRemote(Origin &origin, const BackendRecord &record)
{
    const auto position = this->remoteRecords.try_emplace(record.key).first;
    origin.keys.insert(&position->first);
    std::vector<RemoteRecord> &list = position->second;
    const auto known = std::ranges::find(list, &origin, &RemoteRecord::origin);
    if (known == list.end()) {
        list.push_back({.origin = &origin, .record = record});
    } else {
        known->record = record;
    }
}

void BackendRegistry::removeRemote(Origin &origin, const ReplicaKey &key)
{
    const auto position = this->remoteRecords.find(key);
    if (position == this->remoteRecords.end()) {
        return;
    }
    origin.keys.erase(&position->first);
    std::erase_if(position->second, [&origin](const RemoteRecord &remote) { return remote.origin == &origin; });
    if (position->second.empty()) {
        this->remoteRecords.erase(position);
    }
}

void BackendRegistry::removeAllRemote(Origin &origin)
{
    for (const ReplicaKey *key : std::exchange(origin.keys, {})) {
        // Copied, because removing the last record destroys the key.
        const ReplicaKey server = *key;
        this->removeRemote(origin, server);
    }
}

const BackendRecord *BackendRegistry::newestRemote(const ReplicaKey &key) const
{
    const auto list = this->remoteRecords.find(key);
    return list == this->remoteRecords.end() ? nullptr : &newestOf(list->second);
}

const BackendRecord *BackendRegistry::newest(const ReplicaKey &key) const
{
    const BackendRecord *remote = this->newestRemote(key);
    const auto local = this->leases.find(key);
    if (local == this->leases.end()) {
        return remote;
    }
    const bool localIsNewer = remote == nullptr || !isNewer(*remote, local->second.record);
    return localIsNewer ? &local->second.record : remote;
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
