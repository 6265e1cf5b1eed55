#include "galenawell/registry/slowservers.h"

#include <algorithm>

namespace Galenawell {

SlowServers::SlowServers(SlowServersOptions slowOptions)
    : options(slowOptions)
{
}

void SlowServers::report(const std::string &address, const InstanceName &front, TimePoint now)
{
    Server &server = this->servers[address];
    const std::int64_t current = now.time_since_epoch() / this->options.span;
    Span &span = server.spans.at(static_cast<std::size_t>(current) % spanCount);
    if (span.number != current) {
        span = Span{.number = current, .reports = 0};
    }
    ++span.reports;
    server.fronts[front] = current;
    server.reportedAt = now;
    if (now >= server.slowUntil && this->isSlow(server, current)) {
        this->mark(server, now);
    }
}

bool SlowServers::isSlow(const Server &server, std::int64_t current) const
{
    const std::int64_t oldest = current - static_cast<std::int64_t>(spanCount) + 1;
    std::size_t spans = 0;
    std::size_t reports = 0;
    for (const Span &span : server.spans) {
        if (span.number >= oldest && span.reports > 0) {
            ++spans;
            reports += span.reports;
        }
    }
    const auto fronts = std::ranges::count_if(server.fronts, [oldest](const auto &entry) { return entry.second >= oldest; });
    return spans >= this->options.spansNeeded && reports >= this->options.reportsNeeded
        && static_cast<std::size_t>(fronts) >= this->options.frontsNeeded;
}

void SlowServers::mark(Server &server, TimePoint now) const
{
    // Between two marks the server gets work again, which shows within about as many spans as are needed.
    const bool again = now - server.slowUntil < 2 * static_cast<std::int64_t>(spanCount) * this->options.span;
    server.mark = again ? std::min(2 * server.mark, this->options.longestMark) : this->options.firstMark;
    server.slowUntil = now + server.mark;
}

std::int64_t SlowServers::version() const
{
    return this->listVersion;
}

const std::vector<std::string> &SlowServers::list(TimePoint now)
{
    std::vector<std::string> slow;
    const std::chrono::milliseconds kept = 2 * this->options.longestMark;
    for (auto known = this->servers.begin(); known != this->servers.end();) {
        if (now < known->second.slowUntil) {
            slow.push_back(known->first);
        }
        known = now - known->second.reportedAt > kept ? this->servers.erase(known) : std::next(known);
    }
    if (slow != this->listed) {
        this->listed = std::move(slow);
        ++this->listVersion;
    }
    return this->listed;
}

} // namespace Galenawell
