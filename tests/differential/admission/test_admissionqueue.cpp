// Compares AdmissionQueue with a reference queue that searches one vector of waiting requests for every decision.
#include "galenawell/admission/admissionqueue.h"

#include <algorithm>
#include <rapidcheck.h>

#include <criterion/criterion.h>

using namespace Galenawell;
using namespace std::chrono_literals;

namespace {

// Every request takes this long, so that both queues have the same estimate.
constexpr std::chrono::microseconds serviceTime = 20ms;

struct Outcome
{
    std::vector<Ticket> started;
    std::map<Ticket, RefusalReason> refused;

    friend bool operator==(const Outcome &, const Outcome &) = default;
};

class ReferenceQueue
{
public:
    explicit ReferenceQueue(const AdmissionOptions &admissionOptions)
        : options(admissionOptions)
    {
    }

    Outcome submit(const AdmissionRequest &request, TimePoint now)
    {
        Outcome outcome;
        this->refuseLate(now, outcome);
        const bool idle = this->running.empty() && this->waiting.empty();
        if (request.deadline <= now) {
            outcome.refused[request.ticket] = RefusalReason::DeadlineExceeded;
        } else if (!idle && now + this->expectedWait(request) + this->requiredTime() >= request.deadline) {
            outcome.refused[request.ticket] = RefusalReason::DeadlineTooShort;
        } else {
            this->add(request, outcome);
        }
        this->start(now, outcome);
        return outcome;
    }

    Outcome finish(Ticket ticket, TimePoint now)
    {
        Outcome outcome;
        std::erase_if(this->running, [&](const AdmissionRequest &each) { return each.ticket == ticket; });
        this->estimate = serviceTime;
        this->start(now, outcome);
        return outcome;
    }

    Outcome expire(TimePoint now)
    {
        Outcome outcome;
        this->start(now, outcome);
        return outcome;
    }

    bool withdraw(Ticket ticket)
    {
        return std::erase_if(this->waiting, [&](const AdmissionRequest &each) { return each.ticket == ticket; }) > 0;
    }

    std::size_t count(Priority priority) const
    {
        return static_cast<std::size_t>(std::count_if(
            this->waiting.begin(), this->waiting.end(), [&](const AdmissionRequest &each) { return each.priority == priority; }));
    }

    std::size_t count(Priority priority, const std::string &caller) const
    {
        return static_cast<std::size_t>(std::count_if(this->waiting.begin(), this->waiting.end(), [&](const AdmissionRequest &each) {
            return each.priority == priority && each.caller == caller;
        }));
    }

    std::vector<AdmissionRequest> running;

private:
    void add(const AdmissionRequest &request, Outcome &outcome)
    {
        const bool startsAtOnce = this->count(request.priority) == 0 && this->eligible(request.priority);
        if (this->count(request.priority) >= this->options.queueLength && !startsAtOnce) {
            // Of equally large callers the first by name.
            std::string largest;
            for (const AdmissionRequest &each : this->waiting) {
                const std::size_t size = this->count(request.priority, each.caller);
                const std::size_t largestSize = this->count(request.priority, largest);
                if (each.priority == request.priority && (size > largestSize || (size == largestSize && each.caller < largest))) {
                    largest = each.caller;
                }
            }
            if (this->count(request.priority, largest) <= this->count(request.priority, request.caller) + 1) {
                outcome.refused[request.ticket] = RefusalReason::QueueFull;
                return;
            }
            const auto displaced = std::find_if(this->waiting.rbegin(), this->waiting.rend(), [&](const AdmissionRequest &each) {
                return each.priority == request.priority && each.caller == largest;
            });
            outcome.refused[displaced->ticket] = RefusalReason::QueueFull;
            this->waiting.erase(std::next(displaced).base());
        }
        if (this->count(request.priority, request.caller) == 0) {
            this->lastRoundRobinTurn[{request.priority, request.caller}] = ++this->roundRobinClock;
        }
        this->waiting.push_back(request);
    }

    void refuseLate(TimePoint now, Outcome &outcome)
    {
        std::erase_if(this->waiting, [&](const AdmissionRequest &each) {
            const bool late = now + this->requiredTime() >= each.deadline;
            if (late) {
                outcome.refused[each.ticket] = each.deadline <= now ? RefusalReason::DeadlineExceeded : RefusalReason::DeadlineTooShort;
            }
            return late;
        });
    }

    void start(TimePoint now, Outcome &outcome)
    {
        this->refuseLate(now, outcome);
        while (const std::optional<Priority> priority = this->choosePriority()) {
            auto next = this->waiting.end();
            for (auto each = this->waiting.begin(); each != this->waiting.end(); ++each) {
                const bool earlier = next == this->waiting.end()
                    || this->lastRoundRobinTurn[{each->priority, each->caller}] < this->lastRoundRobinTurn[{next->priority, next->caller}];
                if (each->priority == *priority && earlier) {
                    next = each;
                }
            }
            this->updateFloorCredits(*priority);
            this->lastRoundRobinTurn[{*priority, next->caller}] = ++this->roundRobinClock;
            outcome.started.push_back(next->ticket);
            this->running.push_back(*next);
            this->waiting.erase(next);
            this->refuseLate(now, outcome);
        }
    }

    std::optional<Priority> choosePriority() const
    {
        constexpr std::array all{Priority::Urgent, Priority::Standard, Priority::Bulk};
        for (const unsigned needed : {100U, 0U}) {
            for (const Priority priority : all) {
                if (this->credit.at(static_cast<std::size_t>(priority)) >= needed && this->count(priority) > 0
                    && this->eligible(priority)) {
                    return priority;
                }
            }
        }
        return std::nullopt;
    }

    void updateFloorCredits(Priority startedPriority)
    {
        for (std::size_t index = 0; index < priorityCount; ++index) {
            const auto priority = static_cast<Priority>(index);
            if (this->count(priority) > 0) {
                this->credit[index] = std::min(200U, this->credit[index] + this->options.floorPercent[index]);
            }
            if (priority == startedPriority) {
                this->credit[index] = this->credit[index] > 100 ? this->credit[index] - 100 : 0;
            }
        }
    }

    std::size_t share(Priority priority) const
    {
        const unsigned percent = this->options.concurrencyPercent[static_cast<std::size_t>(priority)];
        return std::max<std::size_t>(1, this->options.maximumConcurrency * percent / 100);
    }

    bool eligible(Priority priority) const
    {
        const auto ownAndLower = std::count_if(
            this->running.begin(), this->running.end(), [&](const AdmissionRequest &each) { return each.priority >= priority; });
        return this->running.size() < this->options.maximumConcurrency && static_cast<std::size_t>(ownAndLower) < this->share(priority);
    }

    std::chrono::microseconds requiredTime() const
    {
        return this->running.empty() ? 0us : this->estimate;
    }

    std::chrono::microseconds expectedWait(const AdmissionRequest &request) const
    {
        std::set<std::string> callers;
        std::size_t higher = 0;
        for (const AdmissionRequest &each : this->waiting) {
            if (each.priority == request.priority) {
                callers.insert(each.caller);
            }
            higher += each.priority < request.priority ? 1 : 0;
        }
        const std::size_t turns = this->count(request.priority, request.caller) * std::max<std::size_t>(1, callers.size());
        const std::size_t ahead = higher + std::min(this->count(request.priority), turns);
        return this->estimate * ahead / this->share(request.priority);
    }

    AdmissionOptions options;
    std::chrono::microseconds estimate{0};
    // In order of arrival.
    std::vector<AdmissionRequest> waiting;
    std::array<unsigned, priorityCount> credit{};
    std::map<std::pair<Priority, std::string>, std::uint64_t> lastRoundRobinTurn;
    std::uint64_t roundRobinClock = 0;
};

Outcome outcomeOf(const AdmissionActions &actions)
{
    Outcome outcome;
    outcome.started = actions.start;
    for (const AdmissionRefusal &refusal : actions.refuse) {
        RC_ASSERT(outcome.refused.emplace(refusal.ticket, refusal.reason).second);
        RC_ASSERT(refusal.retryAfter > 0ms);
    }
    return outcome;
}

// Checks invariants over a whole run: each request ends once, and callers are served round-robin.
class InvariantChecker
{
public:
    void submitted(const AdmissionRequest &request)
    {
        this->open.emplace(request.ticket, request);
        this->newest = request.ticket;
    }

    void withdrawn(Ticket ticket)
    {
        this->end(ticket);
    }

    void decided(const Outcome &outcome)
    {
        for (const auto &[ticket, reason] : outcome.refused) {
            this->end(ticket);
        }
        for (const Ticket ticket : outcome.started) {
            const AdmissionRequest started = this->open.at(ticket);
            this->end(ticket);
            this->checkRoundRobin(started);
        }
        this->newest = 0;
    }

    std::size_t openRequests() const
    {
        return this->open.size();
    }

private:
    void end(Ticket ticket)
    {
        const auto position = this->open.find(ticket);
        RC_ASSERT(position != this->open.end());
        const AdmissionRequest ended = position->second;
        this->open.erase(position);
        // A caller without waiting requests loses its position. The request submitted in this step may have been added after that.
        const bool waits = std::any_of(this->open.begin(), this->open.end(), [&](const auto &entry) {
            return entry.first != this->newest && entry.second.priority == ended.priority && entry.second.caller == ended.caller;
        });
        if (!waits) {
            this->startsWhileWaiting[ended.priority].erase(ended.caller);
        }
    }

    // Between two starts of a waiting caller, each other caller of its priority starts at most one request.
    void checkRoundRobin(const AdmissionRequest &started)
    {
        auto &startsByCaller = this->startsWhileWaiting[started.priority];
        startsByCaller.erase(started.caller);
        std::set<std::string> waitingCallers;
        for (const auto &[ticket, request] : this->open) {
            if (request.priority == started.priority && request.caller != started.caller) {
                waitingCallers.insert(request.caller);
            }
        }
        for (const std::string &caller : waitingCallers) {
            RC_ASSERT(++startsByCaller[caller][started.caller] <= 1U);
        }
    }

    std::map<Ticket, AdmissionRequest> open;
    // The request submitted in this step, if any.
    Ticket newest = 0;
    std::map<Priority, std::map<std::string, std::map<std::string, unsigned>>> startsWhileWaiting;
};

struct Step
{
    unsigned kind;
    unsigned choice;
    unsigned milliseconds;
};

AdmissionOptions drawOptions()
{
    AdmissionOptions options;
    options.minimumConcurrency = 1;
    options.maximumConcurrency = *rc::gen::inRange<std::size_t>(1, 8);
    options.queueLength = *rc::gen::inRange<std::size_t>(0, 6);
    options.floorPercent = {0, *rc::gen::inRange(0U, 40U), *rc::gen::inRange(0U, 40U)};
    options.concurrencyPercent = {100, *rc::gen::inRange(50U, 101U), *rc::gen::inRange(10U, 51U)};
    return options;
}

std::vector<Step> drawSteps()
{
    const auto step = rc::gen::construct<Step>(rc::gen::inRange(0U, 10U), rc::gen::inRange(0U, 1000U), rc::gen::inRange(0U, 300U));
    return *rc::gen::container<std::vector<Step>>(*rc::gen::inRange<std::size_t>(0, 250), step);
}

void compareOneRun()
{
    const AdmissionOptions options = drawOptions();
    TimePoint now{1h};
    AdmissionQueue queue(options, now, LimitAlgorithm::Fixed);
    ReferenceQueue reference(options);
    InvariantChecker invariants;
    Ticket lastTicket = 0;
    for (const Step &step : drawSteps()) {
        now += std::chrono::milliseconds(step.milliseconds % 7);
        if (step.kind < 6) {
            const AdmissionRequest request{.ticket = ++lastTicket,
                                           .priority = static_cast<Priority>(step.choice % 3),
                                           .caller = std::string(1, static_cast<char>('a' + step.choice / 3 % 4)),
                                           .deadline = now + std::chrono::milliseconds(step.milliseconds)};
            invariants.submitted(request);
            const Outcome outcome = outcomeOf(queue.submit(request, now));
            RC_ASSERT(outcome == reference.submit(request, now));
            invariants.decided(outcome);
        } else if (step.kind < 8 && !reference.running.empty()) {
            const Ticket ticket = reference.running[step.choice % reference.running.size()].ticket;
            const Outcome outcome = outcomeOf(queue.finish(ticket, serviceTime, true, now));
            RC_ASSERT(outcome == reference.finish(ticket, now));
            invariants.decided(outcome);
        } else if (step.kind == 8) {
            const Ticket ticket = 1 + step.choice % (lastTicket + 1);
            const bool withdrawn = queue.withdraw(ticket);
            RC_ASSERT(withdrawn == reference.withdraw(ticket));
            if (withdrawn) {
                invariants.withdrawn(ticket);
            }
        } else {
            const Outcome outcome = outcomeOf(queue.expire(now));
            RC_ASSERT(outcome == reference.expire(now));
            invariants.decided(outcome);
        }
        RC_ASSERT(queue.running() == reference.running.size());
        RC_ASSERT(queue.running() <= options.maximumConcurrency);
        std::size_t waiting = 0;
        for (const Priority priority : {Priority::Urgent, Priority::Standard, Priority::Bulk}) {
            RC_ASSERT(queue.waiting(priority) == reference.count(priority));
            RC_ASSERT(queue.waiting(priority) <= options.queueLength);
            waiting += queue.waiting(priority);
        }
        RC_ASSERT(waiting == invariants.openRequests());
    }
}

} // namespace

// Guards against inconsistent indexes of the queue, requests that end twice or never, queues beyond their bound, and
// callers that are skipped.
Test(admission_queue_differential, decides_like_the_reference_queue)
{
    cr_assert(rc::check("the queue and the reference queue decide alike", compareOneRun));
}
