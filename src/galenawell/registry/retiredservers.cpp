#include "galenawell/registry/retiredservers.h"

#include "galenawell/registry/backendregistry.h"

#include <algorithm>
#include <tuple>

namespace Galenawell {

std::optional<BackendRecord> latestRunOf(const std::string &identity, const std::vector<BackendRecord> &records)
{
    const BackendRecord *latest = nullptr;
    for (const BackendRecord &record : records) {
        if (record.identity == identity && (latest == nullptr || record.incarnation > latest->incarnation)) {
            latest = &record;
        }
    }
    return latest == nullptr ? std::nullopt : std::optional(*latest);
}

RetiredServers::RetiredServers(RetiredServersOptions serverOptions)
    : options(serverOptions)
{
}

void RetiredServers::note(const BackendRecord &record, TimePoint now)
{
    if (!record.identity.empty() && record.state >= BackendState::Draining) {
        this->add({.key = record.key,
                   .identity = record.identity,
                   .incarnation = record.incarnation,
                   .state = record.state,
                   .retention = this->options.retention},
                  now);
    }
}

void RetiredServers::add(const RetiredServer &server, TimePoint now)
{
    const Entry added{.incarnation = server.incarnation,
                      .state = server.state,
                      .retainedUntil = now + std::min(server.retention, this->options.retention)};
    const auto [known, isNew] = this->servers.emplace(std::pair(server.key, server.identity), added);
    if (!isNew) {
        Entry &entry = known->second;
        const bool later = std::tie(added.incarnation, added.state) > std::tie(entry.incarnation, entry.state);
        const TimePoint retainedUntil = std::max(entry.retainedUntil, added.retainedUntil);
        entry = later ? added : entry;
        entry.retainedUntil = retainedUntil;
    } else if (this->servers.size() > this->options.maximumEntries) {
        this->servers.erase(
            std::ranges::min_element(this->servers, {}, [](const auto &candidate) { return candidate.second.retainedUntil; }));
    }
}

BackendState RetiredServers::latestStateOf(const BackendRecord &record) const
{
    const auto known = this->servers.find(std::pair(record.key, record.identity));
    if (known == this->servers.end() || known->second.incarnation < record.incarnation) {
        return record.state;
    }
    // An earlier incarnation than the retired one ended before that began.
    return known->second.incarnation > record.incarnation ? BackendState::Stopped : std::max(record.state, known->second.state);
}

bool RetiredServers::supersedes(const BackendRecord &record) const
{
    return this->latestStateOf(record) != record.state;
}

std::vector<RetiredServer> RetiredServers::all(TimePoint now) const
{
    std::vector<RetiredServer> retired;
    for (const auto &[server, entry] : this->servers) {
        if (now < entry.retainedUntil) {
            retired.push_back({.key = server.first,
                               .identity = server.second,
                               .incarnation = entry.incarnation,
                               .state = entry.state,
                               .retention = toMilliseconds(entry.retainedUntil - now)});
        }
    }
    return retired;
}

void RetiredServers::expire(TimePoint now)
{
    std::erase_if(this->servers, [now](const auto &entry) { return now >= entry.second.retainedUntil; });
}

} // namespace Galenawell
