// Bounds the memory of the replies of all backend servers together, until they have been passed on. A server whose reply never ends could
// otherwise take the memory of the whole process, many of them even within the limit of a single reply.
#pragma once

#include <atomic>
#include <cstddef>
#include <memory>

namespace Galenawell {

class ReplyMemory
{
public:
    explicit ReplyMemory(std::size_t limitBytes);

    std::size_t used() const;

private:
    friend class ReplyReservation;

    std::size_t limit;
    std::atomic<std::size_t> usedBytes{0};
};

// Bytes of one reply; released by the destructor.
class ReplyReservation
{
public:
    explicit ReplyReservation(std::shared_ptr<ReplyMemory> replyMemory);
    ~ReplyReservation();
    ReplyReservation(const ReplyReservation &) = delete;
    ReplyReservation &operator=(const ReplyReservation &) = delete;

    // False if the limit of all replies is reached and this one is larger than `smallReplyBytes`; small replies aren't refused,
    // so that large ones can't crowd them out.
    bool grow(std::size_t bytes);

    static constexpr std::size_t smallReplyBytes = std::size_t(32) * 1024;

private:
    std::shared_ptr<ReplyMemory> memory;
    std::size_t reserved = 0;
};

} // namespace Galenawell
