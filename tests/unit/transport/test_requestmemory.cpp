#include "galenawell/transport/requestmemory.h"

#include <criterion/criterion.h>
#include <memory>
#include <rapidcheck.h>
#include <vector>

using namespace Galenawell;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t limit = std::size_t(1024) * 1024;
const TimePoint start{1h};

// A request that counts how often it is told to end or to ask again.
struct Holder
{
    Holder(const std::shared_ptr<RequestMemory> &sharedMemory, TimePoint now)
        : memory(sharedMemory, {.end = [this] { ++this->ends; }, .wake = [this] { ++this->wakes; }}, now)
    {
    }

    int ends = 0;
    int wakes = 0;
    RequestMemoryHolder memory;
};

} // namespace

// Guards against a sum of requests above the limit, in any order of their steps.
Test(requestmemory, the_sum_of_all_requests_stays_within_the_limit)
{
    const bool holds = rc::check([] {
        const auto memory = std::make_shared<RequestMemory>(limit);
        std::vector<std::unique_ptr<Holder>> holders;
        TimePoint now = start;
        for (int step = 0; step < 200; ++step) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 500));
            const int kind = *rc::gen::inRange(0, 10);
            if (holders.empty() || kind < 3) {
                holders.push_back(std::make_unique<Holder>(memory, now));
                continue;
            }
            const auto index = static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(holders.size())));
            Holder &holder = *holders[index];
            if (kind < 8) {
                holder.memory.growTo(holder.memory.bytes() + static_cast<std::size_t>(*rc::gen::inRange(1, 300'000)), now);
            } else if (kind < 9) {
                holder.memory.setComplete();
            } else {
                holders.erase(holders.begin() + static_cast<std::ptrdiff_t>(index));
            }
            std::size_t sum = 0;
            for (const auto &each : holders) {
                sum += each->memory.bytes();
                // Whole requests are never ended.
                RC_ASSERT(each->ends <= 1);
            }
            RC_ASSERT(sum == memory->used());
            RC_ASSERT(sum <= limit);
        }
        holders.clear();
        RC_ASSERT(memory->used() == 0);
    });
    cr_assert(holds);
}

// Guards against refusing whoever comes last while others hold the memory with requests that don't end.
Test(requestmemory, the_request_that_has_held_most_for_longest_gives_way)
{
    const auto memory = std::make_shared<RequestMemory>(limit);
    Holder small(memory, start);
    Holder large(memory, start);
    cr_assert(small.memory.growTo(100'000, start) == MemoryGrant::Granted);
    cr_assert(large.memory.growTo(600'000, start) == MemoryGrant::Granted);
    Holder newcomer(memory, start + 2s);
    cr_assert(newcomer.memory.growTo(200'000, start + 3s) == MemoryGrant::Pending);
    cr_assert(large.ends == 1 && small.ends == 0);
    large.memory.releaseTo(0);
    cr_assert_eq(newcomer.wakes, 1);
    cr_assert(newcomer.memory.growTo(200'000, start + 3s) == MemoryGrant::Granted);
}

// Guards against ending a request that may have been passed on to a server, and against waiting for memory that nobody will release.
Test(requestmemory, a_complete_request_is_not_ended_and_a_newcomer_is_refused_at_once)
{
    const auto memory = std::make_shared<RequestMemory>(limit);
    Holder whole(memory, start);
    cr_assert(whole.memory.growTo(700'000, start) == MemoryGrant::Granted);
    cr_assert(whole.memory.setComplete());
    Holder newcomer(memory, start + 1s);
    cr_assert(newcomer.memory.growTo(200'000, start + 2s) == MemoryGrant::Refused);
    cr_assert_eq(whole.ends, 0);
    // Small requests have a part of the memory for themselves.
    Holder small(memory, start + 1s);
    cr_assert(small.memory.growTo(RequestMemoryHolder::smallRequestBytes, start + 2s) == MemoryGrant::Granted);
}

// Guards against a request that is handled although it was to be ended, and counted for others already.
Test(requestmemory, a_request_that_is_being_ended_cannot_become_complete)
{
    const auto memory = std::make_shared<RequestMemory>(limit);
    Holder old(memory, start);
    cr_assert(old.memory.growTo(700'000, start) == MemoryGrant::Granted);
    Holder newcomer(memory, start + 1s);
    cr_assert(newcomer.memory.growTo(300'000, start + 2s) == MemoryGrant::Pending);
    cr_assert(!old.memory.setComplete());
}

// Guards against answers that are held for a caller that doesn't read.
Test(requestmemory, an_answer_that_is_not_read_gives_way_after_a_while)
{
    const auto memory = std::make_shared<RequestMemory>(limit);
    Holder answered(memory, start);
    cr_assert(answered.memory.setComplete());
    cr_assert(answered.memory.tryAdd(700'000));
    answered.memory.setWriting(start + 1s);
    Holder newcomer(memory, start);
    cr_assert(newcomer.memory.growTo(200'000, start + 500ms) == MemoryGrant::Refused);
    cr_assert(newcomer.memory.growTo(200'000, start + 1500ms) == MemoryGrant::Pending);
    cr_assert_eq(answered.ends, 1);
}

// Guards against a request that waits for more memory than there is.
Test(requestmemory, a_request_larger_than_the_memory_is_too_large)
{
    const auto memory = std::make_shared<RequestMemory>(limit);
    Holder holder(memory, start);
    cr_assert(holder.memory.growTo(limit, start) == MemoryGrant::TooLarge);
}
