// Decides which waiting request starts next and which are refused: strict priority with a guaranteed minimum share of starts
// (floor) for the lower priorities, and round-robin among the callers of one priority.
#pragma once

#include "galenawell/admission/concurrencylimit.h"
#include "galenawell/configuration/configuration.h"
#include "galenawell/core/clock.h"
#include "galenawell/core/identifiers.h"
#include "galenawell/core/reasons.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Galenawell {

// Identifies a request within one queue; never used twice.
using Ticket = std::uint64_t;

struct AdmissionRequest
{
    Ticket ticket = 0;
    Priority priority = Priority::Standard;
    std::string caller;
    TimePoint deadline;
};

struct AdmissionRefusal
{
    Ticket ticket = 0;
    RefusalReason reason = RefusalReason::QueueFull;
    std::chrono::milliseconds retryAfter{0};
};

struct AdmissionActions
{
    std::vector<Ticket> start;
    std::vector<AdmissionRefusal> refuse;
    // When to call expire() next, if any request waits.
    std::optional<TimePoint> nextTimerAt;
};

// Every submitted request is started, refused or withdrawn exactly once.
class AdmissionQueue
{
public:
    AdmissionQueue(AdmissionOptions admissionOptions, TimePoint now, LimitAlgorithm algorithm = LimitAlgorithm::AdditiveIncrease);

    // If the queue is full, refuses the newest request of the caller with the most waiting requests, so that one caller
    // can't shut out the others.
    AdmissionActions submit(const AdmissionRequest &request, TimePoint now);
    // Reports the end of a started request. `serviceTime` is the time since its start; `succeeded` adapts the limit.
    AdmissionActions finish(Ticket ticket, std::chrono::microseconds serviceTime, bool succeeded, TimePoint now);
    // Refuses the waiting requests that can no longer meet their deadlines.
    AdmissionActions expire(TimePoint now);
    // Removes a waiting request whose caller disconnected. False if it isn't waiting.
    bool withdraw(Ticket ticket);
    // Applies to later decisions; running requests continue. Call expire() afterwards to use a raised limit at once.
    void reconfigure(const AdmissionOptions &newOptions);

    std::size_t running() const;
    std::size_t waiting(Priority priority) const;
    std::size_t limit() const;

private:
    using Requests = std::list<AdmissionRequest>;

    struct CallerQueue
    {
        Requests requests;
        std::list<std::string>::iterator roundRobinPosition;
    };

    struct PriorityQueue
    {
        // Callers with waiting requests.
        std::map<std::string, CallerQueue> callers;
        // Each caller of the map once, in the order of their next starts.
        std::list<std::string> roundRobin;
        std::size_t size = 0;
        // Unused credit of the floor in percent of a start, at most two starts.
        unsigned credit = 0;
    };

    void enqueue(const AdmissionRequest &request);
    void remove(Requests::iterator position);
    // Refuses one request if the queue is full. False if it is the given one.
    bool makeRoom(const AdmissionRequest &request, AdmissionActions &actions);
    void refuse(const AdmissionRequest &request, RefusalReason reason, AdmissionActions &actions) const;
    void refuseLate(TimePoint now, AdmissionActions &actions);
    void startEligible(TimePoint now, AdmissionActions &actions);
    AdmissionActions startAndScheduleExpiry(AdmissionActions actions, TimePoint now);

    bool eligible(std::size_t priority) const;
    std::optional<std::size_t> choosePriority() const;
    void updateFloorCredits(std::size_t startedPriority);
    // Part of the concurrency limit for this priority and all lower ones together.
    std::size_t share(std::size_t priority) const;

    bool canFinish(const AdmissionRequest &request, TimePoint now) const;
    // Expected service time. Zero while nothing runs, so that one request can refresh an outdated estimate.
    std::chrono::microseconds requiredTime() const;
    std::chrono::microseconds expectedWait(const AdmissionRequest &request) const;

    PriorityQueue &queueOf(const AdmissionRequest &request);

    AdmissionOptions options;
    ConcurrencyLimit concurrency;
    std::unordered_map<Ticket, Priority> runningRequests;
    std::array<std::size_t, priorityCount> runningByPriority{};
    std::array<PriorityQueue, priorityCount> queues;
    // All waiting requests by ticket and by deadline.
    std::unordered_map<Ticket, Requests::iterator> waitingByTicket;
    std::set<std::pair<TimePoint, Ticket>> deadlines;
};

} // namespace Galenawell
