#include "galenawell/routing/serverlimits.h"

#include <algorithm>

namespace Galenawell {

ServerLimits::ServerLimits(ServerLimitsOptions limitOptions)
    : options(limitOptions)
{
}

std::shared_ptr<RequestAllowance> ServerLimits::allowanceOf(const ServerRun &server, TimePoint now)
{
    Entry &entry = this->servers[server];
    if (entry.allowance == nullptr) {
        entry.allowance = std::make_shared<RequestAllowance>();
    }
    entry.usedAt = now;
    return entry.allowance;
}

void ServerLimits::noteChange(const ServerRun &server, Entry &entry)
{
    entry.change = ++this->changes;
    this->stated.insert(server);
}

bool ServerLimits::onReply(const ServerRun &server, std::optional<RequestRate> rate, TimePoint sentAt, TimePoint now)
{
    const auto found = this->servers.find(server);
    if (found == this->servers.end() || !found->second.allowance->onReply(rate, sentAt, now)) {
        return false;
    }
    this->noteChange(server, found->second);
    this->updateUngrantedRate(*found->second.allowance, now);
    return true;
}

bool ServerLimits::learn(const LimitStatement &statement, TimePoint now)
{
    const std::shared_ptr<RequestAllowance> allowance = this->allowanceOf(statement.server, now);
    const std::uint64_t order = allowance->limit().order;
    const bool changed = allowance->learn(statement.limit, now);
    if (changed || allowance->limit().order != order) {
        this->noteChange(statement.server, this->servers[statement.server]);
        this->updateUngrantedRate(*allowance, now);
    }
    return changed;
}

void ServerLimits::grant(const LimitGrant &grant, const InstanceName &control, TimePoint end, TimePoint now)
{
    const auto found = this->servers.find(grant.server);
    if (found != this->servers.end()) {
        found->second.allowance->grant(grant.requests, control, end, now);
    }
}

void ServerLimits::setContact(bool inContact, std::size_t fronts, TimePoint now)
{
    const std::optional<std::size_t> before = this->frontsWithoutControl;
    this->frontsWithoutControl = inContact ? std::nullopt : std::optional(std::max<std::size_t>(fronts, 1));
    if (this->frontsWithoutControl == before) {
        return;
    }
    for (const ServerRun &server : this->stated) {
        this->updateUngrantedRate(*this->servers.at(server).allowance, now);
    }
}

void ServerLimits::updateUngrantedRate(RequestAllowance &allowance, TimePoint now) const
{
    double rate = 0;
    if (this->frontsWithoutControl && allowance.limited()) {
        const double part
            = this->options.shareWithoutControl * allowance.limit().rate->perSecond() / static_cast<double>(*this->frontsWithoutControl);
        const std::chrono::duration<double> interval = this->options.longestIntervalWithoutControl;
        rate = part * interval.count() >= 1 ? part : 0;
    }
    allowance.setUngrantedRate(rate, now);
}

std::uint64_t ServerLimits::newestChange() const
{
    return this->changes;
}

std::vector<LimitReport> ServerLimits::reportFor(const InstanceName &control, std::uint64_t knownChange, TimePoint now)
{
    constexpr double negligibleDemand = 0.01;
    std::vector<LimitReport> reports;
    for (const ServerRun &server : this->stated) {
        const Entry &entry = this->servers.at(server);
        RequestAllowance &allowance = *entry.allowance;
        const RequestDemand demand{
            .perSecond = allowance.demand(now), .left = allowance.left(now), .unused = allowance.takeUnused(control, now)};
        const bool isNeeded = allowance.limited() && (demand.perSecond > negligibleDemand || demand.unused > 0);
        if (entry.change > knownChange || isNeeded) {
            reports.push_back({.statement = {.server = server, .limit = allowance.limit()}, .demand = demand});
        }
    }
    return reports;
}

std::vector<LimitedServerUse> ServerLimits::takeUse(TimePoint now)
{
    std::vector<LimitedServerUse> uses;
    for (const ServerRun &server : this->stated) {
        RequestAllowance &allowance = *this->servers.at(server).allowance;
        const std::uint64_t sends = allowance.takeSends();
        const std::uint64_t turnedAway = allowance.takeTurnedAway();
        if (allowance.limited()) {
            uses.push_back({.server = server,
                            .rate = *allowance.limit().rate,
                            .demand = allowance.demand(now),
                            .left = allowance.left(now),
                            .sends = sends,
                            .turnedAway = turnedAway});
        }
    }
    return uses;
}

void ServerLimits::expire(TimePoint now)
{
    for (auto entry = this->servers.begin(); entry != this->servers.end();) {
        if (entry->second.allowance.use_count() > 1) {
            entry->second.usedAt = now;
        }
        if (now - entry->second.usedAt > this->options.retention) {
            this->stated.erase(entry->first);
            entry = this->servers.erase(entry);
        } else {
            ++entry;
        }
    }
}

} // namespace Galenawell
