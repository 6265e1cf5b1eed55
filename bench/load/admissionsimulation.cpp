#include "admissionsimulation.h"

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <cmath>

namespace Galenawell::Bench {

namespace {

AdmissionOptions admissionOptions(const AdmissionVariant &variant)
{
    AdmissionOptions options;
    if (!variant.usesFloors) {
        options.floorPercent = {0, 0, 0};
    }
    if (!variant.capsLowerPriorities) {
        options.concurrencyPercent = {100, 100, 100};
    }
    if (variant.algorithm == LimitAlgorithm::Fixed) {
        // Above any number of requests in flight, so that each goes to the backend at once.
        options.maximumConcurrency = 1'000'000;
        options.concurrencyPercent = {100, 100, 100};
    }
    return options;
}

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

double BackendModel::capacity() const
{
    const double meanMilliseconds = this->medianMilliseconds * std::exp(this->sigma * this->sigma / 2);
    return static_cast<double>(this->slots) * 1000 / meanMilliseconds;
}

AdmissionSimulation::AdmissionSimulation(const Scenario &simulatedScenario, const AdmissionVariant &simulatedVariant, std::uint64_t seed)
    : scenario(simulatedScenario)
    , variant(simulatedVariant)
    , random(seed)
    , begin(std::chrono::hours(1))
    , now(this->begin)
    , admission(admissionOptions(simulatedVariant), this->begin, simulatedVariant.algorithm)
{
}

RunResult AdmissionSimulation::run()
{
    for (std::size_t priority = 0; priority < priorityCount; ++priority) {
        this->scheduleArrival(priority);
    }
    const TimePoint end = this->begin + this->scenario.warmUp + this->scenario.measuredDuration;
    while (!this->events.empty() && this->events.top().at < end) {
        const Event event = this->events.top();
        this->events.pop();
        this->now = event.at;
        if (event.kind == EventKind::Arrival) {
            this->handleArrival(event.argument);
        } else if (event.kind == EventKind::Completion) {
            this->handleCompletion(event.argument);
        } else {
            this->apply(this->admission.expire(this->now));
        }
    }
    this->result.finalLimit = this->admission.limit();
    return std::move(this->result);
}

void AdmissionSimulation::scheduleArrival(std::size_t priority)
{
    const double rate = this->scenario.traffic[priority].rate;
    if (rate <= 0) {
        return;
    }
    boost::random::exponential_distribution<double> interarrival(rate);
    this->events.push({this->now + fromSeconds(interarrival(this->random)), EventKind::Arrival, priority});
}

bool AdmissionSimulation::isMeasuring() const
{
    return this->now >= this->begin + this->scenario.warmUp;
}

void AdmissionSimulation::handleArrival(std::size_t priority)
{
    this->scheduleArrival(priority);
    const Traffic &traffic = this->scenario.traffic[priority];
    const Ticket ticket = ++this->lastTicket;
    this->requests.emplace(ticket, Request{.priority = priority, .arrived = this->now, .started = {}});
    if (this->isMeasuring()) {
        ++this->result.byPriority[priority].offered;
    }
    AdmissionRequest request{
        .ticket = ticket, .priority = static_cast<Priority>(priority), .caller = {}, .deadline = this->now + traffic.deadline};
    if (this->variant.usesPriorities) {
        request.caller = std::to_string(ticket % traffic.callers);
    } else {
        // One priority and one caller make the queue a single FIFO.
        request.priority = Priority::Urgent;
    }
    this->apply(this->admission.submit(request, this->now));
}

void AdmissionSimulation::apply(const AdmissionActions &actions)
{
    for (const Ticket ticket : actions.start) {
        Request &request = this->requests.at(ticket);
        request.started = this->now;
        if (this->isMeasuring()) {
            ++this->result.byPriority[request.priority].started;
        }
        this->dispatch(ticket);
    }
    for (const AdmissionRefusal &refusal : actions.refuse) {
        const Request &request = this->requests.at(refusal.ticket);
        if (this->isMeasuring()) {
            ++this->result.byPriority[request.priority].refused;
        }
        this->requests.erase(refusal.ticket);
    }
    const bool timerNeeded = this->nextTimerAt <= this->now || (actions.nextTimerAt && *actions.nextTimerAt < this->nextTimerAt);
    if (actions.nextTimerAt && timerNeeded) {
        this->nextTimerAt = *actions.nextTimerAt;
        this->events.push({*actions.nextTimerAt, EventKind::Timer, 0});
    }
}

void AdmissionSimulation::dispatch(Ticket ticket)
{
    if (this->busySlots >= this->scenario.backend.slots) {
        this->backendQueue.push_back(ticket);
        return;
    }
    ++this->busySlots;
    this->events.push({this->now + this->drawServiceTime(), EventKind::Completion, ticket});
}

void AdmissionSimulation::handleCompletion(Ticket ticket)
{
    --this->busySlots;
    if (!this->backendQueue.empty()) {
        const Ticket next = this->backendQueue.front();
        this->backendQueue.pop_front();
        this->dispatch(next);
    }
    const Request request = this->requests.at(ticket);
    this->requests.erase(ticket);
    if (this->isMeasuring()) {
        const std::chrono::duration<double, std::milli> latency = this->now - request.arrived;
        this->result.byPriority[request.priority].latenciesMs.push_back(latency.count());
    }
    const auto serviceTime = std::chrono::duration_cast<std::chrono::microseconds>(this->now - request.started);
    this->apply(this->admission.finish(ticket, serviceTime, true, this->now));
}

Duration AdmissionSimulation::drawServiceTime()
{
    const BackendModel &backend = this->scenario.backend;
    boost::random::lognormal_distribution<double> distribution(std::log(backend.medianMilliseconds), backend.sigma);
    const Duration elapsed = this->now - this->begin - this->scenario.warmUp;
    const bool inMiddleThird = elapsed * 3 >= this->scenario.measuredDuration && elapsed * 3 < this->scenario.measuredDuration * 2;
    return fromSeconds(distribution(this->random) / 1000 * (inMiddleThird ? backend.middleThirdSlowdown : 1));
}

} // namespace Galenawell::Bench
