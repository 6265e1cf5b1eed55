#include "galenawell/transport/requestmemory.h"

#include <algorithm>
#include <utility>

namespace Galenawell {

namespace {

// Large requests leave 1/n of the memory to small ones.
constexpr std::size_t smallReserveDivisor = 4;

// How much a request has cost the others.
double costOf(std::size_t bytes, Duration age)
{
    return static_cast<double>(bytes) * std::chrono::duration<double>(age).count();
}

} // namespace

RequestMemory::RequestMemory(std::size_t limitBytes)
    : limit(limitBytes)
{
}

std::size_t RequestMemory::used() const
{
    const std::lock_guard lock(this->mutex);
    return this->usedBytes;
}

std::uint64_t RequestMemory::endedCount() const
{
    const std::lock_guard lock(this->mutex);
    return this->ended;
}

std::size_t RequestMemory::limitFor(std::size_t holderBytes) const
{
    return holderBytes <= RequestMemoryHolder::smallRequestBytes ? this->limit : this->limit - this->limit / smallReserveDivisor;
}

RequestMemoryHolder *RequestMemory::mostCostly(const RequestMemoryHolder &requester, TimePoint now) const
{
    RequestMemoryHolder *costliest = nullptr;
    double highest = costOf(requester.held + requester.wanted, now - requester.since);
    for (RequestMemoryHolder *holder : this->holders) {
        if (holder == &requester || holder->endableAt > now || holder->ending || holder->held == 0) {
            continue;
        }
        if (const double cost = costOf(holder->held, now - holder->since); cost >= highest) {
            highest = cost;
            costliest = holder;
        }
    }
    return costliest;
}

MemoryGrant RequestMemory::request(RequestMemoryHolder &holder, std::size_t bytes, TimePoint now)
{
    const std::lock_guard lock(this->mutex);
    this->wantedBytes -= std::exchange(holder.wanted, 0);
    if (holder.ending) {
        return MemoryGrant::Refused;
    }
    const std::size_t allowed = this->limitFor(holder.held + bytes);
    if (holder.held + bytes > allowed) {
        return MemoryGrant::TooLarge;
    }
    if (this->usedBytes + bytes <= allowed) {
        this->usedBytes += bytes;
        holder.held += bytes;
        return MemoryGrant::Granted;
    }
    holder.wanted = bytes;
    while (this->usedBytes - this->endingBytes + this->wantedBytes + bytes > allowed) {
        RequestMemoryHolder *costliest = this->mostCostly(holder, now);
        if (costliest == nullptr) {
            holder.wanted = 0;
            return MemoryGrant::Refused;
        }
        costliest->ending = true;
        this->endingBytes += costliest->held;
        ++this->ended;
        costliest->callbacks.end();
    }
    this->wantedBytes += bytes;
    return MemoryGrant::Pending;
}

void RequestMemory::release(RequestMemoryHolder &holder, std::size_t bytes)
{
    holder.held -= bytes;
    this->usedBytes -= bytes;
    this->endingBytes -= holder.ending ? bytes : 0;
    if (bytes == 0 || this->wantedBytes == 0) {
        return;
    }
    for (const RequestMemoryHolder *other : this->holders) {
        if (other->wanted > 0) {
            other->callbacks.wake();
        }
    }
}

RequestMemoryHolder::RequestMemoryHolder(std::shared_ptr<RequestMemory> requestMemory, Callbacks holderCallbacks, TimePoint now)
    : memory(std::move(requestMemory))
    , callbacks(std::move(holderCallbacks))
    , since(now)
    , endableAt(now)
{
    const std::lock_guard lock(this->memory->mutex);
    this->position = this->memory->holders.insert(this->memory->holders.end(), this);
}

RequestMemoryHolder::~RequestMemoryHolder()
{
    const std::lock_guard lock(this->memory->mutex);
    this->memory->holders.erase(this->position);
    this->memory->wantedBytes -= std::exchange(this->wanted, 0);
    this->memory->release(*this, this->held);
}

MemoryGrant RequestMemoryHolder::growTo(std::size_t bytes, TimePoint now)
{
    const std::size_t current = this->bytes();
    return bytes <= current ? MemoryGrant::Granted : this->memory->request(*this, bytes - current, now);
}

bool RequestMemoryHolder::tryAdd(std::size_t bytes)
{
    const std::lock_guard lock(this->memory->mutex);
    if (this->memory->usedBytes + bytes > this->memory->limitFor(this->held + bytes)) {
        return false;
    }
    this->memory->usedBytes += bytes;
    this->held += bytes;
    return true;
}

void RequestMemoryHolder::releaseTo(std::size_t bytes)
{
    const std::lock_guard lock(this->memory->mutex);
    this->memory->release(*this, this->held - std::min(bytes, this->held));
}

bool RequestMemoryHolder::setComplete()
{
    const std::lock_guard lock(this->memory->mutex);
    this->endableAt = TimePoint::max();
    return !this->ending;
}

void RequestMemoryHolder::setWriting(TimePoint stalledAt)
{
    const std::lock_guard lock(this->memory->mutex);
    this->endableAt = stalledAt;
}

std::size_t RequestMemoryHolder::bytes() const
{
    const std::lock_guard lock(this->memory->mutex);
    return this->held;
}

} // namespace Galenawell
