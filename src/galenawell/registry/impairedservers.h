// Detects backend servers that stay slow, or that fail many subrequests, from the reports of all fronts. A single front sends
// one server too few subrequests to distinguish a lasting impairment from a pause.
#pragma once

#include "galenawell/core/clock.h"
#include "galenawell/core/identifiers.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Galenawell {

enum class Impairment : std::uint8_t {
    // The subrequest took far longer than usual.
    Slow,
    Failing,
};

// Thresholds over a sliding window at which a server counts as impaired.
struct ImpairmentThresholds
{
    std::size_t windowBuckets = 1;
    // Buckets with at least one report.
    std::size_t minimumBuckets = 1;
    std::size_t minimumSubrequests = 1;
    std::size_t minimumFronts = 1;
};

struct ServerReport
{
    std::string address;
    Impairment impairment = Impairment::Slow;
    InstanceName front;
    std::size_t subrequests = 1;
};

struct ImpairedServersOptions
{
    // Longer than a pause of a healthy server.
    std::chrono::milliseconds bucketLength{300};
    // A pause falls into two buckets.
    ImpairmentThresholds slow{.windowBuckets = 5, .minimumBuckets = 3, .minimumSubrequests = 5, .minimumFronts = 2};
    // A pause causes no failures, so one bucket suffices.
    ImpairmentThresholds failing{.windowBuckets = 2, .minimumBuckets = 1, .minimumSubrequests = 5, .minimumFronts = 2};
    // Share of the subrequests that a server is expected to get when the fronts of each data centre use the replica in their
    // own. A pause of a sixth of the longest window stays below.
    double minimumShare = 0.25;
    // How long a server counts as impaired; doubles each time that it is detected again soon after.
    std::chrono::milliseconds baseImpairedTime{2500};
    std::chrono::milliseconds maximumImpairedTime{8000};
};

class ImpairedServers
{
public:
    explicit ImpairedServers(ImpairedServersOptions options);

    // Counts scatter requests that fronts of a data centre received since their last report.
    void recordScatters(const std::string &dataCentre, std::size_t scatters, TimePoint now);
    void report(const ServerReport &report, TimePoint now);
    // Addresses of impaired servers. The version changes with the list.
    const std::vector<std::string> &list(TimePoint now);
    std::int64_t version() const;

private:
    static constexpr std::size_t bucketCount = 5;
    static constexpr std::size_t impairmentCount = 2;

    struct Bucket
    {
        std::int64_t number = -1;
        std::size_t count = 0;
    };

    // Indexed by bucket number modulo `bucketCount`.
    using Buckets = std::array<Bucket, bucketCount>;

    struct Reports
    {
        Buckets buckets{};
        // Last bucket in which each front reported the server.
        std::map<InstanceName, std::int64_t> fronts;
    };

    struct Server
    {
        std::array<Reports, impairmentCount> reports{};
        TimePoint impairedUntil;
        std::chrono::milliseconds impairedTime{0};
        TimePoint reportedAt;
    };

    struct Sum
    {
        std::size_t count = 0;
        // Buckets with a count above 0.
        std::size_t buckets = 0;
    };

    std::int64_t bucketAt(TimePoint now) const;
    static void add(Buckets &buckets, std::int64_t current, std::size_t count);
    static Sum sumSince(const Buckets &buckets, std::int64_t oldest);
    const ImpairmentThresholds &thresholdsOf(Impairment impairment) const;
    // Subrequests that each server of a group is expected to have got since the bucket, if no server is avoided.
    double expectedSince(std::int64_t oldest) const;
    bool meets(const Reports &reports, const ImpairmentThresholds &thresholds, std::int64_t current) const;
    void markImpaired(Server &server, TimePoint now) const;

    ImpairedServersOptions options;
    std::map<std::string, Server> servers;
    // By data centre.
    std::map<std::string, Buckets> scatters;
    std::vector<std::string> listed;
    std::int64_t listVersion = 1;
};

} // namespace Galenawell
