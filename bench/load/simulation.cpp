#include "simulation.h"

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <cmath>

namespace Galenawell::Bench {

namespace {

AdmissionOptions admissionOptions(const AdmissionVariant &defences)
{
    AdmissionOptions options;
    if (!defences.floors) {
        options.floorPercent = {0, 0, 0};
    }
    if (!defences.shares) {
        options.concurrencyPercent = {100, 100, 100};
    }
    if (defences.algorithm == LimitAlgorithm::Fixed) {
        // Without a limit every request goes to the backend at once.
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

double Backend::capacity() const
{
    const double meanMilliseconds = this->medianMilliseconds * std::exp(this->sigma * this->sigma / 2);
    return static_cast<double>(this->slots) * 1000 / meanMilliseconds;
}

Simulation::Simulation(const Scenario &simulated, const AdmissionVariant &active, std::uint64_t seed)
    : scenario(simulated)
    , defences(active)
    , random(seed)
    , begin(std::chrono::hours(1))
    , now(this->begin)
    , admission(admissionOptions(active), this->begin, active.algorithm)
{
}

RunResult Simulation::run()
{
    for (std::size_t priority = 0; priority < priorityCount; ++priority) {
        this->scheduleArrival(priority);
    }
    const TimePoint end = this->begin + this->scenario.warmUp + this->scenario.length;
    while (!this->events.empty() && this->events.top().at < end) {
        const Event event = this->events.top();
        this->events.pop();
        this->now = event.at;
        if (event.kind == EventKind::Arrival) {
            this->arrive(event.subject);
        } else if (event.kind == EventKind::Completion) {
            this->complete(event.subject);
        } else {
            this->apply(this->admission.expire(this->now));
        }
    }
    this->result.limit = this->admission.limit();
    return std::move(this->result);
}

void Simulation::scheduleArrival(std::size_t priority)
{
    const double rate = this->scenario.traffic[priority].rate;
    if (rate <= 0) {
        return;
    }
    boost::random::exponential_distribution<double> gap(rate);
    this->events.push({this->now + fromSeconds(gap(this->random)), EventKind::Arrival, priority});
}

bool Simulation::counting() const
{
    return this->now >= this->begin + this->scenario.warmUp;
}

void Simulation::arrive(std::size_t priority)
{
    this->scheduleArrival(priority);
    const Traffic &traffic = this->scenario.traffic[priority];
    const Ticket ticket = ++this->lastTicket;
    this->requests.emplace(ticket, Request{.priority = priority, .arrived = this->now, .started = {}});
    if (this->counting()) {
        ++this->result.classes[priority].offered;
    }
    AdmissionRequest request{
        .ticket = ticket, .priority = static_cast<Priority>(priority), .caller = {}, .deadline = this->now + traffic.deadline};
    if (this->defences.priorities) {
        request.caller = std::to_string(ticket % traffic.callers);
    } else {
        // One first-in first-out queue for everything.
        request.priority = Priority::Urgent;
    }
    this->apply(this->admission.submit(request, this->now));
}

void Simulation::apply(const AdmissionActions &actions)
{
    for (const Ticket ticket : actions.start) {
        Request &request = this->requests.at(ticket);
        request.started = this->now;
        if (this->counting()) {
            ++this->result.classes[request.priority].started;
        }
        this->serve(ticket);
    }
    for (const AdmissionRefusal &refusal : actions.refuse) {
        const Request &request = this->requests.at(refusal.ticket);
        if (this->counting()) {
            ++this->result.classes[request.priority].refused;
        }
        this->requests.erase(refusal.ticket);
    }
    const bool needed = this->scheduledWake <= this->now || (actions.wakeAt && *actions.wakeAt < this->scheduledWake);
    if (actions.wakeAt && needed) {
        this->scheduledWake = *actions.wakeAt;
        this->events.push({*actions.wakeAt, EventKind::Wake, 0});
    }
}

void Simulation::serve(Ticket ticket)
{
    if (this->busy >= this->scenario.backend.slots) {
        this->backendQueue.push_back(ticket);
        return;
    }
    ++this->busy;
    this->events.push({this->now + this->drawServiceTime(), EventKind::Completion, ticket});
}

void Simulation::complete(Ticket ticket)
{
    --this->busy;
    if (!this->backendQueue.empty()) {
        const Ticket next = this->backendQueue.front();
        this->backendQueue.pop_front();
        this->serve(next);
    }
    const Request request = this->requests.at(ticket);
    this->requests.erase(ticket);
    if (this->counting()) {
        const std::chrono::duration<double, std::milli> latency = this->now - request.arrived;
        this->result.classes[request.priority].latencies.push_back(latency.count());
    }
    const auto serviceTime = std::chrono::duration_cast<std::chrono::microseconds>(this->now - request.started);
    this->apply(this->admission.finish(ticket, serviceTime, true, this->now));
}

Duration Simulation::drawServiceTime()
{
    const Backend &backend = this->scenario.backend;
    boost::random::lognormal_distribution<double> distribution(std::log(backend.medianMilliseconds), backend.sigma);
    const Duration age = this->now - this->begin - this->scenario.warmUp;
    const bool middle = age * 3 >= this->scenario.length && age * 3 < this->scenario.length * 2;
    return fromSeconds(distribution(this->random) / 1000 * (middle ? backend.middleFactor : 1));
}

} // namespace Galenawell::Bench
