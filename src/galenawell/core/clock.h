// Clock types. Decision modules take monotonic time points as arguments and read no clock themselves.
#pragma once

#include <chrono>

namespace Galenawell {

using MonotonicClock = std::chrono::steady_clock;
using TimePoint = MonotonicClock::time_point;
using Duration = MonotonicClock::duration;

// Wall-clock time, only for values that leave the process.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

inline WallTime wallNow()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

inline std::chrono::milliseconds toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

} // namespace Galenawell
