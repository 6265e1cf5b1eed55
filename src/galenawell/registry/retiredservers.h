// Backend servers that announced their shutdown. Earlier claims of the same incarnation, which may still arrive from a delayed
// announcement, from a process that was down, paused or cut off, or from its recovery file, must not make fronts use them
// again; those of a higher incarnation may.
#pragma once

#include "galenawell/core/clock.h"
#include "galenawell/core/identifiers.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Galenawell {

struct BackendRecord;
enum class BackendState : std::uint8_t;

struct RetiredServer
{
    ReplicaKey key;
    std::string identity;
    Incarnation incarnation = 0;
    // The last state that the server announced: draining or stopped.
    BackendState state{};
    // How much longer the entry is kept. Only shrinks when processes pass it on, so it ends everywhere.
    std::chrono::milliseconds retention{0};
};

struct RetiredServersOptions
{
    // Must exceed the age of the oldest claim that can still arrive. BackendRegistry ends such claims earlier.
    std::chrono::milliseconds retention{std::chrono::minutes(10)};
    std::size_t maximumEntries = 10'000;
};

// The record of the latest run under the identity, since a server may start again elsewhere before its earlier record ends.
std::optional<BackendRecord> latestRunOf(const std::string &identity, const std::vector<BackendRecord> &records);

class RetiredServers
{
public:
    RetiredServers() = default;
    explicit RetiredServers(RetiredServersOptions options);

    // Ignores records that announce no shutdown or have no identity.
    void note(const BackendRecord &record, TimePoint now);
    void add(const RetiredServer &server, TimePoint now);
    // The state that the record's server has announced after it; the record's own state otherwise.
    BackendState latestStateOf(const BackendRecord &record) const;
    // True if the server has announced a later state than the record's.
    bool supersedes(const BackendRecord &record) const;
    std::vector<RetiredServer> all(TimePoint now) const;
    void expire(TimePoint now);

private:
    struct Entry
    {
        Incarnation incarnation = 0;
        BackendState state{};
        TimePoint retainedUntil;
    };

    RetiredServersOptions options;
    // By address and service too, so that an entry of another writer, which names no service in use, retires nobody.
    std::map<std::pair<ReplicaKey, std::string>, Entry> servers;
};

} // namespace Galenawell
