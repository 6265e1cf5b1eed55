// The request limits of the backend servers that one front knows, by the run of the server, and the exchange of limits and
// grants with the control processes. They outlive routing tables and gaps in the registry. Not thread-safe.
#pragma once

#include "galenawell/routing/requestallowance.h"
#include "galenawell/routing/requestlimit.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace Galenawell {

struct ServerLimitsOptions
{
    // A server that no routing table and no request uses is forgotten after this time.
    std::chrono::seconds retention{120};
    // Part of a limit that all fronts together use while they have no contact with any control process.
    double shareWithoutControl = 0.25;
    // A front uses no limited server of which its part is less than one request in this time.
    std::chrono::seconds longestIntervalWithoutControl{4};
};

struct LimitedServerUse
{
    ServerRun server;
    RequestRate rate;
    double demand = 0;
    unsigned left = 0;
    // Since the last call of takeUse().
    std::uint64_t sends = 0;
    std::uint64_t turnedAway = 0;
};

class ServerLimits
{
public:
    ServerLimits() = default;
    explicit ServerLimits(ServerLimitsOptions options);

    // Of a server that is in use from now on.
    std::shared_ptr<RequestAllowance> allowanceOf(const ServerRun &server, TimePoint now);
    // Records what a reply to a request sent at `sentAt` stated. True if the limit changes.
    bool onReply(const ServerRun &server, std::optional<RequestRate> rate, TimePoint sentAt, TimePoint now);
    // Records what a control process passed on. True if the limit changes.
    bool learn(const LimitStatement &statement, TimePoint now);
    void grant(const LimitGrant &grant, const InstanceName &control, TimePoint end, TimePoint now);
    // Without contact, this front uses its part of each limit without grants.
    void setContact(bool inContact, std::size_t fronts, TimePoint now);

    // Rises with each change of a statement.
    std::uint64_t newestChange() const;
    // What the control process is to be told that has the statements up to a change: newer ones, and the need of each limited
    // server.
    std::vector<LimitReport> reportFor(const InstanceName &control, std::uint64_t knownChange, TimePoint now);
    // The limited servers.
    std::vector<LimitedServerUse> takeUse(TimePoint now);
    void expire(TimePoint now);

private:
    struct Entry
    {
        std::shared_ptr<RequestAllowance> allowance;
        TimePoint usedAt;
        // 0 before the first statement.
        std::uint64_t change = 0;
    };

    void noteChange(const ServerRun &server, Entry &entry);
    void updateUngrantedRate(RequestAllowance &allowance, TimePoint now) const;

    ServerLimitsOptions options;
    std::map<ServerRun, Entry> servers;
    // Servers with a statement, so that the others needn't be visited.
    std::set<ServerRun> stated;
    std::uint64_t changes = 0;
    // Fronts that divide what is used without control processes; absent while there is contact.
    std::optional<std::size_t> frontsWithoutControl;
};

} // namespace Galenawell
