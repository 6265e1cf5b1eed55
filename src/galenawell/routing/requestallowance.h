// What one front knows of one backend server's limit on the requests of all fronts together, and the requests that control
// processes have allocated to this front for it. A server without a limit may get any number of requests.
#pragma once

#include "galenawell/core/clock.h"
#include "galenawell/core/identifiers.h"
#include "galenawell/routing/eventrate.h"
#include "galenawell/routing/requestlimit.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Galenawell {

// What a request to a limited server is for.
struct AllowanceUse
{
    Priority priority = Priority::Standard;
    // A hedge or a retry; it takes only what first subrequests leave.
    bool isExtra = false;
};

class RequestAllowance
{
public:
    RequestAllowance();

    // A reply to a request sent at `sentAt` stated the rate, or that there is no limit. True if the limit changes.
    bool onReply(std::optional<RequestRate> rate, TimePoint sentAt, TimePoint now);
    // Another process passed on a statement. True if the limit changes.
    bool learn(const RequestLimit &limit, TimePoint now);
    // The server stated a limit that can't be read. True for the first one.
    bool noteInvalidLimit();
    const RequestLimit &limit() const;
    bool limited() const;

    // Adds requests that a control process allows until `end`.
    void grant(unsigned requests, const InstanceName &control, TimePoint end, TimePoint now);
    // Requests that the control process granted and that ended unused since the last call.
    unsigned takeUnused(const InstanceName &control, TimePoint now);
    // Rate of requests that need no grant, while no control process is in contact; 0 ends it.
    void setUngrantedRate(double requestsPerSecond, TimePoint now);
    bool hasRoom(const AllowanceUse &use, TimePoint now) const;
    // Takes one request. False if there is no room.
    bool take(const AllowanceUse &use, TimePoint now);
    // Returns the request that was taken last, as it wasn't sent.
    void giveBack();

    // A request would have been sent to the server first of all.
    void noteWanted(Priority priority, TimePoint now);
    // The server would have been chosen, but had no room.
    void noteTurnedAway();
    // Requests a second that this front would send to the server.
    double demand(TimePoint now) const;
    // Granted requests that may still be sent.
    unsigned left(TimePoint now) const;
    // Time until there is probably room for one more request.
    std::chrono::milliseconds expectedWait(TimePoint now) const;

    // Requests taken since the last call, or since the server stated a limit.
    std::uint64_t takeSends();
    // Calls of noteTurnedAway() since the last call.
    std::uint64_t takeTurnedAway();

private:
    struct Grant
    {
        unsigned requests = 0;
        TimePoint end;
        InstanceName control;
    };

    RequestLimit current;
    // Requests sent after this time show a state of the server that is later than the current statement.
    TimePoint learnedAt;
    bool hadInvalidLimit = false;
    // By end. Granted for the current limit or a lower one.
    std::vector<Grant> grants;
    // Of the request taken last; absent if it needed none.
    std::optional<Grant> taken;
    std::map<InstanceName, unsigned> unused;
    double ungrantedRate = 0;
    // At most one request.
    double ungranted = 0;
    TimePoint ungrantedAt;
    std::array<EventRate, priorityCount> wants;
    EventRate granted;
    std::uint64_t sends = 0;
    std::uint64_t turnedAway = 0;

    void replaceLimit(const RequestLimit &limit, TimePoint now);
    double ungrantedRequestsAt(TimePoint now) const;
    // Requests that are kept for more urgent uses.
    double reserveFor(const AllowanceUse &use, TimePoint now) const;
    void dropExpired(TimePoint now);
};

} // namespace Galenawell
