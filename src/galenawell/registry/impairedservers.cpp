#include "galenawell/registry/impairedservers.h"

#include <algorithm>

namespace Galenawell {

ImpairedServers::ImpairedServers(ImpairedServersOptions serverOptions)
    : options(serverOptions)
{
}

const ImpairmentThresholds &ImpairedServers::thresholdsOf(Impairment impairment) const
{
    return impairment == Impairment::Slow ? this->options.slow : this->options.failing;
}

std::int64_t ImpairedServers::bucketAt(TimePoint now) const
{
    return now.time_since_epoch() / this->options.bucketLength;
}

void ImpairedServers::add(Buckets &buckets, std::int64_t current, std::size_t count)
{
    Bucket &bucket = buckets.at(static_cast<std::size_t>(current) % bucketCount);
    if (bucket.number != current) {
        bucket = Bucket{.number = current, .count = 0};
    }
    bucket.count += count;
}

ImpairedServers::Sum ImpairedServers::sumSince(const Buckets &buckets, std::int64_t oldest)
{
    Sum sum;
    for (const Bucket &bucket : buckets) {
        if (bucket.number >= oldest && bucket.count > 0) {
            sum.count += bucket.count;
            ++sum.buckets;
        }
    }
    return sum;
}

void ImpairedServers::recordScatters(const std::string &dataCentre, std::size_t count, TimePoint now)
{
    add(this->scatters[dataCentre], this->bucketAt(now), count);
}

double ImpairedServers::expectedSince(std::int64_t oldest) const
{
    std::size_t total = 0;
    for (const auto &[dataCentre, buckets] : this->scatters) {
        total += sumSince(buckets, oldest).count;
    }
    return static_cast<double>(total) / static_cast<double>(std::max<std::size_t>(this->scatters.size(), 1));
}

void ImpairedServers::report(const ServerReport &report, TimePoint now)
{
    Server &server = this->servers[report.address];
    Reports &reports = server.reports.at(static_cast<std::size_t>(report.impairment));
    const std::int64_t current = this->bucketAt(now);
    add(reports.buckets, current, report.subrequests);
    reports.fronts[report.front] = current;
    server.reportedAt = now;
    if (now >= server.impairedUntil && this->meets(reports, this->thresholdsOf(report.impairment), current)) {
        this->markImpaired(server, now);
    }
}

bool ImpairedServers::meets(const Reports &reports, const ImpairmentThresholds &thresholds, std::int64_t current) const
{
    const std::int64_t oldest = current - static_cast<std::int64_t>(thresholds.windowBuckets) + 1;
    const Sum sum = sumSince(reports.buckets, oldest);
    const auto reportingFronts = std::ranges::count_if(reports.fronts, [oldest](const auto &entry) { return entry.second >= oldest; });
    return sum.buckets >= thresholds.minimumBuckets && sum.count >= thresholds.minimumSubrequests
        && static_cast<std::size_t>(reportingFronts) >= thresholds.minimumFronts
        && static_cast<double>(sum.count) >= this->options.minimumShare * this->expectedSince(oldest);
}

void ImpairedServers::markImpaired(Server &server, TimePoint now) const
{
    // Once unlisted, the server gets work again; if still impaired, it is detected after about `minimumBuckets`.
    const bool again = now - server.impairedUntil < 2 * static_cast<std::int64_t>(bucketCount) * this->options.bucketLength;
    server.impairedTime = again ? std::min(2 * server.impairedTime, this->options.maximumImpairedTime) : this->options.baseImpairedTime;
    server.impairedUntil = now + server.impairedTime;
}

std::int64_t ImpairedServers::version() const
{
    return this->listVersion;
}

const std::vector<std::string> &ImpairedServers::list(TimePoint now)
{
    std::vector<std::string> impaired;
    const std::chrono::milliseconds retention = 2 * this->options.maximumImpairedTime;
    for (auto known = this->servers.begin(); known != this->servers.end();) {
        if (now < known->second.impairedUntil) {
            impaired.push_back(known->first);
        }
        known = now - known->second.reportedAt > retention ? this->servers.erase(known) : std::next(known);
    }
    if (impaired != this->listed) {
        this->listed = std::move(impaired);
        ++this->listVersion;
    }
    return this->listed;
}

} // namespace Galenawell
