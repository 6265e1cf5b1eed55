// Finds backend servers that stay slow, from subrequests that took far longer than usual, as fronts report them. A single front sends too
// little to one server to tell one that is slow from one that stood still for a moment; all fronts together see it at once.
#pragma once

#include "galenawell/core/clock.h"
#include "galenawell/core/identifiers.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Galenawell {

struct SlowServersOptions
{
    // Reports are counted by spans of this length. Longer than a pause of a sound server.
    std::chrono::milliseconds span{300};
    // Spans with reports, among the last ones, that make a server slow.
    std::size_t spansNeeded = 3;
    // Reports in these spans, and fronts that they come from.
    std::size_t reportsNeeded = 5;
    std::size_t frontsNeeded = 2;
    // How long a server counts as slow; twice as long each time that it is found slow again soon after.
    std::chrono::milliseconds firstMark{2500};
    std::chrono::milliseconds longestMark{8000};
};

class SlowServers
{
public:
    explicit SlowServers(SlowServersOptions options);

    void report(const std::string &address, const InstanceName &front, TimePoint now);
    // Addresses that count as slow. The version changes with the list.
    const std::vector<std::string> &list(TimePoint now);
    std::int64_t version() const;

private:
    static constexpr std::size_t spanCount = 5;

    struct Span
    {
        std::int64_t number = -1;
        std::size_t reports = 0;
    };

    struct Server
    {
        // By number modulo the count.
        std::array<Span, spanCount> spans{};
        // Fronts that reported it, and in which span last.
        std::map<InstanceName, std::int64_t> fronts;
        TimePoint slowUntil;
        std::chrono::milliseconds mark{0};
        TimePoint reportedAt;
    };

    bool isSlow(const Server &server, std::int64_t current) const;
    void mark(Server &server, TimePoint now) const;

    SlowServersOptions options;
    std::map<std::string, Server> servers;
    std::vector<std::string> listed;
    std::int64_t listVersion = 1;
};

} // namespace Galenawell
