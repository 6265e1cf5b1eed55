#include "galenawell/admission/admissionqueue.h"

#include <algorithm>

namespace Galenawell {

namespace {

constexpr std::size_t initialConcurrency = 16;
// Credit, in percent, for one start ahead of higher priorities.
constexpr unsigned creditPerStart = 100;
// Less would cause a retry storm; more would be longer than most overloads.
constexpr std::chrono::milliseconds minimumRetryAfter{20};
constexpr std::chrono::milliseconds maximumRetryAfter{5000};

ConcurrencyLimitOptions limitOptions(const AdmissionOptions &options, LimitAlgorithm algorithm)
{
    return {
        .minimum = options.minimumConcurrency,
        .maximum = options.maximumConcurrency,
        .initial = algorithm == LimitAlgorithm::Fixed ? options.maximumConcurrency : initialConcurrency,
        .algorithm = algorithm,
    };
}

std::size_t indexOf(Priority priority)
{
    return static_cast<std::size_t>(priority);
}

} // namespace

AdmissionQueue::AdmissionQueue(AdmissionOptions admissionOptions, TimePoint now, LimitAlgorithm algorithm)
    : options(admissionOptions)
    , concurrency(limitOptions(admissionOptions, algorithm), now)
{
}

AdmissionActions AdmissionQueue::submit(const AdmissionRequest &request, TimePoint now)
{
    AdmissionActions actions;
    this->refuseLate(now, actions);
    const bool idle = this->runningRequests.empty() && this->waitingByTicket.empty();
    if (request.deadline <= now) {
        this->refuse(request, RefusalReason::DeadlineExceeded, actions);
    } else if (!idle && now + this->expectedWait(request) + this->requiredTime() >= request.deadline) {
        this->refuse(request, RefusalReason::DeadlineTooShort, actions);
    } else if (this->makeRoom(request, actions)) {
        this->enqueue(request);
    }
    return this->startAndScheduleExpiry(std::move(actions), now);
}

AdmissionActions AdmissionQueue::finish(Ticket ticket, std::chrono::microseconds serviceTime, bool succeeded, TimePoint now)
{
    AdmissionActions actions;
    const auto position = this->runningRequests.find(ticket);
    if (position != this->runningRequests.end()) {
        const CompletedRequest completed{
            .serviceTime = serviceTime,
            .succeeded = succeeded,
            .running = this->runningRequests.size(),
            .requestsWaiting = !this->waitingByTicket.empty(),
        };
        this->concurrency.record(completed, now);
        --this->runningByPriority[indexOf(position->second)];
        this->runningRequests.erase(position);
    }
    return this->startAndScheduleExpiry(std::move(actions), now);
}

AdmissionActions AdmissionQueue::expire(TimePoint now)
{
    return this->startAndScheduleExpiry({}, now);
}

bool AdmissionQueue::withdraw(Ticket ticket)
{
    const auto position = this->waitingByTicket.find(ticket);
    if (position == this->waitingByTicket.end()) {
        return false;
    }
    this->remove(position->second);
    return true;
}

void AdmissionQueue::reconfigure(const AdmissionOptions &newOptions)
{
    this->options = newOptions;
    this->concurrency.setBounds(newOptions.minimumConcurrency, newOptions.maximumConcurrency);
}

std::size_t AdmissionQueue::running() const
{
    return this->runningRequests.size();
}

std::size_t AdmissionQueue::waiting(Priority priority) const
{
    return this->queues[indexOf(priority)].size;
}

std::size_t AdmissionQueue::limit() const
{
    return this->concurrency.current();
}

AdmissionActions AdmissionQueue::startAndScheduleExpiry(AdmissionActions actions, TimePoint now)
{
    this->startEligible(now, actions);
    if (!this->deadlines.empty()) {
        actions.nextTimerAt = this->deadlines.begin()->first - this->requiredTime();
    }
    return actions;
}

AdmissionQueue::PriorityQueue &AdmissionQueue::queueOf(const AdmissionRequest &request)
{
    return this->queues[indexOf(request.priority)];
}

void AdmissionQueue::enqueue(const AdmissionRequest &request)
{
    PriorityQueue &queue = this->queueOf(request);
    const auto [entry, added] = queue.callers.try_emplace(request.caller);
    CallerQueue &caller = entry->second;
    if (added) {
        caller.roundRobinPosition = queue.roundRobin.insert(queue.roundRobin.end(), request.caller);
    }
    caller.requests.push_back(request);
    ++queue.size;
    this->waitingByTicket.emplace(request.ticket, std::prev(caller.requests.end()));
    this->deadlines.emplace(request.deadline, request.ticket);
}

void AdmissionQueue::remove(Requests::iterator position)
{
    PriorityQueue &queue = this->queueOf(*position);
    this->waitingByTicket.erase(position->ticket);
    this->deadlines.erase({position->deadline, position->ticket});
    --queue.size;
    const auto entry = queue.callers.find(position->caller);
    entry->second.requests.erase(position);
    if (entry->second.requests.empty()) {
        queue.roundRobin.erase(entry->second.roundRobinPosition);
        queue.callers.erase(entry);
    }
}

bool AdmissionQueue::makeRoom(const AdmissionRequest &request, AdmissionActions &actions)
{
    PriorityQueue &queue = this->queueOf(request);
    const bool startsImmediately = queue.size == 0 && this->eligible(indexOf(request.priority));
    if (queue.size < this->options.queueLength || startsImmediately) {
        return true;
    }
    const auto longest = std::max_element(queue.callers.begin(), queue.callers.end(), [](const auto &left, const auto &right) {
        return left.second.requests.size() < right.second.requests.size();
    });
    const auto own = queue.callers.find(request.caller);
    const std::size_t ownWaiting = own == queue.callers.end() ? 0 : own->second.requests.size();
    // A difference of one isn't enough: two callers would displace each other's requests endlessly.
    if (longest == queue.callers.end() || longest->second.requests.size() <= ownWaiting + 1) {
        this->refuse(request, RefusalReason::QueueFull, actions);
        return false;
    }
    const auto displaced = std::prev(longest->second.requests.end());
    this->refuse(*displaced, RefusalReason::QueueFull, actions);
    this->remove(displaced);
    return true;
}

void AdmissionQueue::refuse(const AdmissionRequest &request, RefusalReason reason, AdmissionActions &actions) const
{
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(this->expectedWait(request));
    actions.refuse.push_back({request.ticket, reason, std::clamp(wait, minimumRetryAfter, maximumRetryAfter)});
}

void AdmissionQueue::refuseLate(TimePoint now, AdmissionActions &actions)
{
    while (!this->deadlines.empty()) {
        const Requests::iterator position = this->waitingByTicket.at(this->deadlines.begin()->second);
        if (this->canFinish(*position, now)) {
            return;
        }
        const RefusalReason reason = position->deadline <= now ? RefusalReason::DeadlineExceeded : RefusalReason::DeadlineTooShort;
        this->refuse(*position, reason, actions);
        this->remove(position);
    }
}

void AdmissionQueue::startEligible(TimePoint now, AdmissionActions &actions)
{
    // Repeated after each start: after the first one, requiredTime() is no longer zero.
    this->refuseLate(now, actions);
    while (const std::optional<std::size_t> priority = this->choosePriority()) {
        PriorityQueue &queue = this->queues[*priority];
        CallerQueue &caller = queue.callers.at(queue.roundRobin.front());
        queue.roundRobin.splice(queue.roundRobin.end(), queue.roundRobin, caller.roundRobinPosition);
        const Requests::iterator position = caller.requests.begin();
        actions.start.push_back(position->ticket);
        this->runningRequests.emplace(position->ticket, position->priority);
        ++this->runningByPriority[*priority];
        this->updateFloorCredits(*priority);
        this->remove(position);
        this->refuseLate(now, actions);
    }
}

std::optional<std::size_t> AdmissionQueue::choosePriority() const
{
    std::optional<std::size_t> chosen;
    for (std::size_t priority = priorityCount; priority-- > 0;) {
        if (this->eligible(priority) && this->queues[priority].size > 0) {
            chosen = priority;
        }
    }
    // Credit for a floor takes precedence over strict priority.
    for (std::size_t priority = 0; priority < priorityCount; ++priority) {
        const PriorityQueue &queue = this->queues[priority];
        if (queue.credit >= creditPerStart && queue.size > 0 && this->eligible(priority)) {
            return priority;
        }
    }
    return chosen;
}

void AdmissionQueue::updateFloorCredits(std::size_t startedPriority)
{
    for (std::size_t priority = 0; priority < priorityCount; ++priority) {
        PriorityQueue &queue = this->queues[priority];
        if (queue.size > 0) {
            queue.credit = std::min(queue.credit + this->options.floorPercent[priority], 2 * creditPerStart);
        }
    }
    unsigned &credit = this->queues[startedPriority].credit;
    credit -= std::min(credit, creditPerStart);
}

bool AdmissionQueue::eligible(std::size_t priority) const
{
    if (this->runningRequests.size() >= this->concurrency.current()) {
        return false;
    }
    std::size_t ownAndLower = 0;
    for (std::size_t lower = priority; lower < priorityCount; ++lower) {
        ownAndLower += this->runningByPriority[lower];
    }
    return ownAndLower < this->share(priority);
}

std::size_t AdmissionQueue::share(std::size_t priority) const
{
    return std::max<std::size_t>(1, this->concurrency.current() * this->options.concurrencyPercent[priority] / 100);
}

bool AdmissionQueue::canFinish(const AdmissionRequest &request, TimePoint now) const
{
    return now + this->requiredTime() < request.deadline;
}

std::chrono::microseconds AdmissionQueue::requiredTime() const
{
    return this->runningRequests.empty() ? std::chrono::microseconds::zero() : this->concurrency.expectedServiceTime();
}

std::chrono::microseconds AdmissionQueue::expectedWait(const AdmissionRequest &request) const
{
    const std::size_t priority = indexOf(request.priority);
    const PriorityQueue &queue = this->queues[priority];
    const auto own = queue.callers.find(request.caller);
    const std::size_t ownWaiting = own == queue.callers.end() ? 0 : own->second.requests.size();
    // Round-robin: each caller starts at most as many requests before this one as its own caller does.
    std::size_t ahead = std::min(queue.size, ownWaiting * std::max<std::size_t>(1, queue.roundRobin.size()));
    for (std::size_t higher = 0; higher < priority; ++higher) {
        ahead += this->queues[higher].size;
    }
    return this->concurrency.expectedServiceTime() * ahead / this->share(priority);
}

} // namespace Galenawell
