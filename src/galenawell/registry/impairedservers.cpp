#include "galenawell/registry/impairedservers.h"

#include <algorithm>

namespace Galenawell {

ImpairedServers::ImpairedServers(ImpairedServersOptions serverOptions)
    : options(serverOptions)
{
}

const ImpairmentLimits &ImpairedServers::limitsOf(Impairment impairment) const
{
    return impairment == Impairment::Slow ? this->options.slow : this->options.failing;
}

std::int64_t ImpairedServers::spanAt(TimePoint now) const
{
    return now.time_since_epoch() / this->options.span;
}

void ImpairedServers::add(Spans &spans, std::int64_t current, std::size_t count)
{
    Span &span = spans.at(static_cast<std::size_t>(current) % spanCount);
    if (span.number != current) {
        span = Span{.number = current, .count = 0};
    }
    span.count += count;
}

ImpairedServers::Sum ImpairedServers::sumSince(const Spans &spans, std::int64_t oldest)
{
    Sum sum;
    for (const Span &span : spans) {
        if (span.number >= oldest && span.count > 0) {
            sum.count += span.count;
            ++sum.spans;
        }
    }
    return sum;
}

void ImpairedServers::recordScatters(const std::string &dataCentre, std::size_t count, TimePoint now)
{
    add(this->scatters[dataCentre], this->spanAt(now), count);
}

double ImpairedServers::expectedSince(std::int64_t oldest) const
{
    std::size_t total = 0;
    for (const auto &[dataCentre, spans] : this->scatters) {
        total += sumSince(spans, oldest).count;
    }
    return static_cast<double>(total) / static_cast<double>(std::max<std::size_t>(this->scatters.size(), 1));
}

void ImpairedServers::report(const ServerReport &report, TimePoint now)
{
    Server &server = this->servers[report.address];
    Reports &reports = server.reports.at(static_cast<std::size_t>(report.impairment));
    const std::int64_t current = this->spanAt(now);
    add(reports.spans, current, report.subrequests);
    reports.fronts[report.front] = current;
    server.reportedAt = now;
    if (now >= server.impairedUntil && this->reach(reports, this->limitsOf(report.impairment), current)) {
        this->mark(server, now);
    }
}

bool ImpairedServers::reach(const Reports &reports, const ImpairmentLimits &limits, std::int64_t current) const
{
    const std::int64_t oldest = current - static_cast<std::int64_t>(limits.windowSpans) + 1;
    const Sum sum = sumSince(reports.spans, oldest);
    const auto reporting = std::ranges::count_if(reports.fronts, [oldest](const auto &entry) { return entry.second >= oldest; });
    return sum.spans >= limits.spansNeeded && sum.count >= limits.subrequestsNeeded
        && static_cast<std::size_t>(reporting) >= limits.frontsNeeded
        && static_cast<double>(sum.count) >= this->options.shareNeeded * this->expectedSince(oldest);
}

void ImpairedServers::mark(Server &server, TimePoint now) const
{
    // Between two marks the server gets work again, which shows within about as many spans as are needed.
    const bool again = now - server.impairedUntil < 2 * static_cast<std::int64_t>(spanCount) * this->options.span;
    server.mark = again ? std::min(2 * server.mark, this->options.longestMark) : this->options.firstMark;
    server.impairedUntil = now + server.mark;
}

std::int64_t ImpairedServers::version() const
{
    return this->listVersion;
}

const std::vector<std::string> &ImpairedServers::list(TimePoint now)
{
    std::vector<std::string> impaired;
    const std::chrono::milliseconds kept = 2 * this->options.longestMark;
    for (auto known = this->servers.begin(); known != this->servers.end();) {
        if (now < known->second.impairedUntil) {
            impaired.push_back(known->first);
        }
        known = now - known->second.reportedAt > kept ? this->servers.erase(known) : std::next(known);
    }
    if (impaired != this->listed) {
        this->listed = std::move(impaired);
        ++this->listVersion;
    }
    return this->listed;
}

} // namespace Galenawell
