// A backend server's own limit on the requests of all fronts together, the order of its statements about it, and what fronts
// and control processes tell one another of it. Statements may arrive in any order.
#pragma once

#include "galenawell/core/identifiers.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <optional>
#include <string>

namespace Galenawell {

struct RequestRate
{
    // Integral, so that rates that were passed on compare equal.
    std::int64_t perThousandSeconds = 0;

    static RequestRate perSecond(double requests)
    {
        return RequestRate{.perThousandSeconds = std::llround(requests * 1000)};
    }

    double perSecond() const
    {
        return static_cast<double>(this->perThousandSeconds) / 1000;
    }

    friend auto operator<=>(const RequestRate &, const RequestRate &) = default; // NOLINT(modernize-use-nullptr)
};

// Whether a change of the limit is too large to wait until processes exchange messages anyway.
inline bool isLargeChange(const std::optional<RequestRate> &before, const std::optional<RequestRate> &after)
{
    constexpr double largeRatio = 1.25;
    if (!before || !after) {
        return before != after;
    }
    const double lower = std::min(before->perSecond(), after->perSecond());
    const double higher = std::max(before->perSecond(), after->perSecond());
    return higher > largeRatio * lower;
}

// One run of a backend server. A limit ends with the run that stated it.
struct ServerRun
{
    std::string address;
    Incarnation incarnation = 0;

    friend auto operator<=>(const ServerRun &, const ServerRun &) = default; // NOLINT(modernize-use-nullptr)
};

struct RequestLimit
{
    // Absent if the server has no limit.
    std::optional<RequestRate> rate{};
    // Higher than that of every statement that is known to be earlier; 0 before the first statement.
    std::uint64_t order = 0;

    // True if this statement is later, or if either may be the later one and this one is lower.
    bool supersedes(const RequestLimit &known) const
    {
        if (this->order != known.order) {
            return this->order > known.order;
        }
        return this->rate && (!known.rate || *this->rate < *known.rate);
    }

    friend bool operator==(const RequestLimit &, const RequestLimit &) = default;
};

struct LimitStatement
{
    ServerRun server;
    RequestLimit limit;
};

// A front's need of one server.
struct RequestDemand
{
    // Requests a second that the front would send to the server.
    double perSecond = 0;
    // Requests that it was granted, by any control process, and may still send.
    unsigned left = 0;
    // Requests that the receiver granted and that ended unused since the last report.
    unsigned unused = 0;
};

// What a front tells a control process of one server.
struct LimitReport
{
    LimitStatement statement;
    RequestDemand demand{};
};

// Requests that a front may send to a server.
struct LimitGrant
{
    ServerRun server;
    unsigned requests = 0;
    // From when it is granted.
    std::chrono::milliseconds lifetime{0};
};

} // namespace Galenawell
