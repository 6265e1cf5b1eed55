#include "galenawell/routing/requestallowance.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Galenawell {

namespace {

// Weighs the recent requests; short, so that the parts of the fronts follow a shift of the load within a second.
constexpr std::chrono::milliseconds demandDecay{1000};
// More urgent requests of this time are left their part of the grants.
constexpr std::chrono::milliseconds reserveTime{250};
constexpr std::chrono::milliseconds shortestWait{100};
constexpr std::chrono::milliseconds longestWait{1000};

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

RequestAllowance::RequestAllowance()
    : wants{EventRate(demandDecay), EventRate(demandDecay), EventRate(demandDecay)}
    , granted(demandDecay)
{
}

bool RequestAllowance::onReply(std::optional<RequestRate> rate, TimePoint sentAt, TimePoint now)
{
    const bool isLater = sentAt > this->learnedAt;
    const RequestLimit stated{.rate = rate, .order = this->current.order + (isLater ? 1 : 0)};
    if (rate == this->current.rate || !stated.supersedes(this->current)) {
        return false;
    }
    this->replaceLimit(stated, now);
    return true;
}

bool RequestAllowance::learn(const RequestLimit &limit, TimePoint now)
{
    if (!limit.supersedes(this->current)) {
        return false;
    }
    const bool changed = limit.rate != this->current.rate;
    this->replaceLimit(limit, now);
    return changed;
}

void RequestAllowance::replaceLimit(const RequestLimit &limit, TimePoint now)
{
    if (!this->current.rate) {
        this->sends = 0;
    }
    const bool isLower = limit.rate && this->current.rate && *limit.rate < *this->current.rate;
    if (!limit.rate || isLower) {
        this->grants.clear();
        this->unused.clear();
        this->ungranted = 0;
        this->ungrantedAt = now;
    }
    this->current = limit;
    this->learnedAt = now;
}

bool RequestAllowance::noteInvalidLimit()
{
    return !std::exchange(this->hadInvalidLimit, true);
}

const RequestLimit &RequestAllowance::limit() const
{
    return this->current;
}

bool RequestAllowance::limited() const
{
    return this->current.rate.has_value();
}

void RequestAllowance::dropExpired(TimePoint now)
{
    std::erase_if(this->grants, [this, now](const Grant &grant) {
        if (grant.requests > 0 && grant.end <= now) {
            this->unused[grant.control] += grant.requests;
        }
        return grant.requests == 0 || grant.end <= now;
    });
}

unsigned RequestAllowance::takeUnused(const InstanceName &control, TimePoint now)
{
    this->dropExpired(now);
    const auto ended = this->unused.extract(control);
    return ended.empty() ? 0 : ended.mapped();
}

void RequestAllowance::grant(unsigned requests, const InstanceName &control, TimePoint end, TimePoint now)
{
    if (!this->limited() || requests == 0) {
        return;
    }
    this->dropExpired(now);
    const auto after = std::ranges::upper_bound(this->grants, end, std::less<>(), &Grant::end);
    this->grants.insert(after, Grant{.requests = requests, .end = end, .control = control});
    this->granted.record(now, requests);
}

void RequestAllowance::setUngrantedRate(double requestsPerSecond, TimePoint now)
{
    this->ungranted = requestsPerSecond > 0 ? this->ungrantedRequestsAt(now) : 0;
    this->ungrantedAt = now;
    this->ungrantedRate = requestsPerSecond;
}

double RequestAllowance::ungrantedRequestsAt(TimePoint now) const
{
    return std::min(1.0, this->ungranted + this->ungrantedRate * seconds(now - this->ungrantedAt));
}

unsigned RequestAllowance::left(TimePoint now) const
{
    unsigned requests = 0;
    for (const Grant &grant : this->grants) {
        requests += grant.end > now ? grant.requests : 0;
    }
    return requests;
}

double RequestAllowance::reserveFor(const AllowanceUse &use, TimePoint now) const
{
    double rate = 0;
    for (std::size_t priority = 0; priority < priorityCount; ++priority) {
        const bool isMoreUrgent = use.isExtra || priority < static_cast<std::size_t>(use.priority);
        rate += isMoreUrgent ? this->wants.at(priority).perSecond(now) : 0;
    }
    return std::floor(rate * seconds(reserveTime));
}

bool RequestAllowance::hasRoom(const AllowanceUse &use, TimePoint now) const
{
    return !this->limited() || this->left(now) + this->ungrantedRequestsAt(now) >= 1 + this->reserveFor(use, now);
}

bool RequestAllowance::take(const AllowanceUse &use, TimePoint now)
{
    if (!this->hasRoom(use, now)) {
        return false;
    }
    ++this->sends;
    if (!this->limited()) {
        return true;
    }
    this->dropExpired(now);
    if (this->grants.empty()) {
        this->ungranted = this->ungrantedRequestsAt(now) - 1;
        this->ungrantedAt = now;
        this->taken.reset();
        return true;
    }
    Grant &first = this->grants.front();
    --first.requests;
    this->taken = Grant{.requests = 1, .end = first.end, .control = first.control};
    return true;
}

void RequestAllowance::giveBack()
{
    --this->sends;
    if (!this->limited()) {
        return;
    }
    if (this->taken) {
        this->grants.insert(this->grants.begin(), *this->taken);
    } else {
        this->ungranted += 1;
    }
}

void RequestAllowance::noteWanted(Priority priority, TimePoint now)
{
    this->wants.at(static_cast<std::size_t>(priority)).record(now);
}

void RequestAllowance::noteTurnedAway()
{
    ++this->turnedAway;
}

double RequestAllowance::demand(TimePoint now) const
{
    double rate = 0;
    for (const EventRate &priority : this->wants) {
        rate += priority.perSecond(now);
    }
    return rate;
}

std::chrono::milliseconds RequestAllowance::expectedWait(TimePoint now) const
{
    const double rate = this->granted.perSecond(now);
    const double wait = rate > 0 ? 1000 / rate : static_cast<double>(longestWait.count());
    return std::chrono::milliseconds(
        static_cast<std::int64_t>(std::clamp(wait, static_cast<double>(shortestWait.count()), static_cast<double>(longestWait.count()))));
}

std::uint64_t RequestAllowance::takeSends()
{
    return std::exchange(this->sends, 0);
}

std::uint64_t RequestAllowance::takeTurnedAway()
{
    return std::exchange(this->turnedAway, 0);
}

} // namespace Galenawell
