#include "galenawell/transport/replymemory.h"

#include <utility>

namespace Galenawell {

ReplyMemory::ReplyMemory(std::size_t limitBytes)
    : limit(limitBytes)
{
}

std::size_t ReplyMemory::used() const
{
    return this->usedBytes;
}

ReplyReservation::ReplyReservation(std::shared_ptr<ReplyMemory> replyMemory)
    : memory(std::move(replyMemory))
{
}

ReplyReservation::~ReplyReservation()
{
    this->memory->usedBytes -= this->reserved;
}

bool ReplyReservation::grow(std::size_t bytes)
{
    this->reserved += bytes;
    const std::size_t used = this->memory->usedBytes += bytes;
    return used <= this->memory->limit || this->reserved <= smallReplyBytes;
}

} // namespace Galenawell
