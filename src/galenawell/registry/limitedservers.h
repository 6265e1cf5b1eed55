// The backend servers that limit the requests of all fronts together, as known to one control process from the reports of the
// fronts, and this process's part in dividing the limits. Each of several control processes gives out an equal part of a limit by
// itself, so neither an election nor an agreement is needed.
#pragma once

#include "galenawell/admission/requestallocator.h"
#include "galenawell/consensus/rafttypes.h"
#include "galenawell/routing/requestlimit.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Galenawell {

struct LimitedServersOptions
{
    RequestAllocatorOptions allocator{};
    // Rate at which a server with a lower limit is asked whether the limit still holds.
    double minimumRate = 0.1;
    // Requests that the control processes keep for later needs, all together and each.
    double totalKept = 5;
    double maximumKept = 2;
    // Few control processes divide a low limit, so that the part of each is at least the minimum rate.
    std::size_t maximumGrantors = 5;
    double minimumGrantorRate = 2.0;
    // How long a front may use what it is granted: longer than the interval of its reports, but short, because all that was
    // granted in this time may be used at once. A front that sends rarely has the time of some requests.
    std::chrono::milliseconds minimumLifetime{1000};
    std::chrono::milliseconds maximumLifetime{6000};
    double lifetimeRequests = 2.0;
    // Changes that follow an urgent one within this time wait until the fronts ask again.
    std::chrono::milliseconds urgentInterval{100};
    // A limit that no front mentions is forgotten after this time. Longer than a front keeps it.
    std::chrono::seconds limitRetention{600};
    // An ended limit is remembered for this long, so that an earlier statement doesn't restore it.
    std::chrono::seconds endedRetention{60};
    // Reports of further servers are ignored.
    std::size_t maximumServers = 4096;
};

class LimitedServers
{
public:
    LimitedServers() = default;
    explicit LimitedServers(LimitedServersOptions options);

    // The control processes that divide the limits; without this one it gives out nothing.
    void setGrantors(std::vector<MemberId> grantors, MemberId self, TimePoint now);
    // Records the statement and the need of the front. True if the statement replaces the known one.
    bool report(const InstanceName &front, const LimitReport &report, TimePoint now);
    // Gives the front what it may send to the server. Uses the need that it reported last, once.
    LimitGrant allocate(const InstanceName &front, const ServerRun &server, TimePoint now);

    // Rises with each change of a statement.
    std::uint64_t newestChange() const;
    // The newest change that fronts are to hear of at once. Not each of those in quick succession.
    std::uint64_t newestUrgentChange() const;
    std::vector<LimitStatement> changesAfter(std::uint64_t change) const;
    // Servers with a limit.
    std::size_t count() const;
    // Fronts that need the server.
    std::size_t sharers(const ServerRun &server) const;
    void expire(TimePoint now);

private:
    struct Entry
    {
        RequestLimit limit;
        std::uint64_t change = 0;
        TimePoint mentionedAt;
        // Only with a limit.
        std::optional<RequestAllocator> allocator;
        std::map<InstanceName, RequestDemand> needs;
    };

    void updateAllocator(const ServerRun &server, Entry &entry, TimePoint now) const;
    // Number of control processes that divide the server's limit; 0 if this one isn't among them.
    std::size_t grantorsOf(const ServerRun &server, double rate) const;

    LimitedServersOptions options;
    std::vector<MemberId> grantors;
    MemberId self = 0;
    std::uint64_t changes = 0;
    std::uint64_t urgentChange = 0;
    TimePoint urgentChangeAt;
    std::map<ServerRun, Entry> servers;
};

} // namespace Galenawell
