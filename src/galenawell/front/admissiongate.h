// Suspends the coroutines of requests until the admission queue of their service admits or refuses them.
#pragma once

#include "galenawell/admission/admissionqueue.h"
#include "galenawell/transport/asio.h"

#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace Galenawell {

struct AdmissionResult
{
    Ticket ticket = 0;
    // Present if the request must not run.
    std::optional<AdmissionRefusal> refusal;
};

class AdmissionGate : public std::enable_shared_from_this<AdmissionGate>
{
public:
    AdmissionGate(Asio::any_io_executor executor, const AdmissionOptions &options);

    // Completes when the request is admitted or refused.
    Asio::awaitable<AdmissionResult> acquire(Priority priority, std::string caller, TimePoint deadline);
    // Must be called exactly once for each admitted ticket.
    void release(Ticket ticket, std::chrono::microseconds serviceTime, bool succeeded);
    void reconfigure(const AdmissionOptions &options);
    std::size_t waiting(Priority priority);
    std::size_t running();

private:
    struct Waiter;

    void perform(const AdmissionActions &actions);
    void complete(Ticket ticket, std::optional<AdmissionRefusal> refusal);
    void scheduleExpiry(TimePoint when);

    std::mutex mutex;
    AdmissionQueue queue;
    std::map<Ticket, std::shared_ptr<Waiter>> waiters;
    Ticket nextTicket = 1;
    Asio::steady_timer expiryTimer;
};

} // namespace Galenawell
