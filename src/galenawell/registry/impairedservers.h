// Finds backend servers that stay slow, or that fail much of their work, from what fronts report. A single front of many
// sends too little to one server to tell lasting trouble from a moment's; all fronts together see it at once.
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

// What went wrong with a subrequest.
enum class Impairment : std::uint8_t {
    // It took far longer than usual.
    Slow,
    Failing,
};

// What it takes to count as impaired, within the last spans.
struct ImpairmentLimits
{
    std::size_t windowSpans = 1;
    // Spans with such subrequests.
    std::size_t spansNeeded = 1;
    std::size_t subrequestsNeeded = 1;
    std::size_t frontsNeeded = 1;
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
    // Reports are counted by spans of this length. Longer than a pause of a sound server.
    std::chrono::milliseconds span{300};
    // A pause touches two spans.
    ImpairmentLimits slow{.windowSpans = 5, .spansNeeded = 3, .subrequestsNeeded = 5, .frontsNeeded = 2};
    // Failures come without a pause, so one span says enough.
    ImpairmentLimits failing{.windowSpans = 2, .spansNeeded = 1, .subrequestsNeeded = 5, .frontsNeeded = 2};
    // At least this share of the subrequests that a server of a set of groups gets while each data centre's fronts use
    // their own server. A pause of a sixth of the longest window stays below.
    double shareNeeded = 0.25;
    // How long a server counts as impaired; twice as long each time that it is found so again soon after.
    std::chrono::milliseconds firstMark{2500};
    std::chrono::milliseconds longestMark{8000};
};

class ImpairedServers
{
public:
    explicit ImpairedServers(ImpairedServersOptions options);

    // Requests to sets of groups that fronts of a data centre had since they last told.
    void recordScatters(const std::string &dataCentre, std::size_t scatters, TimePoint now);
    void report(const ServerReport &report, TimePoint now);
    // Addresses that count as impaired. The version changes with the list.
    const std::vector<std::string> &list(TimePoint now);
    std::int64_t version() const;

private:
    static constexpr std::size_t spanCount = 5;
    static constexpr std::size_t impairmentCount = 2;

    struct Span
    {
        std::int64_t number = -1;
        std::size_t count = 0;
    };

    // By number modulo the count.
    using Spans = std::array<Span, spanCount>;

    struct Reports
    {
        Spans spans{};
        // Fronts that reported the server, and in which span last.
        std::map<InstanceName, std::int64_t> fronts;
    };

    struct Server
    {
        std::array<Reports, impairmentCount> reports{};
        TimePoint impairedUntil;
        std::chrono::milliseconds mark{0};
        TimePoint reportedAt;
    };

    struct Sum
    {
        std::size_t count = 0;
        // Spans with a count.
        std::size_t spans = 0;
    };

    std::int64_t spanAt(TimePoint now) const;
    static void add(Spans &spans, std::int64_t current, std::size_t count);
    static Sum sumSince(const Spans &spans, std::int64_t oldest);
    const ImpairmentLimits &limitsOf(Impairment impairment) const;
    // Subrequests that each server of a group had since the span, if no server is avoided.
    double expectedSince(std::int64_t oldest) const;
    bool reach(const Reports &reports, const ImpairmentLimits &limits, std::int64_t current) const;
    void mark(Server &server, TimePoint now) const;

    ImpairedServersOptions options;
    std::map<std::string, Server> servers;
    // By data centre.
    std::map<std::string, Spans> scatters;
    std::vector<std::string> listed;
    std::int64_t listVersion = 1;
};

} // namespace Galenawell
