// Bounds the memory of the requests of all callers together, from the first byte of a request to the last byte of its answer. Each
// request is within its own limits, but many of them at once could take the memory of the whole process.
//
// When a request needs memory that isn't left, incomplete requests are ended that have held much for long, so that senders that
// stop in the middle can't keep others out. A complete request is never ended: it may have been passed on.
#pragma once

#include "galenawell/core/clock.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <mutex>

namespace Galenawell {

class RequestMemoryHolder;

enum class MemoryGrant : std::uint8_t {
    Granted,
    // Enough requests are being ended; the caller asks again when it is woken.
    Pending,
    // Nothing can be ended for it. The request must be refused.
    Refused,
    // The request needs more than any request gets.
    TooLarge,
};

class RequestMemory
{
public:
    explicit RequestMemory(std::size_t limitBytes);

    std::size_t used() const;
    // Requests that were ended to make room.
    std::uint64_t endedCount() const;

private:
    friend class RequestMemoryHolder;

    MemoryGrant request(RequestMemoryHolder &holder, std::size_t bytes, TimePoint now);
    void release(RequestMemoryHolder &holder, std::size_t bytes);
    // Both need the lock.
    std::size_t limitFor(std::size_t holderBytes) const;
    RequestMemoryHolder *mostCostly(const RequestMemoryHolder &requester, TimePoint now) const;

    const std::size_t limit;
    mutable std::mutex mutex;
    std::size_t usedBytes = 0;
    // Of `usedBytes`, what holders will release that are being ended.
    std::size_t endingBytes = 0;
    // What pending requests have asked for.
    std::size_t wantedBytes = 0;
    std::uint64_t ended = 0;
    std::list<RequestMemoryHolder *> holders;
};

// The memory of one request. Released by the destructor. Not used from two threads at once, but for the callbacks, which run on
// the thread of another request and must only post.
class RequestMemoryHolder
{
public:
    struct Callbacks
    {
        // The incomplete request is to be refused.
        std::function<void()> end;
        // A pending request may ask again.
        std::function<void()> wake;
    };

    RequestMemoryHolder(std::shared_ptr<RequestMemory> requestMemory, Callbacks holderCallbacks, TimePoint now);
    ~RequestMemoryHolder();
    RequestMemoryHolder(const RequestMemoryHolder &) = delete;
    RequestMemoryHolder &operator=(const RequestMemoryHolder &) = delete;

    // Asks for as much as is missing to `bytes`; never gives anything back.
    MemoryGrant growTo(std::size_t bytes, TimePoint now);
    // Asks for more without ending other requests for it.
    bool tryAdd(std::size_t bytes);
    void releaseTo(std::size_t bytes);
    // From now on the request is whole and isn't ended. False if it is being ended already, so that it must be refused.
    bool setComplete();
    // The request is over; if its answer isn't read, it may be ended after this time.
    void setWriting(TimePoint stalledAt);
    std::size_t bytes() const;

    // A request of at most this size may use all memory; larger ones leave a quarter of it to small ones.
    static constexpr std::size_t smallRequestBytes = std::size_t(64) * 1024;

private:
    friend class RequestMemory;

    std::shared_ptr<RequestMemory> memory;
    Callbacks callbacks;
    // All below are guarded by the memory's mutex.
    const TimePoint since;
    std::size_t held = 0;
    // Part of wantedBytes; 0 unless the request is pending.
    std::size_t wanted = 0;
    // When the request may be ended for others.
    TimePoint endableAt;
    bool ending = false;
    std::list<RequestMemoryHolder *>::iterator position;
};

} // namespace Galenawell
