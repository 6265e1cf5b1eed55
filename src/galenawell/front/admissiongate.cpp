#include "galenawell/front/admissiongate.h"

namespace Galenawell {

struct AdmissionGate::Waiter
{
    explicit Waiter(const Asio::any_io_executor &executor)
        : timer(executor, TimePoint::max())
    {
    }

    Asio::steady_timer timer;
    // Guarded by the gate's mutex; set before the timer is cancelled.
    bool completed = false;
    std::optional<AdmissionRefusal> refusal;
};

AdmissionGate::AdmissionGate(Asio::any_io_executor executor, const AdmissionOptions &options)
    : queue(options, MonotonicClock::now())
    , expiryTimer(Asio::make_strand(executor))
{
}

Asio::awaitable<AdmissionResult> AdmissionGate::acquire(Priority priority, std::string caller, TimePoint deadline)
{
    const Asio::any_io_executor executor = co_await Asio::this_coro::executor;
    auto waiter = std::make_shared<Waiter>(executor);
    AdmissionResult result;
    {
        const std::lock_guard lock(this->mutex);
        result.ticket = this->nextTicket++;
        this->waiters.emplace(result.ticket, waiter);
        this->perform(this->queue.submit(
            AdmissionRequest{.ticket = result.ticket, .priority = priority, .caller = std::move(caller), .deadline = deadline},
            MonotonicClock::now()));
    }
    for (;;) {
        {
            const std::lock_guard lock(this->mutex);
            if (waiter->completed) {
                result.refusal = waiter->refusal;
                co_return result;
            }
        }
        co_await waiter->timer.async_wait(awaitResult);
    }
}

void AdmissionGate::release(Ticket ticket, std::chrono::microseconds serviceTime, bool succeeded)
{
    const std::lock_guard lock(this->mutex);
    this->perform(this->queue.finish(ticket, serviceTime, succeeded, MonotonicClock::now()));
}

void AdmissionGate::reconfigure(const AdmissionOptions &options)
{
    const std::lock_guard lock(this->mutex);
    this->queue.reconfigure(options);
    // Admits the requests that a raised limit allows.
    this->perform(this->queue.expire(MonotonicClock::now()));
}

std::size_t AdmissionGate::waiting(Priority priority)
{
    const std::lock_guard lock(this->mutex);
    return this->queue.waiting(priority);
}

std::size_t AdmissionGate::running()
{
    const std::lock_guard lock(this->mutex);
    return this->queue.running();
}

void AdmissionGate::perform(const AdmissionActions &actions)
{
    for (const Ticket ticket : actions.start) {
        this->complete(ticket, std::nullopt);
    }
    for (const AdmissionRefusal &refusal : actions.refuse) {
        this->complete(refusal.ticket, refusal);
    }
    if (actions.nextTimerAt) {
        this->scheduleExpiry(*actions.nextTimerAt);
    }
}

void AdmissionGate::complete(Ticket ticket, std::optional<AdmissionRefusal> refusal)
{
    const auto found = this->waiters.find(ticket);
    if (found == this->waiters.end()) {
        return;
    }
    const std::shared_ptr<Waiter> waiter = found->second;
    this->waiters.erase(found);
    waiter->completed = true;
    waiter->refusal = refusal;
    // Posted to the strand of the waiting coroutine, so that the cancel runs after its async_wait has started.
    Asio::post(waiter->timer.get_executor(), [waiter] { waiter->timer.cancel(); });
}

void AdmissionGate::scheduleExpiry(TimePoint when)
{
    Asio::post(this->expiryTimer.get_executor(), [self = this->shared_from_this(), when] {
        self->expiryTimer.expires_at(when);
        self->expiryTimer.async_wait([self](const Beast::error_code &error) {
            if (!error) {
                const std::lock_guard lock(self->mutex);
                self->perform(self->queue.expire(MonotonicClock::now()));
            }
        });
    });
}

} // namespace Galenawell
