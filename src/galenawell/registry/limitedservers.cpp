#include "galenawell/registry/limitedservers.h"

#include <algorithm>
#include <string>
#include <utility>
#include <xxhash.h>

namespace Galenawell {

LimitedServers::LimitedServers(LimitedServersOptions serverOptions)
    : options(serverOptions)
{
}

void LimitedServers::setGrantors(std::vector<MemberId> members, MemberId member, TimePoint now)
{
    std::ranges::sort(members);
    if (members == this->grantors && member == this->self) {
        return;
    }
    this->grantors = std::move(members);
    this->self = member;
    for (auto &[server, entry] : this->servers) {
        this->updateAllocator(server, entry, now);
    }
}

std::size_t LimitedServers::grantorsOf(const ServerRun &server, double rate) const
{
    const auto wanted = static_cast<std::size_t>(std::max(1.0, rate / this->options.minimumGrantorRate));
    const std::size_t count = std::min({wanted, this->options.maximumGrantors, this->grantors.size()});
    std::vector<std::pair<std::uint64_t, MemberId>> ranked;
    ranked.reserve(this->grantors.size());
    for (const MemberId member : this->grantors) {
        const std::string pair = server.address + " " + std::to_string(member);
        ranked.emplace_back(XXH3_64bits(pair.data(), pair.size()), member);
    }
    std::ranges::sort(ranked);
    ranked.resize(count);
    return std::ranges::find(ranked, this->self, &std::pair<std::uint64_t, MemberId>::second) == ranked.end() ? 0 : count;
}

void LimitedServers::updateAllocator(const ServerRun &server, Entry &entry, TimePoint now) const
{
    if (!entry.limit.rate) {
        entry.allocator.reset();
        entry.needs.clear();
        return;
    }
    if (!entry.allocator) {
        entry.allocator.emplace(this->options.allocator, now);
    }
    const double rate = std::max(entry.limit.rate->perSecond(), this->options.minimumRate);
    const std::size_t grantorCount = this->grantorsOf(server, rate);
    const double kept
        = std::min(this->options.maximumKept, this->options.totalKept / static_cast<double>(std::max<std::size_t>(grantorCount, 1)));
    entry.allocator->setLimit({.perSecond = rate, .grantors = grantorCount, .keptRequests = kept}, now);
}

bool LimitedServers::report(const InstanceName &front, const LimitReport &report, TimePoint now)
{
    const LimitStatement &statement = report.statement;
    if (!this->servers.contains(statement.server) && (statement.limit.order == 0 || this->servers.size() >= this->options.maximumServers)) {
        return false;
    }
    Entry &entry = this->servers[statement.server];
    entry.mentionedAt = now;
    const bool isNew = statement.limit.supersedes(entry.limit);
    if (isNew) {
        const bool isLarge = isLargeChange(entry.limit.rate, statement.limit.rate);
        entry.limit = statement.limit;
        entry.change = ++this->changes;
        this->updateAllocator(statement.server, entry, now);
        if (isLarge && now - this->urgentChangeAt >= this->options.urgentInterval) {
            this->urgentChange = entry.change;
            this->urgentChangeAt = now;
        }
    }
    if (entry.allocator) {
        entry.needs[front] = report.demand;
    }
    return isNew;
}

LimitGrant LimitedServers::allocate(const InstanceName &front, const ServerRun &server, TimePoint now)
{
    LimitGrant grant{.server = server};
    const auto found = this->servers.find(server);
    if (found == this->servers.end() || !found->second.allocator) {
        return grant;
    }
    if (const auto need = found->second.needs.extract(front); !need.empty()) {
        grant.requests = found->second.allocator->allocate(front, need.mapped(), now);
    }
    const double rate = std::max(found->second.limit.rate->perSecond(), this->options.minimumRate);
    const std::chrono::duration<double> additional(this->options.lifetimeRequests / rate);
    const auto lifetime = this->options.minimumLifetime + std::chrono::duration_cast<std::chrono::milliseconds>(additional);
    grant.lifetime = std::min(lifetime, this->options.maximumLifetime);
    return grant;
}

std::uint64_t LimitedServers::newestChange() const
{
    return this->changes;
}

std::uint64_t LimitedServers::newestUrgentChange() const
{
    return this->urgentChange;
}

std::vector<LimitStatement> LimitedServers::changesAfter(std::uint64_t change) const
{
    std::vector<LimitStatement> statements;
    for (const auto &[server, entry] : this->servers) {
        if (entry.change > change) {
            statements.push_back({.server = server, .limit = entry.limit});
        }
    }
    return statements;
}

std::size_t LimitedServers::count() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(this->servers, [](const auto &item) { return item.second.limit.rate.has_value(); }));
}

std::size_t LimitedServers::sharers(const ServerRun &server) const
{
    const auto found = this->servers.find(server);
    return found == this->servers.end() || !found->second.allocator ? 0 : found->second.allocator->sharers();
}

void LimitedServers::expire(TimePoint now)
{
    std::erase_if(this->servers, [this, now](const auto &item) {
        const std::chrono::seconds retention = item.second.limit.rate ? this->options.limitRetention : this->options.endedRetention;
        return now - item.second.mentionedAt > retention;
    });
}

} // namespace Galenawell
